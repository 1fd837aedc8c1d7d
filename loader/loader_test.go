package loader_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/loader"
)

// sampleFile holds valid settings.
const sampleFile = "../_fixtures/settings.yaml"

// readSample returns the text of sampleFile.
func readSample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile(sampleFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestSampleIsValid(t *testing.T) {
	is := is.New(t)
	s, err := loader.Load(sampleFile)
	is.NoErr(err)
	is.Equal(s.Name, "entry-1")
	is.Equal(s.Listen, s.Address)
}

// The error for invalid settings names all invalid fields, each with its value
// and the accepted values.
func TestAllInvalidFieldsAreReported(t *testing.T) {
	is := is.New(t)
	text := readSample(t)
	for _, change := range [][2]string{{"Name: entry-1", "Name: ''"}, {"Heartbeat: 500ms", "Heartbeat: 1ns"}, {"MaxBody: 8388608", "MaxBody: -1"}, {"Level: info", "Level: loud"}} {
		is.True(strings.Contains(text, change[0]))
		text = strings.Replace(text, change[0], change[1], 1)
	}
	_, err := loader.Parse([]byte(text))
	is.True(err != nil)
	for _, want := range []string{"Name: \"\"", "Timing.Heartbeat: \"1ns\": must be 10ms to 1m0s", "Callers.MaxBody: \"-1\"", "Log.Level: \"loud\""} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in the error:\n%s", want, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(readSample(f)))
	f.Add([]byte("Name: x"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = loader.Parse(data)
	})
}
