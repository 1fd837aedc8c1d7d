package console

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/sapphireramp/sapphireramp/validator"
)

// change is a value of the document that differs between two documents.
type change struct {
	// Path identifies the value within the document, such as Engines[engine-1].Role.
	Path string
	// Old and New are the value in the two documents, formatted by formatValue. One of them is empty if its
	// document has no such value.
	Old, New string
}

// listChanges returns the values that differ between two documents, sorted by path. Items of lists are compared if
// they have the same Name.
func listChanges(old, updated validator.Document) []change {
	oldValues, newValues := valuesByPath(old), valuesByPath(updated)
	paths := maps.Clone(oldValues)
	maps.Copy(paths, newValues)
	var changes []change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if oldValues[path] != newValues[path] {
			changes = append(changes, change{Path: path, Old: oldValues[path], New: newValues[path]})
		}
	}
	return changes
}

// valuesByPath returns the values of a document, formatted by formatValue, with their paths as keys. Fields that
// the form hides are left out.
func valuesByPath(document validator.Document) map[string]string {
	values := map[string]string{}
	addValues(reflect.ValueOf(document), "", values)
	return values
}

// addValues adds the formatted values of the struct v to the map. Their paths start with path, the path of v in
// the document.
func addValues(v reflect.Value, path string, values map[string]string) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if path == "" && isHidden(name) {
			continue
		}
		value, valuePath := v.Field(i), joinPath(path, name)
		switch {
		case value.Kind() == reflect.Struct:
			addValues(value, valuePath, values)
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			for j := range value.Len() {
				addValues(value.Index(j), fmt.Sprintf("%s[%s]", valuePath, value.Index(j).FieldByName("Name")), values)
			}
		default:
			values[valuePath] = formatValue(value)
		}
	}
}

// describeEffects returns a sentence for each effect that replacing the old document by the updated one has on
// running engines and on organisations.
func describeEffects(old, updated validator.Document) []string {
	var effects []string
	effects = append(effects, describeEngineEffects(old, updated)...)
	return append(effects, describeOrganisationEffects(old, updated)...)
}

// describeEngineEffects returns a sentence for each engine of the old document that the updated one removes, or to
// which it gives another model, version, adapters or role. Of several changes of an engine only the first in this
// order is described.
func describeEngineEffects(old, updated validator.Document) []string {
	var effects []string
	oldEngines := indexByName(old.Engines, func(e validator.Engine) string { return e.Name })
	newEngines := indexByName(updated.Engines, func(e validator.Engine) string { return e.Name })
	for _, name := range slices.Sorted(maps.Keys(oldEngines)) {
		oldEngine, newEngine := oldEngines[name], newEngines[name]
		switch {
		case newEngine.Name == "":
			effects = append(effects, fmt.Sprintf("engine %s gets no new requests", name))
		case oldEngine.Model != newEngine.Model || oldEngine.Version != newEngine.Version:
			effects = append(effects, fmt.Sprintf("engine %s unloads %s %s, which %s, once its streams have ended, and loads %s %s from the weight store",
				name, oldEngine.Model, oldEngine.Version, describeModelUsers(old, oldEngine.Model), newEngine.Model, newEngine.Version))
		case !slices.Equal(oldEngine.Adapters, newEngine.Adapters):
			effects = append(effects, fmt.Sprintf("engine %s changes its adapters once its streams have ended", name))
		case oldEngine.Role != newEngine.Role:
			effects = append(effects, fmt.Sprintf("engine %s changes its role once its streams have ended", name))
		}
	}
	return effects
}

// describeModelUsers returns a phrase such as "a, b may use" that names the organisations that may use a model. If
// there are more than three, it gives their number instead.
func describeModelUsers(document validator.Document, model string) string {
	var users []string
	for _, o := range document.Organisations {
		if slices.Contains(o.Models, model) {
			users = append(users, o.Name)
		}
	}
	const shown = 3
	switch {
	case len(users) == 0:
		return "no organisation may use"
	case len(users) > shown:
		return fmt.Sprintf("%d organisations may use", len(users))
	}
	return strings.Join(users, ", ") + " may use"
}

// describeOrganisationEffects returns a sentence for each organisation that the updated document removes, for each
// model that an organisation may no longer use, and for each organisation whose API key changes.
func describeOrganisationEffects(old, updated validator.Document) []string {
	var effects []string
	oldOrganisations := indexByName(old.Organisations, func(o validator.Organisation) string { return o.Name })
	newOrganisations := indexByName(updated.Organisations, func(o validator.Organisation) string { return o.Name })
	for _, name := range slices.Sorted(maps.Keys(oldOrganisations)) {
		newOrganisation, isKept := newOrganisations[name]
		if !isKept {
			effects = append(effects, fmt.Sprintf("requests of organisation %s are refused", name))
			continue
		}
		for _, model := range oldOrganisations[name].Models {
			if !slices.Contains(newOrganisation.Models, model) {
				effects = append(effects, fmt.Sprintf("organisation %s loses model %s", name, model))
			}
		}
		if oldOrganisations[name].KeyDigest != newOrganisation.KeyDigest {
			effects = append(effects, fmt.Sprintf("requests of organisation %s with its old key are refused", name))
		}
	}
	return effects
}

// indexByName returns a map of the items, keyed by the name that nameOf returns for each.
func indexByName[T any](items []T, nameOf func(T) string) map[string]T {
	byName := make(map[string]T, len(items))
	for _, item := range items {
		byName[nameOf(item)] = item
	}
	return byName
}
