package soak

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/controller"
	"github.com/sapphireramp/sapphireramp/standin/crowd"
)

const (
	// crowdMemoryMB and crowdMaxFDs are the limits of the entry in these tests, in mebibytes and descriptors. They are
	// the bounds too.
	crowdMemoryMB, crowdMaxFDs = 96, 300
	// crowdSize is the number of clients that send bytes, silentSize that of those that send none.
	crowdSize, silentSize = 150, 400
	// crowdTime is the time for which a crowd is there. servedWithin bounds the time in which one request of an ordinary
	// caller has to be served, and in which descriptors have to be given back; callers try until then.
	crowdTime, servedWithin = 3 * time.Second, 30 * time.Second
	// freeFDs is the number of descriptors that an entry may have more afterwards than before.
	freeFDs = 30
)

// part is one kind of client in a crowd: count clients that connect to a port of the entry.
type part struct {
	port   uint16
	count  int
	sender crowd.Sender
}

// crowds are the crowds of TestCrowd by name.
var crowds = map[string][]part{
	"callers/fields":           {{callerPort, crowdSize, crowd.Fields("/safe/x", false)}},
	"callers/completed fields": {{callerPort, crowdSize, crowd.Fields("/safe/x", true)}},
	"callers/long value":       {{callerPort, crowdSize, crowd.LongValue("/safe/x")}},
	"callers/long name":        {{callerPort, crowdSize, crowd.LongName("/safe/x")}},
	"callers/long line":        {{callerPort, crowdSize, crowd.LongLine}},
	"callers/empty lines":      {{callerPort, crowdSize, crowd.EmptyLines}},
	"callers/chunks":           {{callerPort, crowdSize, crowd.Chunks("/safe/x")}},
	"callers/silent":           {{callerPort, silentSize, crowd.Silent}},
	"directory/fields":         {{directoryPort, crowdSize, crowd.Fields("/resolve?name=h", false)}},
	"directory/long value":     {{directoryPort, crowdSize, crowd.LongValue("/resolve?name=h")}},
	"directory/empty lines":    {{directoryPort, crowdSize, crowd.EmptyLines}},
	"directory/silent":         {{directoryPort, silentSize, crowd.Silent}},
	"readiness/fields":         {{readyPort, crowdSize, crowd.Fields("/ready", false)}},
	"readiness/long value":     {{readyPort, crowdSize, crowd.LongValue("/ready")}},
	"readiness/silent":         {{readyPort, silentSize, crowd.Silent}},
	"metrics/fields":           {{metricsPort, crowdSize, crowd.Fields("/metrics", false)}},
	"metrics/long value":       {{metricsPort, crowdSize, crowd.LongValue("/metrics")}},
	"metrics/silent":           {{metricsPort, silentSize, crowd.Silent}},
	"peers/noise":              {{peerPort, crowdSize, crowd.Noise}},
	"peers/open frame":         {{peerPort, crowdSize, crowd.OpenFrame}},
	"peers/long frame":         {{peerPort, crowdSize, crowd.LongFrame}},
	"peers/type definitions":   {{peerPort, crowdSize, crowd.TypeDefinitions}},
	"peers/silent":             {{peerPort, silentSize, crowd.Silent}},
	"all": {
		{callerPort, crowdSize, crowd.Fields("/safe/x", false)}, {directoryPort, crowdSize, crowd.LongValue("/resolve?name=h")},
		{readyPort, silentSize / 2, crowd.Silent}, {metricsPort, silentSize / 2, crowd.Silent}, {peerPort, crowdSize, crowd.OpenFrame},
	},
}

const (
	// inventedBeats is the number of heartbeats that a client of inventEntries sends, inventedContacts the number of
	// entries that each names.
	inventedBeats, inventedContacts = 20, 500
	// inventedNameBytes is the length of the names.
	inventedNameBytes = 200
	// inventedTime is the time for which the clients are there.
	inventedTime = 12 * time.Second
)

// inventEntries sends heartbeats of entries that do not exist, which name more of them.
func inventEntries(w io.Writer) error {
	encoder := gob.NewEncoder(w)
	name := func() string { return fmt.Sprintf("%0*x", inventedNameBytes, rand.Uint64()) }
	for n := range uint64(inventedBeats) {
		beat := controller.Beat{Heartbeat: api.Heartbeat{From: name(), Incarnation: 1, Ready: true}, Knows: inventedContacts}
		for range inventedContacts {
			beat.Contacts = append(beat.Contacts, controller.Contact{Name: name(), Incarnation: 1, Ready: true, Peers: netip.MustParseAddrPort("127.0.0.1:9")})
		}
		if err := errors.Join(encoder.Encode(rpc.Request{ServiceMethod: "Peer.Beat", Seq: n}), encoder.Encode(beat)); err != nil {
			return err
		}
	}
	return nil
}

// Guards against clients that end a process with what they send, in whichever crowd and to whichever address: heads and
// other bytes without an end, and connections without a byte took all memory and all descriptors.
func TestCrowd(t *testing.T) {
	for name, parts := range crowds {
		t.Run(name, func(t *testing.T) { runCrowd(t, parts, crowdTime) })
	}
}

// Guards against clients that name entries without an end to an entry that remembers all of them.
func TestCrowdOfInventedEntries(t *testing.T) {
	runCrowd(t, []part{{peerPort, crowdSize, inventEntries}}, inventedTime)
}

// runCrowd checks that an entry stays within its limits while a crowd is there for a time, and serves afterwards.
func runCrowd(t *testing.T, parts []part, crowdTime time.Duration) {
	f := newFleetWithLimits(t, 240, 1, limits{memoryMB: crowdMemoryMB, maxFDs: crowdMaxFDs, maxBody: 100_000, maxHeader: 16384, headerTimeout: 3 * time.Second})
	f.awaitReady(servedWithin)
	e := f.entries[0]
	f.awaitServed("calm-before")
	before, err := crowd.Measure(e.processID(), e.host)
	if err != nil {
		t.Fatal(err)
	}
	watch := crowd.NewWatch(e.processID(), e.host)
	var started []*crowd.Crowd
	for _, p := range parts {
		_ = p.sender(io.Discard) // what is sent is prepared before the clients begin
		started = append(started, crowd.Start(netip.AddrPortFrom(e.host, p.port), p.count, p.sender))
	}
	time.Sleep(crowdTime)
	connected := int64(0)
	for _, c := range started {
		connected += c.Connected()
		c.Stop()
	}
	f.awaitServed("calm-after")
	f.awaitReady(servedWithin)
	most, err := watch.End()
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d connections: %d MiB resident and %d unread, %d before; %d descriptors", connected, most.Resident>>20, most.Unread>>20, before.Memory()>>20, most.Descriptors)
	if most.Memory() > crowdMemoryMB<<20 {
		t.Errorf("%d MiB in use: must be at most %d", most.Memory()>>20, crowdMemoryMB)
	}
	if most.Descriptors > crowdMaxFDs {
		t.Errorf("%d descriptors in use: must be at most %d", most.Descriptors, crowdMaxFDs)
	}
	e.awaitDescriptors(before.Descriptors + freeFDs)
}

// Guards against clients that hold all places of an entry, so that ordinary callers, the platform's checks and other
// addresses get no answer while they are there.
func TestCrowdLeavesPlaces(t *testing.T) {
	for _, name := range []string{"callers/silent", "callers/fields", "directory/silent", "readiness/silent", "peers/silent", "all"} {
		t.Run(name, func(t *testing.T) {
			f := newFleetWithLimits(t, 240, 1, limits{memoryMB: crowdMemoryMB, maxFDs: crowdMaxFDs, maxBody: 100_000, maxHeader: 16384, headerTimeout: 3 * time.Second})
			f.awaitReady(servedWithin)
			for _, p := range crowds[name] {
				c := crowd.Start(netip.AddrPortFrom(f.entries[0].host, p.port), p.count, p.sender)
				defer c.Stop()
			}
			time.Sleep(crowdTime / 3)
			f.awaitReady(servedWithin)
			for n := range 5 {
				f.awaitServed(fmt.Sprintf("calm-beside-%d", n))
			}
		})
	}
}

// awaitServed sends requests of an ordinary caller until one is served, and fails the test if none is.
func (f *fleet) awaitServed(name string) {
	f.t.Helper()
	var last error
	status, deadline := 0, time.Now().Add(servedWithin)
	for n := 0; time.Now().Before(deadline); n++ {
		c := f.newCaller(n)
		r := c.Do("/safe/x", fmt.Sprintf("%s-%d", name, n), "key-1", 5*time.Second)
		c.Close()
		if r.Status == http.StatusOK && r.Err == nil {
			return
		}
		status, last = r.Status, r.Err
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Errorf("%s: no request was served within %s: status %d: %v", name, servedWithin, status, last)
}

// processID returns the ID of the entry's process.
func (e *entry) processID() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.cmd.Process.Pid
}

// awaitDescriptors waits until the entry has at most count descriptors open, and fails the test if it does not.
func (e *entry) awaitDescriptors(count int) {
	e.fleet.t.Helper()
	var last crowd.Usage
	for deadline := time.Now().Add(servedWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		var err error
		if last, err = crowd.Measure(e.processID(), e.host); err != nil {
			e.fleet.t.Error(err)
			return
		}
		if last.Descriptors <= count {
			return
		}
	}
	e.fleet.t.Errorf("%d descriptors are open: must be at most %d after the clients have left", last.Descriptors, count)
}
