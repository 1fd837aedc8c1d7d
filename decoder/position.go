package decoder

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// typeErrorPattern matches the error texts of the YAML library for values of the wrong type. Its groups
// match the line number, the YAML tag, the value (missing for lists and mappings) and the Go type.
var typeErrorPattern = regexp.MustCompile("^line ([0-9]+): cannot unmarshal (\\S+)(?: `(.*)`)? into (\\S+)$")

// truncatedLength is the number of bytes that the YAML library shows of a long value in an error text,
// followed by "...".
const truncatedLength = 7

// nameFields returns an error that says which fields of data have values of the wrong type, where err,
// from the YAML library, says only which lines. The result is or wraps FieldErrors, followed by the
// library's texts about values whose fields are not found. If none is found or err is of another kind,
// nameFields returns err.
func nameFields(data []byte, err error) error {
	var types *yaml.TypeError
	if !errors.As(err, &types) {
		return err
	}
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil {
		return err
	}
	var scalars []scalar
	collectScalars(&root, "", &scalars)
	var fieldErrors FieldErrors
	var rest []string
	for _, text := range types.Errors {
		fieldError, ok := locateField(text, scalars)
		if ok {
			fieldErrors = append(fieldErrors, fieldError)
			continue
		}
		rest = append(rest, text)
	}
	switch {
	case len(fieldErrors) == 0:
		return err
	case len(rest) == 0:
		return fieldErrors
	}
	return fmt.Errorf("%w\n%s", fieldErrors, strings.Join(rest, "\n"))
}

// scalar describes a node of a YAML document. Most are scalars; lists and mappings are included.
type scalar struct {
	// line is the number of the line of the value, path the path of its field as in FieldError.Field.
	line int
	path string
	// value is the text of the value; empty for a list or a mapping.
	value string
}

// collectScalars appends a scalar to out for a node and for each node below it. path is the path of the
// node's field, as in FieldError.Field.
func collectScalars(n *yaml.Node, path string, out *[]scalar) {
	switch n.Kind {
	case yaml.DocumentNode:
		for _, c := range n.Content {
			collectScalars(c, path, out)
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			collectScalars(n.Content[i+1], strings.TrimPrefix(path+"."+n.Content[i].Value, "."), out)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			collectScalars(c, fmt.Sprintf("%s[%d]", path, i), out)
		}
	}
	*out = append(*out, scalar{line: n.Line, path: path, value: n.Value})
}

// locateField returns the FieldError for an error text of the YAML library. The text gives a line and a
// value, and the field is the first one of the scalars with both. It returns false if the text does not
// match typeErrorPattern or there is no such field.
func locateField(text string, scalars []scalar) (FieldError, bool) {
	parts := typeErrorPattern.FindStringSubmatch(text)
	if parts == nil {
		return FieldError{}, false
	}
	line, _ := strconv.Atoi(parts[1])
	shown := strings.TrimSuffix(parts[3], "...")
	for _, s := range scalars {
		if s.line != line || s.path == "" {
			continue
		}
		if s.value == parts[3] || (len(shown) >= truncatedLength && strings.HasPrefix(s.value, shown)) {
			return FieldError{Field: s.path, Value: s.value, Requirement: describeType(parts[4])}, true
		}
	}
	return FieldError{}, false
}

// describeType describes the YAML values that are accepted for the Go type with the given name, worded to
// follow "must be".
func describeType(typeName string) string {
	switch {
	case strings.HasPrefix(typeName, "uint"):
		return "a whole number of at least 0"
	case strings.HasPrefix(typeName, "int"):
		return "a whole number"
	case typeName == "bool":
		return "true or false"
	case typeName == "string":
		return "text"
	case typeName == "time.Duration":
		return "a time such as 1.5s"
	case strings.HasPrefix(typeName, "[]"):
		return "a list"
	}
	return "of type " + typeName
}
