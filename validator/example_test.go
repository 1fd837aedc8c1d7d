package validator_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/validator"
)

// sampleFile holds a valid document.
const sampleFile = "../_fixtures/document.yaml"

func Example() {
	_, err := validator.Parse([]byte("Revision: 0\nModels: [{Name: m, Versions: []}]\n"))
	fmt.Println(strings.Split(err.Error(), "\n")[0])
	// Output:
	// check document: Revision: "0": must be at least 1
}

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
	a, err := validator.Parse([]byte(readSample(t)))
	is.NoErr(err)
	_, ok := a.OrganisationByKey("condor-dispatch-key")
	is.True(ok)
}

// The error for an invalid document names the path of the invalid field.
func TestInvalidFieldIsNamed(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown key":          {"Revision: 1", "Revision: 1\nColour: blue", "field Colour not found"},
		"repeated key":         {"Revision: 1", "Revision: 1\nRevision: 2", "already defined"},
		"negative revision":    {"Revision: 1", "Revision: -1", "Revision"},
		"base":                 {"Revision: 1", "Revision: 1\nBase: xyz", "Base"},
		"role":                 {"Role: Short", "Role: King", "Engines[0].Role"},
		"model of engine":      {"Model: inspector, Version: \"2\", Role: Short", "Model: nosuch, Version: \"2\", Role: Short", "Engines[0].Model"},
		"version of engine":    {"Version: \"2\", Role: Short", "Version: \"9\", Role: Short", "Engines[0].Version"},
		"version served":       {"Versions: [\"2\"]", "Versions: [\"2\", \"3\"]", "Models[0].Versions[1]"},
		"memory":               {"MemoryTokens: 400000", "MemoryTokens: -4", "MemoryTokens"},
		"organisation's model": {"Models: [inspector]", "Models: [nosuch]", "Organisations[0].Models[0]"},
		"key":                  {"KeyDigest: d", "KeyDigest: x", "KeyDigest"},
		"rank over limit":      {"MaxInFlight: 200", "MaxInFlight: 200\n    Rank: 10", "Organisations[0].Rank: \"10\": must be 0 to 9"},
		"negative rank":        {"MaxInFlight: 200", "MaxInFlight: 200\n    Rank: -1", "Organisations[0].Rank: \"-1\": must be 0 to 9"},
		"negative slots":       {"    Calls:", "    Slots: -1\n    Calls:", "Services[0].Slots: \"-1\": must be 0 to 100000"},
		"rank no number":       {"MaxInFlight: 200", "MaxInFlight: 200\n    Rank: high", "Organisations[0].Rank"},
		"limit":                {"MaxTimeout: 10m", "MaxTimeout: 1000h", "Limits.MaxTimeout"},
		"default over limit":   {"DefaultTimeout: 60s", "DefaultTimeout: 11m", "Limits.DefaultTimeout"},
		"group over fleet":     {"MaxGroup: 3", "MaxGroup: 60", "Limits.MaxGroup"},
		"model fits no group":  {"MaxPromptTokens: 1000000", "MaxPromptTokens: 9000000", "Models[0]"},
		"service instances":    {"Instances: [dispatch-1]", "Instances: []", "Services[0].Instances"},
		"weight":               {"ShortWeight: 5", "ShortWeight: 50", "Policy.ShortWeight"},
		"not yaml":             {"Revision: 1", "Revision: [", "yaml"},
	}
	text := readSample(t)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(text, c.old))
			_, err := validator.Parse([]byte(strings.Replace(text, c.old, c.new, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func TestTooLargeDocumentIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := validator.Parse(make([]byte, validator.MaxDocumentSize+1))
	is.True(strings.Contains(err.Error(), "must be at most 1048576"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(readSample(f)))
	f.Add([]byte("Revision: 1"))
	f.Add([]byte("{}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := validator.Parse(data)
		if err == nil && a.Version.Digest != validator.Digest(data) {
			t.Fatal("Version.Digest is not the digest of the document")
		}
	})
}
