package controller

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readyEntries returns entries of two speeds, the fast ones first.
func readyEntries(fast, slow int) []readyEntry {
	var out []readyEntry
	for i := range fast + slow {
		e := readyEntry{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), capacity: capacity{speed: 0.8}}
		if i >= fast {
			e.speed = 0.192
		}
		out = append(out, e)
	}
	return out
}

// The work per request takes five times as long on an instance with a fifth of a core. Guards
// against callers being sent to slow entries although enough fast ones can carry the load, and
// against callers being crowded onto entries that are too few, too weak or overloaded. Entries
// that report no speed must not distort the choice.
func TestPreferredEntries(t *testing.T) {
	unknown := readyEntries(0, 9)
	for i := range unknown {
		unknown[i].speed = 0
	}
	mixed := readyEntries(0, 9)
	mixed[0].speed = 0 // this entry does not report its speed
	overload := func(entries []readyEntry, n int) []readyEntry {
		for i := range n {
			entries[i].overloaded = true
		}
		return entries
	}
	for _, c := range []struct {
		name    string
		entries []readyEntry
		want    int
	}{
		{"15 fast of 95", readyEntries(15, 80), 15},
		{"few fast ones", readyEntries(5, 20), 25},
		{"a small fraction of the total speed", readyEntries(6, 160), 166},
		{"six fast ones", readyEntries(6, 77), 6},
		{"all equal", readyEntries(0, 9), 9},
		{"speeds unknown", unknown, 9},
		{"one speed unknown", mixed, 8},
		{"some fast ones overloaded", overload(readyEntries(15, 80), 3), 12},
		{"most fast ones overloaded", overload(readyEntries(15, 80), 12), 83},
		{"one overloaded of equals", overload(readyEntries(0, 7), 1), 6},
		{"all overloaded", overload(readyEntries(3, 4), 7), 7},
		{"no entry", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(preferredEntries(c.entries)), c.want)
		})
	}
}

// An entry is overloaded while its 100 ms timer fires late on average; callers are then sent to
// other entries. Guards against flapping: the state must not end while the average delay is between
// recoveredLag and overloadedLag. Also guards against an entry losing its callers because its
// process was suspended once.
func TestOverloadDetection(t *testing.T) {
	is := is.New(t)
	var m lagMeter
	changes := 0
	tick := func(delay time.Duration, n int) {
		for range n {
			if m.observe(delay) {
				changes++
			}
		}
	}
	tick(5*time.Millisecond, 50)
	is.True(!m.overloaded)
	tick(4*time.Second, 1)
	is.True(!m.overloaded)
	tick(60*time.Millisecond, 10)
	is.True(m.overloaded)
	tick(20*time.Millisecond, 50) // between recoveredLag and overloadedLag
	is.True(m.overloaded)
	tick(time.Millisecond, 20)
	is.True(!m.overloaded)
	is.Equal(changes, 2)
	is.Equal(fmt.Sprint(m.average < recoveredLag), "true")
}
