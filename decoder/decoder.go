// Package decoder reads YAML strictly: unknown keys and repeated keys are
// refused, and every fault is reported at once.
package decoder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FieldError is one fault of a document or of settings.
type FieldError struct {
	// Field is the path of the field, such as Engines[2].MemoryTokens.
	Field string
	// Value is the value found, as text.
	Value string
	// Requirement says what would be accepted.
	Requirement string
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %q: must be %s", e.Field, e.Value, e.Requirement)
}

// FieldErrors collects every fault of one input.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Require adds a fault unless holds is true.
func (e *FieldErrors) Require(holds bool, field string, value any, requirement string) {
	if holds {
		return
	}
	*e = append(*e, FieldError{Field: field, Value: fmt.Sprint(value), Requirement: requirement})
}

// Err returns the collected faults, or nil where there are none.
func (e FieldErrors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// TooLargeError says that an input is over its size limit.
type TooLargeError struct {
	Size, Limit int
}

func (e TooLargeError) Error() string {
	return fmt.Sprintf("size: %d bytes: must be at most %d", e.Size, e.Limit)
}

// errMultipleDocuments is returned for input after the first YAML document.
var errMultipleDocuments = errors.New("input: more than one YAML document: must be one")

// Decode reads one YAML document of at most limit bytes into target.
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
		return fmt.Errorf("read yaml: %w", nameFields(data, err))
	}
	if d.Decode(&yaml.Node{}) != io.EOF {
		return errMultipleDocuments
	}
	return nil
}
