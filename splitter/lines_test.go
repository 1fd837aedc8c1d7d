package splitter_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/splitter"
)

// Guards against the part of an event before a cut connection being read as a whole one. Its invalid JSON was
// taken for the fault of whoever sent it, and hid why the stream ended.
func TestLineOfCutStreamIsLeftOut(t *testing.T) {
	is := is.New(t)
	errCut := errors.New("cut")
	lines := bufio.NewScanner(io.MultiReader(strings.NewReader("data: {\"a\":1}\n\ndata: {\"a\":"), iotest.ErrReader(errCut)))
	lines.Split(splitter.ScanCompleteLines)
	var got []string
	for lines.Scan() {
		got = append(got, lines.Text())
	}
	is.Equal(got, []string{`data: {"a":1}`, ""})
	is.Equal(lines.Err(), errCut)
}
