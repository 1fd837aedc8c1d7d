package controller

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetOf returns takers of two speeds, the fast ones first.
func fleetOf(fast, slow int) []taker {
	var out []taker
	for i := range fast + slow {
		t := taker{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), capacity: capacity{speed: 0.8}}
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
	unknown := fleetOf(0, 9)
	for i := range unknown {
		unknown[i].speed = 0
	}
	mixed := fleetOf(0, 9)
	mixed[0].speed = 0 // one that does not say
	strain := func(takers []taker, n int) []taker {
		for i := range n {
			takers[i].strained = true
		}
		return takers
	}
	for _, c := range []struct {
		name   string
		takers []taker
		want   int
	}{
		{"the large deployment", fleetOf(15, 80), 15},
		{"few fast ones", fleetOf(5, 20), 25},
		{"a small part of all speed", fleetOf(6, 160), 166},
		{"six fast ones", fleetOf(6, 77), 6},
		{"all alike", fleetOf(0, 9), 9},
		{"speeds not known", unknown, 9},
		{"one not known", mixed, 8},
		{"some fast ones strained", strain(fleetOf(15, 80), 3), 12},
		{"most fast ones strained", strain(fleetOf(15, 80), 12), 83},
		{"one strained of all alike", strain(fleetOf(0, 7), 1), 6},
		{"all strained", strain(fleetOf(3, 4), 7), 7},
		{"nobody", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(preferred(c.takers)), c.want)
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
			if m.tick(late) {
				changes++
			}
		}
	}
	tick(5*time.Millisecond, 50)
	is.True(!m.strained)
	tick(4*time.Second, 1)
	is.True(!m.strained)
	tick(60*time.Millisecond, 10)
	is.True(m.strained)
	tick(20*time.Millisecond, 50) // neither late enough nor calm
	is.True(m.strained)
	tick(time.Millisecond, 20)
	is.True(!m.strained)
	is.Equal(changes, 2)
	is.Equal(fmt.Sprint(m.lag < calmLag), "true")
}
