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

// maxItems bounds one list of a form.
const maxItems = 10_000

// countSuffix names the hidden field with the length of a list.
const countSuffix = ".#"

// field is one line of the form, or the beginning of a list or an item.
type field struct {
	// Path names the field in the form, such as Engines.2.Role.
	Path  string
	Label string
	Value string
	// Kind is text, bool, group, list or item.
	Kind string
	// Count is how many items a list has.
	Count int
}

var durationType = reflect.TypeFor[time.Duration]()

// fieldsOf lists the fields of a document, in the order of the document.
func fieldsOf(d validator.Document) []field {
	var out []field
	flatten(reflect.ValueOf(d), "", &out)
	return out
}

func flatten(v reflect.Value, path string, out *[]field) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if path == "" && isKeptBack(name) {
			continue
		}
		flattenField(v.Field(i), join(path, name), name, out)
	}
}

// isKeptBack reports whether a field is not the operator's to edit.
func isKeptBack(name string) bool {
	return slices.Contains([]string{"Revision", "Base", "Seal"}, name)
}

func join(path, name string) string {
	return strings.TrimPrefix(path+"."+name, ".")
}

func flattenField(v reflect.Value, path, label string, out *[]field) {
	switch {
	case v.Kind() == reflect.Struct:
		*out = append(*out, field{Path: path, Label: label, Kind: "group"})
		flatten(v, path, out)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		*out = append(*out, field{Path: path, Label: label, Kind: "list", Count: v.Len()})
		for i := range v.Len() {
			item := fmt.Sprintf("%s.%d", path, i)
			*out = append(*out, field{Path: item, Label: fmt.Sprintf("%s %d", label, i+1), Kind: "item"})
			flatten(v.Index(i), item, out)
		}
	case v.Kind() == reflect.Bool:
		*out = append(*out, field{Path: path, Label: label, Kind: "bool", Value: strconv.FormatBool(v.Bool())})
	default:
		*out = append(*out, field{Path: path, Label: label, Kind: "text", Value: textOf(v)})
	}
}

func textOf(v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return v.Interface().(time.Duration).String()
	case v.Kind() == reflect.Slice:
		return strings.Join(v.Interface().([]string), ", ")
	}
	return fmt.Sprint(v.Interface())
}

// documentOf reads a document back from a form. Faults name the field.
func documentOf(form url.Values) (validator.Document, error) {
	var d validator.Document
	var faults decoder.FieldErrors
	fill(reflect.ValueOf(&d).Elem(), "", form, &faults)
	return d, faults.Err()
}

func fill(v reflect.Value, path string, form url.Values, faults *decoder.FieldErrors) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if path == "" && isKeptBack(name) {
			continue
		}
		fillField(v.Field(i), join(path, name), form, faults)
	}
}

func fillField(v reflect.Value, path string, form url.Values, faults *decoder.FieldErrors) {
	text := strings.TrimSpace(form.Get(path))
	switch {
	case v.Kind() == reflect.Struct:
		fill(v, path, form, faults)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		count := form.Get(path + countSuffix)
		n, err := strconv.Atoi(count)
		valid := err == nil && n >= 0 && n <= maxItems
		faults.Require(valid, path, count, fmt.Sprintf("a list of 0 to %d items", maxItems))
		if !valid {
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			fill(v.Index(i), fmt.Sprintf("%s.%d", path, i), form, faults)
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	case v.Type() == durationType:
		d, err := time.ParseDuration(text)
		faults.Require(err == nil, path, text, "a time such as 1.5s")
		v.SetInt(int64(d))
	case v.Kind() == reflect.Bool:
		v.SetBool(text == "true")
	case v.Kind() == reflect.Int:
		n, err := strconv.Atoi(text)
		faults.Require(err == nil, path, text, "a whole number")
		v.SetInt(int64(n))
	default:
		v.SetString(text)
	}
}

func splitList(text string) []string {
	var out []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// restore shows what the operator typed where it could not be read, so that
// nothing typed is lost.
func restore(fields []field, form url.Values) []field {
	for i, f := range fields {
		if f.Kind == "text" && form.Has(f.Path) {
			fields[i].Value = form.Get(f.Path)
		}
	}
	return fields
}

// edit adds an item to a list, or removes one, as a button of the form says:
// add:Engines or remove:Engines.2.
func edit(d *validator.Document, action string) error {
	verb, path, _ := strings.Cut(action, ":")
	list, index, err := locate(reflect.ValueOf(d).Elem(), path)
	if err != nil {
		return err
	}
	switch verb {
	case "add":
		if list.Len() >= maxItems {
			return decoder.FieldError{Field: path, Value: "add", Requirement: fmt.Sprintf("a list of at most %d items", maxItems)}
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

// locate finds the list that a path names, and the index of the item if the
// path ends in one, else -1.
func locate(v reflect.Value, path string) (reflect.Value, int, error) {
	unknown := decoder.FieldError{Field: path, Value: "", Requirement: "a list of the document"}
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
			return v, -1, unknown
		}
		if !v.IsValid() {
			return v, -1, unknown
		}
	}
	if v.Kind() != reflect.Slice || v.Type().Elem().Kind() != reflect.Struct {
		return v, -1, unknown
	}
	return v, index, nil
}
