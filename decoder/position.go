package decoder

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// typeFault is how the YAML library words a value of the wrong type.
var typeFault = regexp.MustCompile("^line ([0-9]+): cannot unmarshal (\\S+)(?: `(.*)`)? into (\\S+)$")

// shownLength is how much of a value the YAML library shows before it cuts it
// off with "...".
const shownLength = 7

// named turns the YAML library's faults, which name lines, into faults that
// name fields. What it can't place stays as it is.
func named(data []byte, err error) error {
	var types *yaml.TypeError
	if !errors.As(err, &types) {
		return err
	}
	var root yaml.Node
	if yaml.Unmarshal(data, &root) != nil {
		return err
	}
	var scalars []scalar
	walk(&root, "", &scalars)
	var faults FieldErrors
	var rest []string
	for _, text := range types.Errors {
		fault, ok := place(text, scalars)
		if ok {
			faults = append(faults, fault)
			continue
		}
		rest = append(rest, text)
	}
	switch {
	case len(faults) == 0:
		return err
	case len(rest) == 0:
		return faults
	}
	return fmt.Errorf("%w\n%s", faults, strings.Join(rest, "\n"))
}

// scalar is one value of a document and where it stands.
type scalar struct {
	line  int
	path  string
	value string
}

func walk(n *yaml.Node, path string, out *[]scalar) {
	switch n.Kind {
	case yaml.DocumentNode:
		for _, c := range n.Content {
			walk(c, path, out)
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			walk(n.Content[i+1], strings.TrimPrefix(path+"."+n.Content[i].Value, "."), out)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			walk(c, fmt.Sprintf("%s[%d]", path, i), out)
		}
	}
	*out = append(*out, scalar{line: n.Line, path: path, value: n.Value})
}

// place finds the field that a fault is about: the one on its line with the
// value that it shows.
func place(text string, scalars []scalar) (FieldError, bool) {
	parts := typeFault.FindStringSubmatch(text)
	if parts == nil {
		return FieldError{}, false
	}
	line, _ := strconv.Atoi(parts[1])
	shown := strings.TrimSuffix(parts[3], "...")
	for _, s := range scalars {
		if s.line != line || s.path == "" {
			continue
		}
		if s.value == parts[3] || (len(shown) >= shownLength && strings.HasPrefix(s.value, shown)) {
			return FieldError{Field: s.path, Value: s.value, Requirement: kind(parts[4])}, true
		}
	}
	return FieldError{}, false
}

// kind words the type that a field has.
func kind(name string) string {
	switch {
	case strings.HasPrefix(name, "uint"):
		return "a whole number of at least 0"
	case strings.HasPrefix(name, "int"):
		return "a whole number"
	case name == "bool":
		return "true or false"
	case name == "string":
		return "text"
	case name == "time.Duration":
		return "a time such as 1.5s"
	case strings.HasPrefix(name, "[]"):
		return "a list"
	}
	return "of type " + name
}
