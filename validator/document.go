// Package validator reads and checks the configuration document: the one
// thing that operators create. The checker on the command line, the entries
// and the console all use this package, so they agree on what is valid.
package validator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxDocumentSize is the largest document in bytes; the configuration service
// holds values up to this size.
const MaxDocumentSize = 1 << 20

// Document states which models, adapters and versions serve which
// organisations, and how each engine and service is used.
type Document struct {
	// Revision orders documents; every publication raises it by one.
	Revision uint64 `yaml:"Revision"`
	// Base is the digest of the document this one was edited from; empty
	// for the first.
	Base          string         `yaml:"Base,omitempty"`
	Models        []Model        `yaml:"Models"`
	Organisations []Organisation `yaml:"Organisations"`
	Engines       []Engine       `yaml:"Engines"`
	Services      []Service      `yaml:"Services"`
	Limits        Limits         `yaml:"Limits"`
	Policy        Policy         `yaml:"Policy"`
	// Seal is put on by the console after the check; see package sealer.
	Seal string `yaml:"Seal,omitempty"`
}

// Model is a model that engines can load.
type Model struct {
	Name     string   `yaml:"Name"`
	Versions []string `yaml:"Versions"`
	Adapters []string `yaml:"Adapters,omitempty"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `yaml:"Name"`
	// KeyDigest is the SHA-256 of the organisation's bearer key, in hex;
	// the key itself is in no document.
	KeyDigest string `yaml:"KeyDigest"`
	// Models that the organisation may use, by name.
	Models   []string `yaml:"Models"`
	Services []string `yaml:"Services,omitempty"`
	// MaxInFlight bounds the organisation's requests in flight at one entry.
	MaxInFlight int `yaml:"MaxInFlight"`
}

// Engine says how one model engine is used. Its address comes from the
// instance list.
type Engine struct {
	Name     string   `yaml:"Name"`
	Model    string   `yaml:"Model"`
	Version  string   `yaml:"Version"`
	Adapters []string `yaml:"Adapters,omitempty"`
	// Role is one of the Role constants.
	Role string `yaml:"Role"`
	// MemoryTokens is the engine's KV memory in tokens.
	MemoryTokens int `yaml:"MemoryTokens"`
	// PrefillRate is prompt tokens prefilled a second.
	PrefillRate int `yaml:"PrefillRate"`
	// ChecksFences says that the engine refuses an old fencing number.
	ChecksFences bool `yaml:"ChecksFences"`
	// ChecksOrders says that the engine checks who gives it an order.
	ChecksOrders bool `yaml:"ChecksOrders"`
}

// Roles of an engine.
const (
	RoleMixed   = "Mixed"
	RoleShort   = "Short"
	RoleLong    = "Long"
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
)

// Service is a plain service beside the engines.
type Service struct {
	Name string `yaml:"Name"`
	// Instances that run the service, by their names in the instance list.
	Instances []string `yaml:"Instances"`
	Calls     []Call   `yaml:"Calls"`
}

// Call is one call of a service.
type Call struct {
	Name string `yaml:"Name"`
	// Repeatable is false for a call that may run at most once.
	Repeatable bool `yaml:"Repeatable"`
}

// Limits bound what a caller may ask for.
type Limits struct {
	MaxPromptTokens int `yaml:"MaxPromptTokens"`
	MaxNewTokens    int `yaml:"MaxNewTokens"`
	// MaxTimeout bounds a caller's time limit; DefaultTimeout stands in
	// where the caller names none.
	MaxTimeout     time.Duration `yaml:"MaxTimeout"`
	DefaultTimeout time.Duration `yaml:"DefaultTimeout"`
	// MaxGroup is the most engines that one prompt may take.
	MaxGroup int `yaml:"MaxGroup"`
	// MaxInFlight bounds all requests in flight at one entry.
	MaxInFlight int `yaml:"MaxInFlight"`
}

// Policy weighs the choices of the router.
type Policy struct {
	// ShortTokens is the longest prompt of the short class.
	ShortTokens int `yaml:"ShortTokens"`
	// ShortWeight is the priority of the short class at the engines; longer
	// classes have less. 0 means that engines go by order of arrival; else
	// it is 3 to 10.
	ShortWeight int `yaml:"ShortWeight"`
}

// Digest is the SHA-256 of a document's bytes, in hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// shortDigestLength is the length of a shortened digest, 64 bits in hex.
const shortDigestLength = 16

// ShortenDigest cuts a digest to what is enough to tell documents apart between
// entries, which fetch and check the whole where two differ.
func ShortenDigest(digest string) string {
	return digest[:min(len(digest), shortDigestLength)]
}

// DocumentVersion places a document in the one total order of documents. The order
// depends on the documents alone, so all entries agree on it whatever each
// has seen.
type DocumentVersion struct {
	Revision uint64
	// Digest breaks ties: the greater one wins.
	Digest string
}

// Less reports whether v comes before o.
func (v DocumentVersion) Less(o DocumentVersion) bool {
	if v.Revision != o.Revision {
		return v.Revision < o.Revision
	}
	return v.Digest < o.Digest
}

// ValidDocument is a document that passed every check. It is never changed.
type ValidDocument struct {
	Document Document
	Version  DocumentVersion
	// Raw is the document as its publisher wrote it; the digest is of it.
	Raw []byte

	organisations map[string]*Organisation
	engines       map[string]*Engine
	models        map[string]*Model
	services      map[string]*Service
}

// OrganisationByKey finds the organisation of a bearer key.
func (v *ValidDocument) OrganisationByKey(key string) (*Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	o, ok := v.organisations[hex.EncodeToString(sum[:])]
	return o, ok
}

// Engine finds an engine by name.
func (v *ValidDocument) Engine(name string) (*Engine, bool) {
	e, ok := v.engines[name]
	return e, ok
}

// Model finds a model by name.
func (v *ValidDocument) Model(name string) (*Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Service finds a service by name.
func (v *ValidDocument) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// IsRepeatable reports whether the service has the call and whether the call
// may run more than once.
func (s *Service) IsRepeatable(call string) (repeatable, found bool) {
	for _, c := range s.Calls {
		if c.Name == call {
			return c.Repeatable, true
		}
	}
	return false, false
}

func newValidDocument(d Document, version DocumentVersion, raw []byte) *ValidDocument {
	valid := &ValidDocument{
		Document:      d,
		Version:       version,
		Raw:           bytes.Clone(raw),
		organisations: make(map[string]*Organisation, len(d.Organisations)),
		engines:       make(map[string]*Engine, len(d.Engines)),
		models:        make(map[string]*Model, len(d.Models)),
		services:      make(map[string]*Service, len(d.Services)),
	}
	for i := range d.Organisations {
		valid.organisations[d.Organisations[i].KeyDigest] = &valid.Document.Organisations[i]
	}
	for i := range d.Engines {
		valid.engines[d.Engines[i].Name] = &valid.Document.Engines[i]
	}
	for i := range d.Models {
		valid.models[d.Models[i].Name] = &valid.Document.Models[i]
	}
	for i := range d.Services {
		valid.services[d.Services[i].Name] = &valid.Document.Services[i]
	}
	return valid
}
