package decoder_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/decoder"
)

type target struct {
	Count uint64        `yaml:"Count"`
	Wait  time.Duration `yaml:"Wait"`
	Items []struct {
		Size  int  `yaml:"Size"`
		Ready bool `yaml:"Ready"`
	} `yaml:"Items"`
}

// An error about a value of the wrong type names the field, which the YAML library does not.
func TestTypeErrorsNameFields(t *testing.T) {
	is := is.New(t)
	text := "Count: -1\nWait: soon\nItems:\n  - {Size: 1, Ready: true}\n  - {Size: many, Ready: perhaps}\n"
	err := decoder.Decode([]byte(text), 1000, &target{})
	var fieldErrors decoder.FieldErrors
	is.True(errors.As(err, &fieldErrors))
	var fields []string
	for _, f := range fieldErrors {
		fields = append(fields, f.Field)
	}
	is.Equal(fields, []string{"Count", "Wait", "Items[1].Size", "Items[1].Ready"})
	is.Equal(fieldErrors[0].Error(), `Count: "-1": must be a whole number of at least 0`)
}

func TestRefusesAllButOneValidDocument(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "Count: 1\n---\nCount: 2\n", "Count: 1\nCount: 2\n", "Other: 1\n", "Count: ["} {
		is.True(decoder.Decode([]byte(text), 1000, &target{}) != nil)
	}
	is.Equal(decoder.Decode(make([]byte, 11), 10, &target{}), decoder.TooLargeError{Size: 11, Limit: 10})
}
