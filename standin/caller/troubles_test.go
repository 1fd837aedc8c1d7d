package caller

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// Callers saw answers cut in the middle by entries that had been told to stop, and
// the random runs let that pass: nothing there held an answer that broke off against
// the stop of its entry. Here is which ends count as lost to a stop, and which have
// another cause. Times are in milliseconds after SIGTERM; the process ends at 7300.
func TestLossByShutdown(t *testing.T) {
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	entry, other := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	ended := errors.New("unexpected EOF")
	type run = worker.Run
	sound := []run{{Upstream: "i-lm-1", Began: at(2010), Ended: at(7300)}}
	with := func(f worker.Fault, began, ended int) run {
		return run{Upstream: "i-lm-1", Fault: f, Began: at(began), Ended: at(ended)}
	}
	for name, c := range map[string]struct {
		path       string
		sent, took int
		limit      int
		status     int
		err        error
		again      string
		runs       []run
		refusals   []run
		away       *cut
		unsent     bool
		elsewhere  bool
		killed     int
		cut        *cut
		lost       bool
	}{
		"cut by the end":                       {sent: 2000, took: 5300, status: 200, err: ended, runs: sound, lost: true},
		"cut before the header":                {sent: 2000, took: 5300, err: ended, runs: sound, lost: true},
		"sent before, limit before the end":    {sent: -500, took: 7800, limit: 8500, status: 200, err: ended, runs: sound, lost: true},
		"sent before, limit beyond the end":    {sent: -500, took: 7800, limit: 8600, status: 200, err: ended, runs: sound},
		"sent after, limit beyond the end":     {sent: 10, took: 7290, limit: 8600, status: 200, err: ended, runs: sound, lost: true},
		"whole":                                {sent: 2000, took: 5000, status: 200, runs: sound},
		"refused":                              {sent: 2000, took: 5, status: 503, again: "0.05"},
		"refused without a time":               {sent: 2000, took: 5, status: 503, lost: true},
		"refused though it ran":                {sent: 2000, took: 5, status: 503, again: "0.05", runs: sound, lost: true},
		"another answer":                       {sent: 2000, took: 5, status: 502, lost: true},
		"limit reached":                        {sent: 200, took: 7000, status: 504, runs: sound},
		"not sent":                             {sent: 4000, took: 1, err: ended, unsent: true},
		"another entry":                        {sent: 2000, took: 5300, status: 200, err: ended, runs: sound, elsewhere: true},
		"ended before":                         {sent: -3000, took: 2000, status: 200, err: ended, runs: sound},
		"sent after the end":                   {sent: 7400, took: 100, err: ended, runs: sound},
		"met the closing of its connection":    {sent: 3600, took: 1, err: ended},
		"read, and closed without a word":      {sent: 3600, took: 300, err: ended, lost: true},
		"killed meanwhile":                     {sent: 2000, took: 1000, status: 200, err: ended, runs: sound, killed: 3000},
		"killed after it":                      {sent: 2000, took: 1000, status: 200, err: ended, runs: sound, killed: 3500, lost: true},
		"torn by its upstream":                 {sent: 2000, took: 1000, status: 200, err: ended, runs: []run{with(worker.Torn, 2010, 3000)}},
		"its upstream is mute":                 {sent: 2000, took: 5300, err: ended, runs: []run{with(worker.Mute, 2010, 7300)}},
		"its upstream is slow":                 {sent: 2000, took: 5300, status: 200, err: ended, runs: []run{with(worker.Slow, 2010, 7300)}, lost: true},
		"given up as its upstream was slow":    {sent: 2000, took: 1500, status: 502, runs: []run{with(worker.Slow, 2010, 3500)}},
		"a torn run, mended by a sound one":    {sent: 1000, took: 6300, status: 200, err: ended, runs: []run{with(worker.Torn, 1010, 2000), sound[0]}, lost: true},
		"short is a stream's fault only":       {path: "/once/x", sent: 2000, took: 5300, err: ended, runs: []run{with(worker.Short, 2010, 7300)}, lost: true},
		"its upstream cut off":                 {sent: 2000, took: 1000, status: 200, err: ended, runs: []run{with(0, 2010, 3000)}, cut: &cut{upstream: "i-lm-1", from: at(3000), to: at(3000)}},
		"its upstream cut off before":          {sent: 2000, took: 5300, status: 200, err: ended, runs: sound, cut: &cut{upstream: "i-lm-1", from: at(1000), to: at(2000)}, lost: true},
		"another upstream cut off":             {sent: 2000, took: 5300, status: 200, err: ended, runs: sound, cut: &cut{upstream: "i-lm-3", from: at(1000)}, lost: true},
		"cut off on its way to its upstream":   {sent: 2000, took: 100, status: 502, runs: []run{with(0, 2150, 2150)}, cut: &cut{upstream: "i-lm-1", from: at(2100), to: at(2100)}},
		"a stray run beside the last":          {sent: 2000, took: 1000, status: 200, err: ended, runs: []run{with(worker.Torn, 2100, 3000), with(0, 2150, 2150)}},
		"ended by late word of a new run":      {sent: 2000, took: 1000, status: 200, err: ended, runs: []run{with(0, 2010, 3000)}, cut: &cut{upstream: "i-lm-1", from: at(1500), to: at(3500), heard: true}},
		"word of a new run is over":            {sent: 4000, took: 1000, status: 200, err: ended, runs: []run{with(0, 4010, 5000)}, cut: &cut{upstream: "i-lm-1", from: at(1500), to: at(3500), heard: true}, lost: true},
		"word of a new run came later still":   {sent: 4000, took: 1000, status: 200, err: ended, runs: []run{with(0, 4010, 5000)}, cut: &cut{upstream: "i-lm-1", from: at(1500), to: at(3500), heard: true}, away: &cut{from: at(1000), to: at(3000)}},
		"given up for a full upstream":         {path: "/safe/x", sent: 2000, took: 600, status: 502, runs: []run{with(0, 2000, 2600)}, refusals: []run{with(worker.Full, 2600, 2600)}},
		"only full upstreams":                  {sent: 2000, took: 5, status: 502, refusals: []run{with(worker.Full, 2002, 2002)}, lost: true},
		"cut after a full upstream":            {path: "/safe/x", sent: 2000, took: 5300, err: ended, runs: []run{with(0, 2000, 7300)}, refusals: []run{with(worker.Full, 1990, 1990)}, lost: true},
		"not ended by late word of a new run":  {sent: 2000, took: 5300, status: 200, err: ended, runs: sound, cut: &cut{upstream: "i-lm-1", from: at(1500), to: at(3500), heard: true}, lost: true},
		"hung before an upstream cut off":      {sent: 2000, took: 5300, err: ended, cut: &cut{upstream: "i-lm-3", from: at(1000)}},
		"ran nowhere, another service cut off": {sent: 2000, took: 5300, err: ended, cut: &cut{upstream: "i-app-0", from: at(1000)}, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := &FaultLog{}
			x.stops = []*Shutdown{{troubles: x, entry: entry, at: start, force: at(8000), ended: at(7300)}}
			if c.killed > 0 {
				x.kills = []kill{{entry: entry, at: at(c.killed)}}
			}
			if c.cut != nil {
				x.cuts = []*cut{c.cut}
			}
			if c.away != nil {
				x.away = []*cut{c.away}
			}
			r := Result{
				ID: "r", Path: "/stream/x", Entry: netip.AddrPortFrom(entry, 80), Status: c.status, Err: c.err, HeaderSent: !c.unsent, RetryAfter: c.again,
				StartedAt: at(c.sent), Duration: time.Duration(c.took) * time.Millisecond, TimeLimit: 7 * time.Second,
			}
			if c.path != "" {
				r.Path = c.path
			}
			if c.limit > 0 {
				r.TimeLimit = time.Duration(c.limit) * time.Millisecond
			}
			if c.elsewhere {
				r.Entry = netip.AddrPortFrom(other, 80)
			}
			is.New(t).Equal(len(x.lost(r, c.runs, c.refusals)) > 0, c.lost)
		})
	}
}
