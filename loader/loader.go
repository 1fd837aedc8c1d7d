// Package loader reads the settings of an entry daemon from YAML.
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

// maxSettingsSize is the largest settings file in bytes.
const maxSettingsSize = 1 << 20

// Settings of one entry.
type Settings struct {
	// Name is unique among the entries.
	Name       string `yaml:"Name"`
	DataCentre string `yaml:"DataCentre"`
	// Address is where callers connect; PeerAddress where other entries do.
	Address     netip.AddrPort `yaml:"Address"`
	PeerAddress netip.AddrPort `yaml:"PeerAddress"`
	// Listen and PeerListen are where the entry binds, where that is other
	// than what callers and peers are told to connect to.
	Listen     netip.AddrPort `yaml:"Listen"`
	PeerListen netip.AddrPort `yaml:"PeerListen"`
	// Platform is where the configuration service and instance list answer.
	Platform netip.AddrPort `yaml:"Platform"`
	// Peers are peer addresses to ask at the start, before the instance
	// list is known or while it is down.
	Peers []netip.AddrPort `yaml:"Peers"`

	// SealKeys are the public keys, in hex, of consoles whose seals this
	// entry accepts. Without one it accepts documents without a seal.
	SealKeys []string `yaml:"SealKeys"`

	Log     Log          `yaml:"Log"`
	Timing  Timing       `yaml:"Timing"`
	Callers CallerLimits `yaml:"Callers"`
}

// Log selects what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"Level"`
	// Layers that log; empty means all.
	Layers []string `yaml:"Layers"`
}

// Timing holds every period of the control loops.
type Timing struct {
	// Heartbeat is the period of heartbeats to neighbours.
	Heartbeat time.Duration `yaml:"Heartbeat"`
	// Neighbours is how many entries each entry sends heartbeats to.
	Neighbours int `yaml:"Neighbours"`
	// Suspect is the silence after which a neighbour counts as dead.
	Suspect time.Duration `yaml:"Suspect"`
	// Poll is the period of load reports asked of a kept engine.
	Poll time.Duration `yaml:"Poll"`
	// List is the period of listings of a kept engine's holds.
	List time.Duration `yaml:"List"`
	// Lease is the age at which an unrenewed hold is an orphan.
	Lease time.Duration `yaml:"Lease"`
	// Watch is how long a watch of the platform waits for news.
	Watch time.Duration `yaml:"Watch"`
	// Silence is how long an engine's stream may say nothing between chunks
	// before the attempt is given up and resumed elsewhere.
	Silence time.Duration `yaml:"Silence"`
}

// CallerLimits bounds what callers may do.
type CallerLimits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `yaml:"MaxBody"`
	// AddressLife is how long a caller may keep an answer to its question
	// for addresses.
	AddressLife time.Duration `yaml:"AddressLife"`
	// TicketLife is how long a ticket may be spent.
	TicketLife time.Duration `yaml:"TicketLife"`
	// DrainSlack is added to AddressLife before a stopping entry exits.
	DrainSlack time.Duration `yaml:"DrainSlack"`
}

// Defaults returns the settings that a file need not name.
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

// Load reads and checks the settings in a file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(data)
}

// Parse reads and checks settings. The error holds every fault at once.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	if err := decoder.Decode(data, maxSettingsSize, &s); err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
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

var logLevels = []string{"debug", "info", "warn", "error"}

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

func checkDuration(fieldErrors *decoder.FieldErrors, field string, d, low, high time.Duration) {
	fieldErrors.Require(d >= low && d <= high, field, d, fmt.Sprintf("%s to %s", low, high))
}

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

func (c CallerLimits) check(fieldErrors *decoder.FieldErrors) {
	fieldErrors.Require(c.MaxBody >= 1<<10 && c.MaxBody <= 1<<30, "Callers.MaxBody", c.MaxBody, "1024 to 1073741824 bytes")
	checkDuration(fieldErrors, "Callers.AddressLife", c.AddressLife, 100*time.Millisecond, time.Hour)
	checkDuration(fieldErrors, "Callers.TicketLife", c.TicketLife, time.Second, 24*time.Hour)
	checkDuration(fieldErrors, "Callers.DrainSlack", c.DrainSlack, 0, time.Minute)
}
