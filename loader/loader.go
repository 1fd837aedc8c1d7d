// Package loader reads the YAML file with the settings of an entry, sets
// default values and checks all values.
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
	// Name identifies the entry. It must be unique among all entries.
	Name string `yaml:"Name"`
	// DataCentre is the name of the data centre that the entry is in.
	DataCentre string `yaml:"DataCentre"`
	// Address and PeerAddress are the addresses that the entry announces to
	// callers and to other entries.
	Address     netip.AddrPort `yaml:"Address"`
	PeerAddress netip.AddrPort `yaml:"PeerAddress"`
	// Listen and PeerListen are the addresses on which the entry listens for
	// callers and for other entries. They default to Address and PeerAddress.
	Listen     netip.AddrPort `yaml:"Listen"`
	PeerListen netip.AddrPort `yaml:"PeerListen"`
	// Platform is the address of the platform, which serves the configuration
	// document and the instance list.
	Platform netip.AddrPort `yaml:"Platform"`
	// Peers are the peer addresses of other entries to contact after the start,
	// while the instance list has not been received yet or is unavailable.
	Peers []netip.AddrPort `yaml:"Peers"`

	// SealKeys are the Ed25519 public keys, in hex, with which the entry
	// verifies the seals of documents. It refuses documents without a valid
	// seal; if the list is empty, documents need none.
	SealKeys []string     `yaml:"SealKeys"`
	Log      Log          `yaml:"Log"`
	Timing   Timing       `yaml:"Timing"`
	Callers  CallerLimits `yaml:"Callers"`
	// Memory is the memory in bytes that the process may use. What the entry holds for callers and other entries, and
	// its heap, are bounded by it.
	Memory int64 `yaml:"Memory"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 for the limit of the operating system. The
	// number of connections and of tunnels for other entries follows from it.
	MaxDescriptors int `yaml:"MaxDescriptors"`
}

// Log selects the lines that the entry logs.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `yaml:"Level"`
	// Layers lists the layers whose lines are logged, out of logger.Layers;
	// empty means all.
	Layers []string `yaml:"Layers"`
}

// Timing holds the periods and timeouts of an entry's background tasks and of
// its requests to engines and to the platform.
type Timing struct {
	// Heartbeat is the time between two rounds of heartbeats to other entries.
	Heartbeat time.Duration `yaml:"Heartbeat"`
	// Neighbours is the number of other entries that this entry sends a
	// heartbeat to in each round.
	Neighbours int `yaml:"Neighbours"`
	// Suspect is the time since the first unanswered heartbeat after which this
	// entry declares the other entry dead.
	Suspect time.Duration `yaml:"Suspect"`
	// Poll is the period at which this entry requests the load of the engines
	// whose keeper it is, that is, whose memory it grants.
	Poll time.Duration `yaml:"Poll"`
	// List is the period at which a keeper lists the holds (memory
	// reservations) of its engines.
	List time.Duration `yaml:"List"`
	// Lease is the time since the last renewal of a hold after which the keeper
	// treats it as orphaned and frees it. It is also the age beyond which a
	// load report of an engine is too old for grants.
	Lease time.Duration `yaml:"Lease"`
	// Watch is how long the platform may delay its response to a watch request
	// while there is no change.
	Watch time.Duration `yaml:"Watch"`
	// Silence is the maximum time between two chunks of an engine's stream. The
	// first chunk may take longer, by a multiple of the predicted prefill time.
	// If the time passes, the attempt is cancelled and the stream is resumed at
	// another engine.
	Silence time.Duration `yaml:"Silence"`
}

// CallerLimits bounds the size of requests, and the time for which addresses
// and tickets given to callers are valid.
type CallerLimits struct {
	// MaxBody is the maximum size in bytes of a request body, and of a
	// service's response to a call.
	MaxBody int64 `yaml:"MaxBody"`
	// MaxHeader is the maximum size in bytes of a request header, HeaderTimeout the time in which it must arrive.
	// IdleTimeout is the time for which a connection without a request is kept open.
	MaxHeader     int           `yaml:"MaxHeader"`
	HeaderTimeout time.Duration `yaml:"HeaderTimeout"`
	IdleTimeout   time.Duration `yaml:"IdleTimeout"`
	// AddressLife is how long a caller may use the addresses of entries that an
	// entry has returned.
	AddressLife time.Duration `yaml:"AddressLife"`
	// TicketLife is how long a ticket is valid. A request sent with a ticket
	// runs at most once.
	TicketLife time.Duration `yaml:"TicketLife"`
	// DrainSlack is the minimum time for which an entry that shuts down still
	// accepts connections after the addresses that it gave to callers have
	// expired (see AddressLife).
	DrainSlack time.Duration `yaml:"DrainSlack"`
}

// Defaults returns the default settings. Fields that have no default are zero.
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
			MaxBody:       8 << 20,
			MaxHeader:     128 << 10,
			HeaderTimeout: 10 * time.Second,
			IdleTimeout:   2 * time.Minute,
			AddressLife:   10 * time.Second,
			TicketLife:    10 * time.Minute,
			DrainSlack:    time.Second,
		},
		Memory: 1 << 30,
	}
}

// Load reads the settings file at path and returns what Parse returns for its
// content. The error is that of reading the file or of Parse.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes settings from YAML and checks them. Fields that data does not
// set have the values of Defaults. The error for invalid values wraps
// decoder.FieldErrors with all invalid fields.
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

// logLevels lists the valid values of Log.Level, in ascending order.
var logLevels = []string{"debug", "info", "warn", "error"}

// check returns decoder.FieldErrors with all invalid fields, or nil if there
// are none.
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
	fieldErrors.Require(s.Memory >= 64<<20, "Memory", s.Memory, "at least 67108864 bytes")
	fieldErrors.Require(s.MaxDescriptors == 0 || s.MaxDescriptors >= 64, "MaxDescriptors", s.MaxDescriptors, "at least 64, or 0")
	return fieldErrors.Err()
}

// checkDuration adds a field error unless d is between low and high, both
// inclusive.
func checkDuration(fieldErrors *decoder.FieldErrors, field string, d, low, high time.Duration) {
	fieldErrors.Require(d >= low && d <= high, field, d, fmt.Sprintf("%s to %s", low, high))
}

// check adds an error to fieldErrors for each invalid field of t.
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

// check adds an error to fieldErrors for each invalid field of c.
func (c CallerLimits) check(fieldErrors *decoder.FieldErrors) {
	fieldErrors.Require(c.MaxBody >= 1<<10 && c.MaxBody <= 1<<30, "Callers.MaxBody", c.MaxBody, "1024 to 1073741824 bytes")
	fieldErrors.Require(c.MaxHeader >= 1<<10 && c.MaxHeader <= 8<<20, "Callers.MaxHeader", c.MaxHeader, "1024 to 8388608 bytes")
	checkDuration(fieldErrors, "Callers.HeaderTimeout", c.HeaderTimeout, 100*time.Millisecond, 10*time.Minute)
	checkDuration(fieldErrors, "Callers.IdleTimeout", c.IdleTimeout, 100*time.Millisecond, time.Hour)
	checkDuration(fieldErrors, "Callers.AddressLife", c.AddressLife, 100*time.Millisecond, time.Hour)
	checkDuration(fieldErrors, "Callers.TicketLife", c.TicketLife, time.Second, 24*time.Hour)
	checkDuration(fieldErrors, "Callers.DrainSlack", c.DrainSlack, 0, time.Minute)
}
