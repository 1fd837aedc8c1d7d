// Package decoder decodes YAML strictly: unknown keys and duplicate keys are errors, and all
// invalid fields are reported at once.
package decoder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FieldError describes one invalid field of a document, of settings or of a form.
type FieldError struct {
	// Field is the path of the field in the input, such as Engines[2].MemoryTokens.
	Field string
	// Value is the invalid value as text.
	Value string
	// Requirement describes the accepted values, worded to follow "must be".
	Requirement string
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %q: must be %s", e.Field, e.Value, e.Requirement)
}

// FieldErrors holds the errors of all invalid fields of one input.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Require appends a FieldError to e unless holds is true. field is the path of the checked field, value its
// value, and requirement describes the accepted values, worded to follow "must be".
func (e *FieldErrors) Require(holds bool, field string, value any, requirement string) {
	if holds {
		return
	}
	*e = append(*e, FieldError{Field: field, Value: fmt.Sprint(value), Requirement: requirement})
}

// Err returns e as an error, or a nil error if e is empty.
func (e FieldErrors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// TooLargeError is returned for an input of Size bytes, of which at most Limit are allowed.
type TooLargeError struct {
	Size, Limit int
}

func (e TooLargeError) Error() string {
	return fmt.Sprintf("size: %d bytes: must be at most %d", e.Size, e.Limit)
}

// errMultipleDocuments is returned for an input with more than one YAML document.
var errMultipleDocuments = errors.New("input: more than one YAML document: must be one")

// Decode decodes the single YAML document in data, of at most maxBytes bytes, into target, which
// must be a pointer. Unknown and duplicate keys, an empty input and a second document are errors. The
// error is a TooLargeError for a larger input, and wraps FieldErrors if values have the wrong type and
// their fields are found.
func Decode(data []byte, maxBytes int, target any) error {
	if len(data) > maxBytes {
		return TooLargeError{Size: len(data), Limit: maxBytes}
	}
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	err := d.Decode(target)
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("input: empty: must be a YAML document")
	}
	if err != nil {
		return fmt.Errorf("decode YAML: %w", nameFields(data, err))
	}
	if d.Decode(&yaml.Node{}) != io.EOF {
		return errMultipleDocuments
	}
	return nil
}
