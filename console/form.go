package console

import (
	"fmt"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/decoder"
	"github.com/sapphireramp/sapphireramp/validator"
)

// maxListItems is the maximum number of items of a list in a posted form, so that a form can't cause a huge
// allocation.
const maxListItems = 10_000

// countSuffix follows a list's path in the name of the hidden input that holds the number of items.
const countSuffix = ".#"

// field describes an input of the form, or a heading: that of a struct, of a list or of an item of a list.
type field struct {
	// Path is the name of the input in the form, such as Engines.2.Role. List items are numbered from 0.
	Path string
	// Label is the text shown beside the input: the last element of Path or, for a list item, the name of the list
	// and the item's number from 1.
	Label string
	// Value is the formatted value of an input; empty for headings.
	Value string
	// Kind is "text" or "bool" for inputs, and "group" (a struct), "list" or "item" for headings.
	Kind string
	// Count is the number of items if Kind is "list", otherwise 0.
	Count int
}

var durationType = reflect.TypeFor[time.Duration]()

// formFields returns the form's inputs and headings for a document, in the order of its struct fields.
func formFields(document validator.Document) []field {
	var fields []field
	appendStructFields(reflect.ValueOf(document), "", &fields)
	return fields
}

// appendStructFields appends the inputs and headings of the struct v, whose path in the document is given.
func appendStructFields(v reflect.Value, path string, fields *[]field) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if path == "" && isHidden(name) {
			continue
		}
		appendField(v.Field(i), joinPath(path, name), name, fields)
	}
}

// isHidden reports whether the form leaves out the top-level field of this name, because operators must not edit
// it.
func isHidden(name string) bool {
	return slices.Contains([]string{"Revision", "Base", "Seal"}, name)
}

// joinPath returns the path of the field with the given name in the struct at path. The path of the document is
// empty.
func joinPath(path, name string) string {
	return strings.TrimPrefix(path+"."+name, ".")
}

// appendField appends the form fields of the value v: an input for a simple value or a list of strings, or a
// heading and all nested fields for a struct or a list of structs.
func appendField(v reflect.Value, path, label string, fields *[]field) {
	switch {
	case v.Kind() == reflect.Struct:
		*fields = append(*fields, field{Path: path, Label: label, Kind: "group"})
		appendStructFields(v, path, fields)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		*fields = append(*fields, field{Path: path, Label: label, Kind: "list", Count: v.Len()})
		for i := range v.Len() {
			item := fmt.Sprintf("%s.%d", path, i)
			*fields = append(*fields, field{Path: item, Label: fmt.Sprintf("%s %d", label, i+1), Kind: "item"})
			appendStructFields(v.Index(i), item, fields)
		}
	case v.Kind() == reflect.Bool:
		*fields = append(*fields, field{Path: path, Label: label, Kind: "bool", Value: strconv.FormatBool(v.Bool())})
	default:
		*fields = append(*fields, field{Path: path, Label: label, Kind: "text", Value: formatValue(v)})
	}
}

// formatValue returns a simple value or a list of strings as the form shows it. Strings of a list are separated by
// commas.
func formatValue(v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return v.Interface().(time.Duration).String()
	case v.Kind() == reflect.Slice:
		return strings.Join(v.Interface().([]string), ", ")
	}
	return fmt.Sprint(v.Interface())
}

// parseDocument returns the document that a posted form contains. The error is decoder.FieldErrors with all fields
// that can't be parsed; the other fields of the document are set nevertheless.
func parseDocument(form url.Values) (validator.Document, error) {
	var document validator.Document
	var fieldErrors decoder.FieldErrors
	setStructFields(reflect.ValueOf(&document).Elem(), "", form, &fieldErrors)
	return document, fieldErrors.Err()
}

// setStructFields sets the fields of the struct v, whose path in the document is given, from the form. It adds an
// error to fieldErrors for each value that can't be parsed.
func setStructFields(v reflect.Value, path string, form url.Values, fieldErrors *decoder.FieldErrors) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if path == "" && isHidden(name) {
			continue
		}
		setField(v.Field(i), joinPath(path, name), form, fieldErrors)
	}
}

// setField sets v from the form field with the given path. It adds an error to fieldErrors if the value, or one
// nested in it, can't be parsed.
func setField(v reflect.Value, path string, form url.Values, fieldErrors *decoder.FieldErrors) {
	text := strings.TrimSpace(form.Get(path))
	switch {
	case v.Kind() == reflect.Struct:
		setStructFields(v, path, form, fieldErrors)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		count := form.Get(path + countSuffix)
		n, err := strconv.Atoi(count)
		valid := err == nil && n >= 0 && n <= maxListItems
		fieldErrors.Require(valid, path, count, fmt.Sprintf("a list of 0 to %d items", maxListItems))
		if !valid {
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			setStructFields(v.Index(i), fmt.Sprintf("%s.%d", path, i), form, fieldErrors)
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	case v.Type() == durationType:
		duration, err := time.ParseDuration(text)
		fieldErrors.Require(err == nil, path, text, "a duration such as 1.5s")
		v.SetInt(int64(duration))
	case v.Kind() == reflect.Bool:
		v.SetBool(text == "true")
	case v.Kind() == reflect.Int:
		n, err := strconv.Atoi(text)
		fieldErrors.Require(err == nil, path, text, "a whole number")
		v.SetInt(int64(n))
	default:
		v.SetString(text)
	}
}

// splitList splits a text at commas. It removes spaces around items, and drops empty items.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// restoreInput sets the values of text inputs to what the operator entered and returns the fields. The page then
// shows input that can't be parsed, so that the operator can correct it.
func restoreInput(fields []field, form url.Values) []field {
	for i, formField := range fields {
		if formField.Kind == "text" && form.Has(formField.Path) {
			fields[i].Value = form.Get(formField.Path)
		}
	}
	return fields
}

// applyAction adds an empty item to a list of the document or removes an item. The action is the value of the
// pressed button, such as add:Engines or remove:Engines.2. The error is a decoder.FieldError.
func applyAction(document *validator.Document, action string) error {
	verb, path, _ := strings.Cut(action, ":")
	list, index, err := findList(reflect.ValueOf(document).Elem(), path)
	if err != nil {
		return err
	}
	switch verb {
	case "add":
		if list.Len() >= maxListItems {
			return decoder.FieldError{Field: path, Value: "add", Requirement: fmt.Sprintf("a list of at most %d items", maxListItems)}
		}
		list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
	case "remove":
		if index < 0 || index >= list.Len() {
			return decoder.FieldError{Field: path, Value: "remove", Requirement: "an item of the list"}
		}
		list.Set(reflect.AppendSlice(list.Slice(0, index), list.Slice(index+1, list.Len())))
	default:
		return decoder.FieldError{Field: "Action", Value: action, Requirement: "add or remove"}
	}
	return nil
}

// findList returns the list of structs at the given path below v. If the path ends with an item's number, findList
// also returns that number, which may be out of range; otherwise it returns -1. The error is a decoder.FieldError
// for a path that leads to no such list.
func findList(v reflect.Value, path string) (reflect.Value, int, error) {
	notFound := decoder.FieldError{Field: path, Value: "", Requirement: "a list of the document"}
	index := -1
	for part := range strings.SplitSeq(path, ".") {
		n, err := strconv.Atoi(part)
		switch {
		case err == nil && v.Kind() == reflect.Slice && index < 0:
			index = n
		case v.Kind() == reflect.Slice && index >= 0 && index < v.Len() && v.Type().Elem().Kind() == reflect.Struct:
			v, index = v.Index(index).FieldByName(part), -1
		case v.Kind() == reflect.Struct:
			v = v.FieldByName(part)
		default:
			return v, -1, notFound
		}
		if !v.IsValid() {
			return v, -1, notFound
		}
	}
	if v.Kind() != reflect.Slice || v.Type().Elem().Kind() != reflect.Struct {
		return v, -1, notFound
	}
	return v, index, nil
}
