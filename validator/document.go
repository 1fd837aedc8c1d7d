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

// Document is the configuration that all entries share. It states which
// organisations may use which models and services, and how each engine and
// service is used.
type Document struct {
	// Revision is at least 1. The console makes it one greater than that of the
	// document that was edited. Entries replace a document only by one with a
	// greater DocumentVersion.
	Revision uint64 `yaml:"Revision"`
	// Base is the SHA-256 digest, in lower-case hex, of the document that this
	// one was edited from; empty for the first document.
	Base          string         `yaml:"Base,omitempty"`
	Models        []Model        `yaml:"Models"`
	Organisations []Organisation `yaml:"Organisations"`
	Engines       []Engine       `yaml:"Engines"`
	Services      []Service      `yaml:"Services"`
	Limits        Limits         `yaml:"Limits"`
	Policy        PriorityPolicy `yaml:"Policy"`
	// Seal is the signature that the console adds to a document that passed its
	// check; empty if the document is not sealed. See package sealer.
	Seal string `yaml:"Seal,omitempty"`
}

// Model is a model that engines can load.
type Model struct {
	Name string `yaml:"Name"`
	// Versions and Adapters are the names of the versions and adapters that
	// engines may load. At least one version is required. An engine serves one
	// version at a time.
	Versions []string `yaml:"Versions"`
	Adapters []string `yaml:"Adapters,omitempty"`
}

// Organisation is a customer, whose callers may use certain models and
// services.
type Organisation struct {
	Name string `yaml:"Name"`
	// KeyDigest is the SHA-256 digest, in lower-case hex, of the API key that
	// identifies the organisation. The document never contains the key itself.
	KeyDigest string `yaml:"KeyDigest"`
	// Models and Services are the names of the models and services that the
	// organisation may use. At least one model or service is required.
	Models   []string `yaml:"Models"`
	Services []string `yaml:"Services,omitempty"`
	// MaxInFlight is the maximum number of the organisation's requests in flight
	// at one entry.
	MaxInFlight int `yaml:"MaxInFlight"`
	// Rank is the urgency of the organisation's requests while capacity is
	// short: 0, the default, to 9. Requests of a lower rank are served first.
	Rank int `yaml:"Rank,omitempty"`
}

// Engine states what one engine is to serve, and its capacity. The address of
// the engine is in the instance list.
type Engine struct {
	// Name is the name of the engine in the instance list.
	Name string `yaml:"Name"`
	// Model, Version and Adapters are the names of the model, the version and
	// the adapters that the engine is to load.
	Model    string   `yaml:"Model"`
	Version  string   `yaml:"Version"`
	Adapters []string `yaml:"Adapters,omitempty"`
	// Role is one of the Role constants.
	Role string `yaml:"Role"`
	// MemoryTokens is the number of tokens whose KV cache fits in the engine's
	// memory.
	MemoryTokens int `yaml:"MemoryTokens"`
	// PrefillRate is the number of prompt tokens that the engine prefills per
	// second.
	PrefillRate int `yaml:"PrefillRate"`
	// ChecksFences is true if the engine refuses an order whose fencing number
	// is not greater than that of every earlier order. An order
	// (api.EngineOrder) states the model, the adapters and the role that the
	// engine has to serve.
	ChecksFences bool `yaml:"ChecksFences"`
	// ChecksOrders is true if the engine refuses an order whose issuer is not
	// on the engine's own list of accepted issuers.
	ChecksOrders bool `yaml:"ChecksOrders"`
}

// Roles of an engine: the kind of requests that it is to serve (short or long
// prompts), or the phase of requests (prefill or decode). RoleMixed means all
// of them.
const (
	RoleMixed   = "Mixed"
	RoleShort   = "Short"
	RoleLong    = "Long"
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
)

// Service is a kind of upstream other than an engine. Its instances answer
// calls.
type Service struct {
	Name string `yaml:"Name"`
	// Instances are the names of the instances that run the service, as in the
	// instance list.
	Instances []string `yaml:"Instances"`
	// Slots is the number of calls that one instance runs at the same time; 0 if
	// unknown. Where it is stated, calls are divided between organisations while
	// the service is short of capacity.
	Slots int `yaml:"Slots,omitempty"`
	// Calls are the operations that callers may request of the service.
	Calls []Call `yaml:"Calls"`
}

// Call is one operation of a service.
type Call struct {
	Name string `yaml:"Name"`
	// Repeatable is true if one request may run the call more than once, as
	// retries can do. If it is false, the call runs at most once for a request.
	Repeatable bool `yaml:"Repeatable"`
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxPromptTokens is the maximum length of a prompt. MaxNewTokens is the
	// maximum number of tokens that a request may ask to generate.
	MaxPromptTokens int `yaml:"MaxPromptTokens"`
	MaxNewTokens    int `yaml:"MaxNewTokens"`
	// MaxTimeout is the maximum timeout that a request may set. DefaultTimeout
	// is that of requests that set none; it is at most MaxTimeout.
	MaxTimeout     time.Duration `yaml:"MaxTimeout"`
	DefaultTimeout time.Duration `yaml:"DefaultTimeout"`
	// MaxGroup is the maximum number of engines that may share one long prompt,
	// each prefilling and holding a shard of it.
	MaxGroup int `yaml:"MaxGroup"`
	// MaxInFlight is the maximum number of requests in flight at one entry,
	// over all organisations.
	MaxInFlight int `yaml:"MaxInFlight"`
}

// PriorityPolicy sets the priorities of requests at engines by the length class
// of the prompt. See router.LengthClass.
type PriorityPolicy struct {
	// ShortTokens is the maximum length in tokens of a prompt of the short
	// class.
	ShortTokens int `yaml:"ShortTokens"`
	// ShortWeight is the priority of prompts of the short class; those of
	// longer classes have lower priorities. It is 3 to 10, or 0 for no
	// priorities: engines then run requests in the order of arrival.
	ShortWeight int `yaml:"ShortWeight"`
}

// Digest returns the SHA-256 digest of a document, as published, in lower-case
// hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// shortDigestLength is the number of hex digits in a shortened digest: 64 bits.
const shortDigestLength = 16

// ShortenDigest returns the first 64 bits of a digest in hex. They are enough
// for an entry to detect that a peer's document differs from its own. It then
// fetches the whole document and computes the full digest.
func ShortenDigest(digest string) string {
	return digest[:min(len(digest), shortDigestLength)]
}

// DocumentVersion identifies a document and defines a total order of documents.
// The order depends on the documents alone, so all entries agree on which of
// two documents is newer, in whichever order they received them.
type DocumentVersion struct {
	// Revision is the value of the document's field Revision.
	Revision uint64
	// Digest is the full digest of the document (see Digest). Of two documents
	// with the same revision, the one with the greater digest counts as newer.
	Digest string
}

// Less reports whether the document with version v is older than the one with
// version o.
func (v DocumentVersion) Less(o DocumentVersion) bool {
	if v.Revision != o.Revision {
		return v.Revision < o.Revision
	}
	return v.Digest < o.Digest
}

// ValidDocument is a document that passed all checks of Parse, with indexes by
// name. It must not be modified.
type ValidDocument struct {
	Document Document
	// Version is the revision of the document and the digest of Raw.
	Version DocumentVersion
	// Raw is the text of the document as published, including the seal.
	Raw []byte

	// organisations has KeyDigest as key, the other maps have names as keys.
	organisations map[string]*Organisation
	engines       map[string]*Engine
	models        map[string]*Model
	services      map[string]*Service
}

// OrganisationByKey returns the organisation that an API key identifies, and
// whether there is one.
func (v *ValidDocument) OrganisationByKey(key string) (*Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	o, ok := v.organisations[hex.EncodeToString(sum[:])]
	return o, ok
}

// Engine returns the engine with the given name, and whether there is one.
func (v *ValidDocument) Engine(name string) (*Engine, bool) {
	e, ok := v.engines[name]
	return e, ok
}

// Model returns the model with the given name, and whether there is one.
func (v *ValidDocument) Model(name string) (*Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Service returns the service with the given name, and whether there is one.
func (v *ValidDocument) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// IsRepeatable reports whether one request may run the named call of the
// service more than once. Found is false if the service has no such call.
func (s *Service) IsRepeatable(call string) (repeatable, found bool) {
	for _, c := range s.Calls {
		if c.Name == call {
			return c.Repeatable, true
		}
	}
	return false, false
}

// newValidDocument returns a document with its indexes. The document must have
// passed check. Raw is the text as published; it is copied.
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
