// Package validator decodes and checks the configuration document, which
// operators write. The command line, the entries and the console all use this
// package, so that they agree on which documents are valid.
package validator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// MaxDocumentSize is the maximum size of a document in bytes. The configuration
// service stores values up to this size.
const MaxDocumentSize = 1 << 20

// Document is the configuration of all entries. It states which organisations
// may use which models and services, and how each engine and service is used.
type Document struct {
	// Revision is at least 1. Each publication raises it by one.
	Revision uint64 `yaml:"Revision"`
	// Base is the digest of the document that this one was edited from; empty
	// for the first document.
	Base          string         `yaml:"Base,omitempty"`
	Models        []Model        `yaml:"Models"`
	Organisations []Organisation `yaml:"Organisations"`
	Engines       []Engine       `yaml:"Engines"`
	Services      []Service      `yaml:"Services"`
	Limits        Limits         `yaml:"Limits"`
	Policy        PriorityPolicy `yaml:"Policy"`
	// Seal is the signature that the console appends to a document that it has
	// checked; empty if the document is not signed. See package sealer.
	Seal string `yaml:"Seal,omitempty"`
}

// Model is a model that engines can load.
type Model struct {
	Name string `yaml:"Name"`
	// Versions and Adapters name the versions and adapters of the model that
	// engines may load. An engine serves one version at a time. At least one
	// version is required.
	Versions []string `yaml:"Versions"`
	Adapters []string `yaml:"Adapters,omitempty"`
}

// Organisation is a customer whose callers use models and services.
type Organisation struct {
	Name string `yaml:"Name"`
	// KeyDigest is the SHA-256 digest, in lower-case hex, of the bearer key that
	// identifies the organisation. No document contains the key itself.
	KeyDigest string `yaml:"KeyDigest"`
	// Models and Services name the models and services that the organisation may
	// use. At least one of either is required.
	Models   []string `yaml:"Models"`
	Services []string `yaml:"Services,omitempty"`
	// MaxInFlight is the maximum number of the organisation's requests in flight
	// at one entry.
	MaxInFlight int `yaml:"MaxInFlight"`
}

// Engine states what one engine serves, and its capacity. The address of the
// engine comes from the instance list.
type Engine struct {
	// Name is the name of the engine in the instance list.
	Name string `yaml:"Name"`
	// Model, Version and Adapters name the model, the version and the adapters
	// that the engine is to load.
	Model    string   `yaml:"Model"`
	Version  string   `yaml:"Version"`
	Adapters []string `yaml:"Adapters,omitempty"`
	// Role is one of the Role constants.
	Role string `yaml:"Role"`
	// MemoryTokens is the size of the engine's KV memory in tokens.
	MemoryTokens int `yaml:"MemoryTokens"`
	// PrefillRate is the number of prompt tokens that the engine prefills per
	// second.
	PrefillRate int `yaml:"PrefillRate"`
	// ChecksFences is true if the engine refuses an order whose fencing number is
	// not greater than that of every earlier order.
	ChecksFences bool `yaml:"ChecksFences"`
	// ChecksOrders is true if the engine refuses an order of an issuer that it
	// does not accept.
	ChecksOrders bool `yaml:"ChecksOrders"`
}

// Roles of an engine: the kind of requests, or the phase of a request, that an
// engine is ordered to serve. RoleMixed means all of them.
const (
	RoleMixed   = "Mixed"
	RoleShort   = "Short"
	RoleLong    = "Long"
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
)

// Service is a back end other than an engine. Its instances answer calls.
type Service struct {
	Name string `yaml:"Name"`
	// Instances are the names, in the instance list, of the instances that run
	// the service.
	Instances []string `yaml:"Instances"`
	// Calls are the operations of the service that callers may request.
	Calls []Call `yaml:"Calls"`
}

// Call is one operation of a service.
type Call struct {
	Name string `yaml:"Name"`
	// Repeatable is true if the call may run more than once for one request. If
	// it is false, the call runs at most once.
	Repeatable bool `yaml:"Repeatable"`
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxPromptTokens is the maximum length of a prompt, MaxNewTokens the maximum
	// number of tokens generated for it.
	MaxPromptTokens int `yaml:"MaxPromptTokens"`
	MaxNewTokens    int `yaml:"MaxNewTokens"`
	// MaxTimeout is the maximum timeout of a request. DefaultTimeout applies to
	// requests that state none; it is at most MaxTimeout.
	MaxTimeout     time.Duration `yaml:"MaxTimeout"`
	DefaultTimeout time.Duration `yaml:"DefaultTimeout"`
	// MaxGroup is the maximum number of engines that hold one prompt together.
	MaxGroup int `yaml:"MaxGroup"`
	// MaxInFlight is the maximum number of requests in flight at one entry.
	MaxInFlight int `yaml:"MaxInFlight"`
}

// PriorityPolicy sets the priority of prompts by length class. See router.LengthClass.
type PriorityPolicy struct {
	// ShortTokens is the maximum length in tokens of a prompt in the short class.
	ShortTokens int `yaml:"ShortTokens"`
	// ShortWeight is the priority of the short class at engines; classes of
	// longer prompts have lower priorities. It is 3 to 10, or 0 for no priorities:
	// engines then run requests in the order of arrival.
	ShortWeight int `yaml:"ShortWeight"`
}

// Digest returns the SHA-256 digest of a document's bytes in lower-case hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// shortDigestLength is the number of hex digits in a shortened digest: 64 bits.
const shortDigestLength = 16

// ShortenDigest returns the first 64 bits of a digest in hex. These are enough
// for entries to detect that their documents differ. An entry then fetches the
// whole document and checks its full digest.
func ShortenDigest(digest string) string {
	return digest[:min(len(digest), shortDigestLength)]
}

// DocumentVersion identifies a document and defines a total order of documents.
// The order depends on the documents alone, so all entries agree on which of
// two is newer, whichever documents each has received.
type DocumentVersion struct {
	// Revision is the revision stated in the document.
	Revision uint64
	// Digest is the full digest of the document. Of two documents with the same
	// revision, the one with the greater digest is newer.
	Digest string
}

// Less reports whether the document of v is older than that of o.
func (v DocumentVersion) Less(o DocumentVersion) bool {
	if v.Revision != o.Revision {
		return v.Revision < o.Revision
	}
	return v.Digest < o.Digest
}

// ValidDocument is a document that passed all checks, with indexes by name. It
// must not be modified.
type ValidDocument struct {
	Document Document
	// Version holds the revision of the document and the digest of Raw.
	Version DocumentVersion
	// Raw is the document as published, seal included.
	Raw []byte

	// organisations is indexed by KeyDigest, the other maps by name.
	organisations map[string]*Organisation
	engines       map[string]*Engine
	models        map[string]*Model
	services      map[string]*Service
}

// OrganisationByKey returns the organisation that a bearer key belongs to, and
// whether there is one.
func (v *ValidDocument) OrganisationByKey(key string) (*Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	o, ok := v.organisations[hex.EncodeToString(sum[:])]
	return o, ok
}

// Engine returns the engine with a name, and whether there is one.
func (v *ValidDocument) Engine(name string) (*Engine, bool) {
	e, ok := v.engines[name]
	return e, ok
}

// Model returns the model with a name, and whether there is one.
func (v *ValidDocument) Model(name string) (*Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Service returns the service with a name, and whether there is one.
func (v *ValidDocument) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// IsRepeatable reports whether a call of the service may run more than once for
// one request. Found is false if the service has no call of that name.
func (s *Service) IsRepeatable(call string) (repeatable, found bool) {
	for _, c := range s.Calls {
		if c.Name == call {
			return c.Repeatable, true
		}
	}
	return false, false
}

// newValidDocument builds the indexes of a document that has been checked. Raw
// is the document as published; it is copied.
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
