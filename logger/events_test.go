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

// logCallPattern finds the events that the packages of the platform's path log.
var logCallPattern = regexp.MustCompile(`\.(?:Info|Warn|Error|Debug)\("([a-z_]+)"`)

// Every event that the code logs is listed, in order, with what it means, and
// nothing else is.
func TestEventsAreThoseOfTheCode(t *testing.T) {
	used := map[string]bool{"log_lines_dropped": true, "configuration": true, "upstream": true}
	for _, pattern := range []string{"../controller/*.go", "../forwarder/*.go", "../launcher/*.go", "../cmd/sapphireramp/gateway.go"} {
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
			t.Errorf("%s is listed and not logged", e.Name)
		}
		delete(used, e.Name)
	}
	for name := range used {
		t.Errorf("%s is logged and not listed", name)
	}
	if !slices.IsSorted(listed) {
		t.Error("events are not in order of name")
	}
}

// The operators' page names every event.
func TestEventsAreOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range logger.Events {
		if !strings.Contains(string(page), "`"+e.Name+"`") {
			t.Errorf("docs/OPERATIONS.md lacks %s", e.Name)
		}
	}
}
