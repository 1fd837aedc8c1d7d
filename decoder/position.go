package decoder

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// typeErrorPattern matches the error texts of the YAML library for values of the wrong type. Its
// groups are the line, the YAML tag, the value and the Go type.
var typeErrorPattern = regexp.MustCompile("^line ([0-9]+): cannot unmarshal (\\S+)(?: `(.*)`)? into (\\S+)$")

// truncatedLength is the number of bytes of a long value that the YAML library shows, followed by
// "...".
const truncatedLength = 7

// nameFields replaces the errors of the YAML library about wrong types, which name lines, by
// FieldErrors, which name fields. Errors whose field is not found keep their text.
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

// scalar is one value of a document, with its line and the path of its field.
type scalar struct {
	line  int
	path  string
	value string
}

// collectScalars appends the values at and below a node, whose path is given, to out.
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

// locateField returns the error of the field that an error text of the YAML library is about: the
// field on the same line with the same value. It returns false if there is none.
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

// describeType describes the accepted values of a Go type, worded to follow "must be".
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
