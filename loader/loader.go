// Package loader reads the YAML file with the settings of an entry daemon, sets
// defaults and checks the values.
package loader

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/decoder"
	"github.com/sapphireramp/sapphireramp/sealer"
)

// maxSettingsSize is the maximum size of a settings file in bytes.
const maxSettingsSize = 1 << 20

// Settings holds the settings of one entry.
type Settings struct {
	// Name identifies the entry. It is unique among all entries.
	Name string `yaml:"Name"`
	// DataCentre is the name of the data centre that the entry runs in.
	DataCentre string `yaml:"DataCentre"`
	// Address is the address announced to callers, PeerAddress the one announced
	// to other entries.
	Address     netip.AddrPort `yaml:"Address"`
	PeerAddress netip.AddrPort `yaml:"PeerAddress"`
	// Listen and PeerListen are the addresses that the entry listens on for
	// callers and for other entries. They default to Address and PeerAddress.
	Listen     netip.AddrPort `yaml:"Listen"`
	PeerListen netip.AddrPort `yaml:"PeerListen"`
	// Platform is the address of the platform's configuration service and
	// instance list.
	Platform netip.AddrPort `yaml:"Platform"`
	// Peers are addresses of other entries to contact at the start, when the
	// instance list is not known yet or is unavailable.
	Peers []netip.AddrPort `yaml:"Peers"`

	// SealKeys are the public keys, in hex, of the consoles whose seals this
	// entry accepts. If it is empty, documents need no seal.
	SealKeys []string     `yaml:"SealKeys"`
	Log      Log          `yaml:"Log"`
	Timing   Timing       `yaml:"Timing"`
	Callers  CallerLimits `yaml:"Callers"`
}

// Log selects the lines that are logged.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `yaml:"Level"`
	// Layers names the layers that are logged, as in logger.Layers; empty means
	// all.
	Layers []string `yaml:"Layers"`
}

// Timing holds the periods and timeouts of an entry's background tasks and of
// its requests to engines and to the platform.
type Timing struct {
	// Heartbeat is the time between two heartbeats to a neighbour.
	Heartbeat time.Duration `yaml:"Heartbeat"`
	// Neighbours is the number of entries that each entry sends heartbeats to.
	Neighbours int `yaml:"Neighbours"`
	// Suspect is the time without a heartbeat after which a neighbour counts as
	// dead.
	Suspect time.Duration `yaml:"Suspect"`
	// Poll is the period at which a keeper requests the load of its engines.
	Poll time.Duration `yaml:"Poll"`
	// List is the period at which a keeper lists the memory reservations (holds)
	// at its engines.
	List time.Duration `yaml:"List"`
	// Lease is the time without a renewal after which a hold counts as orphaned.
	Lease time.Duration `yaml:"Lease"`
	// Watch is how long a watch request to the platform waits for a change.
	Watch time.Duration `yaml:"Watch"`
	// Silence is the maximum time between two chunks of an engine's stream. If it
	// passes, the attempt is cancelled and the stream is resumed at another
	// engine.
	Silence time.Duration `yaml:"Silence"`
}

// CallerLimits bounds the requests of callers and the time for which addresses
// and tickets given to callers are valid.
type CallerLimits struct {
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64 `yaml:"MaxBody"`
	// AddressLife is how long a caller may use the entry addresses that an entry
	// returned.
	AddressLife time.Duration `yaml:"AddressLife"`
	// TicketLife is how long a ticket, which allows one request to run at most
	// once, is valid.
	TicketLife time.Duration `yaml:"TicketLife"`
	// DrainSlack is the minimum time for which an entry that shuts down still
	// accepts connections after AddressLife has passed.
	DrainSlack time.Duration `yaml:"DrainSlack"`
}

// Defaults returns the default settings. Fields without a default are zero.
func Defaults() Settings {
	return Settings{
		Log: Log{Level: "info"},
		Timing: Timing{
			Heartbeat:  500 * time.Millisecond,
			Neighbours: 6,
			Suspect:    2500 * time.Millisecond,
			Poll:       250 * time.Millisecond,
			List:       time.Second,
			Lease:      6 * time.Second,
			Watch:      20 * time.Second,
			Silence:    5 * time.Second,
		},
		Callers: CallerLimits{
			MaxBody:     8 << 20,
			AddressLife: 10 * time.Second,
			TicketLife:  10 * time.Minute,
			DrainSlack:  time.Second,
		},
	}
}

// Load reads and checks the settings file at path. See Parse for the errors.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and checks settings, with Defaults for the fields that data does
// not set. The error for invalid values wraps decoder.FieldErrors with all
// invalid fields.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	if err := decoder.Decode(data, maxSettingsSize, &s); err != nil {
		return Settings{}, fmt.Errorf("decode settings: %w", err)
	}
	if !s.Listen.IsValid() {
		s.Listen = s.Address
	}
	if !s.PeerListen.IsValid() {
		s.PeerListen = s.PeerAddress
	}
	if err := s.check(); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// logLevels lists the valid values of Log.Level.
var logLevels = []string{"debug", "info", "warn", "error"}

// check returns decoder.FieldErrors with all invalid fields, or nil if all fields
// are valid.
func (s Settings) check() error {
	var fieldErrors decoder.FieldErrors
	fieldErrors.Require(s.Name != "" && len(s.Name) <= 64 && !strings.ContainsAny(s.Name, " \t\n\"/=,."), "Name", s.Name, "1 to 64 characters without space, quote, '/', '=', ',' or '.'")
	fieldErrors.Require(s.DataCentre != "", "DataCentre", s.DataCentre, "the name of a data centre")
	fieldErrors.Require(s.Address.IsValid() && s.Address.Port() != 0, "Address", s.Address, "IP:port")
	fieldErrors.Require(s.PeerAddress.IsValid() && s.PeerAddress.Port() != 0, "PeerAddress", s.PeerAddress, "IP:port")
	fieldErrors.Require(s.Address != s.PeerAddress, "PeerAddress", s.PeerAddress, "other than Address")
	fieldErrors.Require(s.Listen != s.PeerListen, "PeerListen", s.PeerListen, "other than Listen")
	fieldErrors.Require(s.Platform.IsValid() && s.Platform.Port() != 0, "Platform", s.Platform, "IP:port")
	for i, k := range s.SealKeys {
		_, err := sealer.ParsePublicKey(k)
		fieldErrors.Require(err == nil, fmt.Sprintf("SealKeys[%d]", i), k, "32 bytes in hex")
	}
	knownLevel := false
	for _, l := range logLevels {
		knownLevel = knownLevel || l == s.Log.Level
	}
	fieldErrors.Require(knownLevel, "Log.Level", s.Log.Level, "one of "+strings.Join(logLevels, ", "))
	s.Timing.check(&fieldErrors)
	s.Callers.check(&fieldErrors)
	return fieldErrors.Err()
}

// checkDuration adds a field error unless d is between low and high, both
// inclusive.
func checkDuration(fieldErrors *decoder.FieldErrors, field string, d, low, high time.Duration) {
	fieldErrors.Require(d >= low && d <= high, field, d, fmt.Sprintf("%s to %s", low, high))
}

// check adds the invalid fields of t to fieldErrors.
func (t Timing) check(fieldErrors *decoder.FieldErrors) {
	checkDuration(fieldErrors, "Timing.Heartbeat", t.Heartbeat, 10*time.Millisecond, time.Minute)
	checkDuration(fieldErrors, "Timing.Suspect", t.Suspect, 2*t.Heartbeat, 10*time.Minute)
	checkDuration(fieldErrors, "Timing.Poll", t.Poll, 10*time.Millisecond, time.Minute)
	checkDuration(fieldErrors, "Timing.List", t.List, t.Poll, time.Minute)
	checkDuration(fieldErrors, "Timing.Lease", t.Lease, max(4*t.Poll, 2*t.List), 10*time.Minute)
	checkDuration(fieldErrors, "Timing.Watch", t.Watch, 100*time.Millisecond, 5*time.Minute)
	checkDuration(fieldErrors, "Timing.Silence", t.Silence, 100*time.Millisecond, 10*time.Minute)
	fieldErrors.Require(t.Neighbours >= 1 && t.Neighbours <= 64, "Timing.Neighbours", t.Neighbours, "1 to 64")
}

// check adds the invalid fields of c to fieldErrors.
func (c CallerLimits) check(fieldErrors *decoder.FieldErrors) {
	fieldErrors.Require(c.MaxBody >= 1<<10 && c.MaxBody <= 1<<30, "Callers.MaxBody", c.MaxBody, "1024 to 1073741824 bytes")
	checkDuration(fieldErrors, "Callers.AddressLife", c.AddressLife, 100*time.Millisecond, time.Hour)
	checkDuration(fieldErrors, "Callers.TicketLife", c.TicketLife, time.Second, 24*time.Hour)
	checkDuration(fieldErrors, "Callers.DrainSlack", c.DrainSlack, 0, time.Minute)
}
