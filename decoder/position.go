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
// groups are the line number, the YAML tag, the value and the Go type.
var typeErrorPattern = regexp.MustCompile("^line ([0-9]+): cannot unmarshal (\\S+)(?: `(.*)`)? into (\\S+)$")

// truncatedLength is the number of bytes that the YAML library shows of a long value in an error text,
// followed by "...".
const truncatedLength = 7

// nameFields replaces the errors of the YAML library about values of the wrong type in data, which
// name lines, by FieldErrors, which name fields. An error whose field is not found keeps its text; an
// err of another kind is returned unchanged.
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

// scalar is one value of a YAML document.
type scalar struct {
	// line is the number of the line of the value, path the path of its field as in FieldError.Field.
	line  int
	path  string
	value string
}

// collectScalars appends the values of a node and of the nodes below it to out. path is the path of the
// node's field.
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

// locateField converts an error text of the YAML library to the error of the field that it is about,
// which is the field on the same line with the same value. It returns false if there is none.
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

// describeType describes the accepted values of the Go type with the given name, worded to follow "must
// be".
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
