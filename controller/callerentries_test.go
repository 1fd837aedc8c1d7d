package controller

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readyEntries returns takers of two speeds, the fast ones first.
func readyEntries(fast, slow int) []readyEntry {
	var out []readyEntry
	for i := range fast + slow {
		t := readyEntry{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), capacity: capacity{speed: 0.8}}
		if i >= fast {
			t.speed = 0.192
		}
		out = append(out, t)
	}
	return out
}

// Callers are sent to fast entries where there are enough, and to all where few are fast,
// where speeds are not known or where the fast ones have too much to do.
func TestPreferredEntries(t *testing.T) {
	unknown := readyEntries(0, 9)
	for i := range unknown {
		unknown[i].speed = 0
	}
	mixed := readyEntries(0, 9)
	mixed[0].speed = 0 // one that does not say
	strain := func(takers []readyEntry, n int) []readyEntry {
		for i := range n {
			takers[i].overloaded = true
		}
		return takers
	}
	for _, c := range []struct {
		name   string
		takers []readyEntry
		want   int
	}{
		{"the large deployment", readyEntries(15, 80), 15},
		{"few fast ones", readyEntries(5, 20), 25},
		{"a small part of all speed", readyEntries(6, 160), 166},
		{"six fast ones", readyEntries(6, 77), 6},
		{"all alike", readyEntries(0, 9), 9},
		{"speeds not known", unknown, 9},
		{"one not known", mixed, 8},
		{"some fast ones strained", strain(readyEntries(15, 80), 3), 12},
		{"most fast ones strained", strain(readyEntries(15, 80), 12), 83},
		{"one strained of all alike", strain(readyEntries(0, 7), 1), 6},
		{"all strained", strain(readyEntries(3, 4), 7), 7},
		{"nobody", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(preferredEntries(c.takers)), c.want)
		})
	}
}

// An entry whose clock ticks late for a second is strained, until it has ticked in time for
// some two; a pause of its process alone does not strain it.
func TestOverloadDetection(t *testing.T) {
	is := is.New(t)
	var m lagMeter
	changes := 0
	tick := func(late time.Duration, n int) {
		for range n {
			if m.observe(late) {
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
	tick(20*time.Millisecond, 50) // neither late enough nor calm
	is.True(m.overloaded)
	tick(time.Millisecond, 20)
	is.True(!m.overloaded)
	is.Equal(changes, 2)
	is.Equal(fmt.Sprint(m.average < recoveredLag), "true")
}
