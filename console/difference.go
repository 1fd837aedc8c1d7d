package console

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/sapphireramp/sapphireramp/validator"
)

// change is one value that differs between two documents.
type change struct {
	Path     string
	Old, New string
}

// difference lists what differs, items of lists being told apart by name.
func difference(old, updated validator.Document) []change {
	before, after := values(old), values(updated)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var out []change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			out = append(out, change{Path: path, Old: before[path], New: after[path]})
		}
	}
	return out
}

func values(d validator.Document) map[string]string {
	out := map[string]string{}
	collect(reflect.ValueOf(d), "", out)
	return out
}

func collect(v reflect.Value, path string, out map[string]string) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if path == "" && isKeptBack(name) {
			continue
		}
		f, at := v.Field(i), join(path, name)
		switch {
		case f.Kind() == reflect.Struct:
			collect(f, at, out)
		case f.Kind() == reflect.Slice && f.Type().Elem().Kind() == reflect.Struct:
			for j := range f.Len() {
				collect(f.Index(j), fmt.Sprintf("%s[%s]", at, f.Index(j).FieldByName("Name")), out)
			}
		default:
			out[at] = textOf(f)
		}
	}
}

// effects says what a change will do to what is running.
func effects(old, updated validator.Document) []string {
	var out []string
	out = append(out, engineEffects(old, updated)...)
	return append(out, organisationEffects(old, updated)...)
}

func engineEffects(old, updated validator.Document) []string {
	var out []string
	before := byName(old.Engines, func(e validator.Engine) string { return e.Name })
	after := byName(updated.Engines, func(e validator.Engine) string { return e.Name })
	for _, name := range slices.Sorted(maps.Keys(before)) {
		was, is := before[name], after[name]
		switch {
		case is.Name == "":
			out = append(out, fmt.Sprintf("engine %s gets no new work", name))
		case was.Model != is.Model || was.Version != is.Version:
			out = append(out, fmt.Sprintf("engine %s unloads %s %s, which %s, once its streams have ended, and loads %s %s from the weight store",
				name, was.Model, was.Version, usedBy(old, was.Model), is.Model, is.Version))
		case !slices.Equal(was.Adapters, is.Adapters):
			out = append(out, fmt.Sprintf("engine %s changes its adapters once its streams have ended", name))
		case was.Role != is.Role:
			out = append(out, fmt.Sprintf("engine %s changes its role once its streams have ended", name))
		}
	}
	return out
}

func usedBy(d validator.Document, model string) string {
	var users []string
	for _, o := range d.Organisations {
		if slices.Contains(o.Models, model) {
			users = append(users, o.Name)
		}
	}
	const shown = 3
	switch {
	case len(users) == 0:
		return "nobody uses"
	case len(users) > shown:
		return fmt.Sprintf("%d organisations use", len(users))
	}
	return strings.Join(users, ", ") + " may use"
}

func organisationEffects(old, updated validator.Document) []string {
	var out []string
	before := byName(old.Organisations, func(o validator.Organisation) string { return o.Name })
	after := byName(updated.Organisations, func(o validator.Organisation) string { return o.Name })
	for _, name := range slices.Sorted(maps.Keys(before)) {
		is, stays := after[name]
		if !stays {
			out = append(out, fmt.Sprintf("organisation %s is refused", name))
			continue
		}
		for _, model := range before[name].Models {
			if !slices.Contains(is.Models, model) {
				out = append(out, fmt.Sprintf("organisation %s loses model %s", name, model))
			}
		}
		if before[name].KeyDigest != is.KeyDigest {
			out = append(out, fmt.Sprintf("organisation %s is refused with its old key", name))
		}
	}
	return out
}

func byName[T any](items []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		out[name(item)] = item
	}
	return out
}
