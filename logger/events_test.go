package logger_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sapphireramp/sapphireramp/logger"
)

// logCallPattern matches calls of a logger, with the name of the event.
var logCallPattern = regexp.MustCompile(`\.(?:Info|Warn|Error|Debug)\("([a-z_]+)"`)

// Events lists exactly the events that the code of an entry run by package
// launcher logs, sorted by name. Guards against log lines that operators find
// explained nowhere.
func TestEventsAreThoseOfTheCode(t *testing.T) {
	used := map[string]bool{"log_lines_dropped": true, "configuration": true, "upstream": true, "evacuation": true}
	for _, pattern := range []string{"../acceptor/*.go", "../controller/*.go", "../isolator/*.go", "../forwarder/*.go", "../launcher/*.go", "../tunneler/*.go", "../cmd/sapphireramp/gateway.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range logCallPattern.FindAllSubmatch(source, -1) {
				used[string(m[1])] = true
			}
		}
	}
	var listed []string
	for _, e := range logger.Events {
		listed = append(listed, e.Name)
		if !used[e.Name] {
			t.Errorf("event %s is listed in Events but never logged", e.Name)
		}
		delete(used, e.Name)
	}
	for name := range used {
		t.Errorf("event %s is logged but not listed in Events", name)
	}
	if !slices.IsSorted(listed) {
		t.Error("Events is not sorted by name")
	}
}

// Guards against an event that docs/OPERATIONS.md does not mention.
func TestEventsAreOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range logger.Events {
		if !strings.Contains(string(page), "`"+e.Name+"`") {
			t.Errorf("docs/OPERATIONS.md does not mention event %s", e.Name)
		}
	}
}
