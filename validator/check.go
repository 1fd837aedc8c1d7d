package validator

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/decoder"
)

// Bounds of the values of single fields.
const (
	// maxNameLength is the maximum length of a name in bytes. maxTokens bounds
	// every number of tokens and, in tokens per second, PrefillRate.
	maxNameLength   = 64
	maxTokens       = 100_000_000
	maxGroupSize    = 64
	minShortWeight  = 3
	maxShortWeight  = 10
	maxInFlight     = 1_000_000
	maxRank         = 9
	maxSlots        = 100_000
	maxTimeoutLimit = 24 * time.Hour
)

// roles lists the valid roles of an engine.
var roles = []string{RoleMixed, RoleShort, RoleLong, RolePrefill, RoleDecode}

// Parse decodes a document from YAML and checks it. The error wraps
// decoder.FieldErrors with all invalid fields if the document could be decoded,
// and otherwise a decoder.TooLargeError or an error of the YAML decoder.
func Parse(data []byte) (*ValidDocument, error) {
	var d Document
	if err := decoder.Decode(data, MaxDocumentSize, &d); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	if err := check(d); err != nil {
		return nil, fmt.Errorf("check document: %w", err)
	}
	version := DocumentVersion{Revision: d.Revision, Digest: Digest(data)}
	return newValidDocument(d, version, data), nil
}

// checker collects the invalid fields of a document.
type checker struct {
	fieldErrors decoder.FieldErrors
	// models holds the models of the document by name. checkModels fills it;
	// the later checks use it.
	models map[string]Model
}

// check returns decoder.FieldErrors with all invalid fields of a document, or
// nil if there are none.
func check(d Document) error {
	c := &checker{models: map[string]Model{}}
	c.fieldErrors.Require(d.Revision >= 1, "Revision", d.Revision, "at least 1")
	c.checkBase(d)
	c.checkModels(d.Models)
	c.checkServices(d.Services)
	c.checkEngines(d.Engines)
	c.checkOrganisations(d)
	c.checkLimits(d.Limits)
	c.checkPolicy(d.Policy, d.Limits)
	c.checkAcrossSections(d)
	return c.fieldErrors.Err()
}

func (c *checker) checkBase(d Document) {
	c.fieldErrors.Require(d.Base == "" || isDigest(d.Base), "Base", d.Base, "empty or a SHA-256 digest in lower-case hex")
}

// isDigest reports whether text is a SHA-256 digest in lower-case hex.
func isDigest(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32 && strings.ToLower(text) == text
}

// checkName adds a field error if a name is invalid or already in seen, and
// adds the name to seen. Field is the path of the name in the document.
func (c *checker) checkName(field, name string, seen map[string]bool) {
	valid := name != "" && len(name) <= maxNameLength && !strings.ContainsFunc(name, isInvalidNameRune)
	c.fieldErrors.Require(valid, field, name, "1 to 64 of letters, digits, '-', '_', '.'")
	c.fieldErrors.Require(!seen[name], field, name, "unique")
	seen[name] = true
}

// isInvalidNameRune reports whether r is not allowed in a name.
func isInvalidNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	}
	return !strings.ContainsRune("-_.", r)
}

// checkRange adds a field error unless a value is between low and high, both
// inclusive.
func (c *checker) checkRange(field string, value, low, high int) {
	c.fieldErrors.Require(value >= low && value <= high, field, value, fmt.Sprintf("%d to %d", low, high))
}

func (c *checker) checkModels(models []Model) {
	c.fieldErrors.Require(len(models) > 0, "Models", len(models), "at least one model")
	seen := map[string]bool{}
	for i, m := range models {
		path := fmt.Sprintf("Models[%d]", i)
		c.checkName(path+".Name", m.Name, seen)
		c.fieldErrors.Require(len(m.Versions) > 0, path+".Versions", len(m.Versions), "at least one version")
		versions, adapters := map[string]bool{}, map[string]bool{}
		for j, v := range m.Versions {
			c.checkName(fmt.Sprintf("%s.Versions[%d]", path, j), v, versions)
		}
		for j, a := range m.Adapters {
			c.checkName(fmt.Sprintf("%s.Adapters[%d]", path, j), a, adapters)
		}
		c.models[m.Name] = m
	}
}

func (c *checker) checkServices(services []Service) {
	seen, instances := map[string]bool{}, map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("Services[%d]", i)
		c.checkRange(path+".Slots", s.Slots, 0, maxSlots)
		c.checkName(path+".Name", s.Name, seen)
		c.fieldErrors.Require(len(s.Calls) > 0, path+".Calls", len(s.Calls), "at least one call")
		c.fieldErrors.Require(len(s.Instances) > 0, path+".Instances", len(s.Instances), "at least one instance")
		for j, name := range s.Instances {
			c.checkName(fmt.Sprintf("%s.Instances[%d]", path, j), name, instances)
		}
		calls := map[string]bool{}
		for j, call := range s.Calls {
			c.checkName(fmt.Sprintf("%s.Calls[%d].Name", path, j), call.Name, calls)
		}
	}
}

func (c *checker) checkEngines(engines []Engine) {
	seen := map[string]bool{}
	for i, e := range engines {
		path := fmt.Sprintf("Engines[%d]", i)
		c.checkName(path+".Name", e.Name, seen)
		m, ok := c.models[e.Model]
		c.fieldErrors.Require(ok, path+".Model", e.Model, "the name of a model in Models")
		c.fieldErrors.Require(!ok || slices.Contains(m.Versions, e.Version), path+".Version", e.Version, "a version of the model")
		for j, a := range e.Adapters {
			c.fieldErrors.Require(!ok || slices.Contains(m.Adapters, a), fmt.Sprintf("%s.Adapters[%d]", path, j), a, "an adapter of the model")
		}
		c.fieldErrors.Require(slices.Contains(roles, e.Role), path+".Role", e.Role, "one of "+strings.Join(roles, ", "))
		c.checkRange(path+".MemoryTokens", e.MemoryTokens, 1, maxTokens)
		c.checkRange(path+".PrefillRate", e.PrefillRate, 1, maxTokens)
	}
}

func (c *checker) checkOrganisations(d Document) {
	c.fieldErrors.Require(len(d.Organisations) > 0, "Organisations", len(d.Organisations), "at least one organisation")
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	names, keys := map[string]bool{}, map[string]bool{}
	for i, o := range d.Organisations {
		path := fmt.Sprintf("Organisations[%d]", i)
		c.checkName(path+".Name", o.Name, names)
		c.fieldErrors.Require(isDigest(o.KeyDigest), path+".KeyDigest", o.KeyDigest, "a SHA-256 digest in lower-case hex")
		c.fieldErrors.Require(!keys[o.KeyDigest], path+".KeyDigest", o.KeyDigest, "unique")
		keys[o.KeyDigest] = true
		c.fieldErrors.Require(len(o.Models)+len(o.Services) > 0, path+".Models", len(o.Models), "at least one model or service")
		for j, m := range o.Models {
			_, ok := c.models[m]
			c.fieldErrors.Require(ok, fmt.Sprintf("%s.Models[%d]", path, j), m, "the name of a model in Models")
		}
		for j, s := range o.Services {
			c.fieldErrors.Require(services[s], fmt.Sprintf("%s.Services[%d]", path, j), s, "the name of a service in Services")
		}
		c.checkRange(path+".MaxInFlight", o.MaxInFlight, 1, maxInFlight)
		c.checkRange(path+".Rank", o.Rank, 0, maxRank)
	}
}

func (c *checker) checkLimits(l Limits) {
	c.checkRange("Limits.MaxPromptTokens", l.MaxPromptTokens, 1, maxTokens)
	c.checkRange("Limits.MaxNewTokens", l.MaxNewTokens, 1, maxTokens)
	c.checkRange("Limits.MaxGroup", l.MaxGroup, 1, maxGroupSize)
	c.checkRange("Limits.MaxInFlight", l.MaxInFlight, 1, maxInFlight)
	c.fieldErrors.Require(l.MaxTimeout >= time.Second && l.MaxTimeout <= maxTimeoutLimit, "Limits.MaxTimeout", l.MaxTimeout, "1s to 24h")
	c.fieldErrors.Require(l.DefaultTimeout >= time.Second && l.DefaultTimeout <= l.MaxTimeout, "Limits.DefaultTimeout", l.DefaultTimeout, "1s to MaxTimeout")
}

func (c *checker) checkPolicy(p PriorityPolicy, l Limits) {
	c.checkRange("Policy.ShortTokens", p.ShortTokens, 1, max(1, l.MaxPromptTokens))
	inRange := p.ShortWeight >= minShortWeight && p.ShortWeight <= maxShortWeight
	c.fieldErrors.Require(p.ShortWeight == 0 || inRange, "Policy.ShortWeight", p.ShortWeight, fmt.Sprintf("0, or %d to %d", minShortWeight, maxShortWeight))
}

// checkAcrossSections checks fields that depend on the engines. MaxGroup must
// not exceed the number of engines. Each model must have an engine, and enough
// memory for a prompt of MaxPromptTokens on its MaxGroup largest engines
// together. Each version of a model must have an engine.
func (c *checker) checkAcrossSections(d Document) {
	memoryTokens := map[string][]int{}
	for _, e := range d.Engines {
		memoryTokens[e.Model] = append(memoryTokens[e.Model], e.MemoryTokens)
	}
	c.fieldErrors.Require(d.Limits.MaxGroup <= max(1, len(d.Engines)), "Limits.MaxGroup", d.Limits.MaxGroup, "at most the number of engines")
	for i, m := range d.Models {
		path := fmt.Sprintf("Models[%d]", i)
		capacities := memoryTokens[m.Name]
		c.fieldErrors.Require(len(capacities) > 0, path, m.Name, "served by at least one engine")
		if len(capacities) == 0 {
			continue
		}
		slices.Sort(capacities)
		slices.Reverse(capacities)
		groupTokens := 0
		for _, tokens := range capacities[:min(len(capacities), max(0, d.Limits.MaxGroup))] {
			groupTokens += tokens
		}
		maxPrompt := d.Limits.MaxPromptTokens
		c.fieldErrors.Require(groupTokens >= maxPrompt, path, m.Name, fmt.Sprintf("served by Limits.MaxGroup or fewer engines that together hold Limits.MaxPromptTokens = %d tokens; the largest hold %d", maxPrompt, groupTokens))
	}
	c.checkVersionsServed(d)
}

// checkVersionsServed adds a field error for each version of a model that no
// engine serves.
func (c *checker) checkVersionsServed(d Document) {
	served := map[[2]string]bool{}
	for _, e := range d.Engines {
		served[[2]string{e.Model, e.Version}] = true
	}
	for i, m := range d.Models {
		for j, v := range m.Versions {
			c.fieldErrors.Require(served[[2]string{m.Name, v}], fmt.Sprintf("Models[%d].Versions[%d]", i, j), v, "served by at least one engine")
		}
	}
}
