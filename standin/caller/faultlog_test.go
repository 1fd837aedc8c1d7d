package caller

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

// Checks which failed requests count as lost by a shutdown and which have another cause.
// Randomised tests once missed answers that entries cut off after SIGTERM, as no failure
// was attributed to a shutdown. Times are in milliseconds after SIGTERM; the process exits
// at 7300.
func TestLossByShutdown(t *testing.T) {
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	entry, other := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	errCut := errors.New("unexpected EOF")
	type execution = worker.Execution
	lastingUntilExit := []execution{{WorkerID: "i-lm-1", Began: at(2010), Ended: at(7300)}}
	executionWithFault := func(f worker.Fault, began, ended int) execution {
		return execution{WorkerID: "i-lm-1", Fault: f, Began: at(began), Ended: at(ended)}
	}
	for name, c := range map[string]struct {
		path             string
		sentAt, duration int
		timeLimit        int
		status           int
		err              error
		retryAfter       string
		executions       []execution
		refusals         []execution
		storeOutage      *outage
		unsent           bool
		otherEntry       bool
		killedAt         int
		cut              *outage
		lost             bool
	}{
		"interrupted by the exit":                            {sentAt: 2000, duration: 5300, status: 200, err: errCut, executions: lastingUntilExit, lost: true},
		"interrupted before the header":                      {sentAt: 2000, duration: 5300, err: errCut, executions: lastingUntilExit, lost: true},
		"sent before, limit before SIGKILL":                  {sentAt: -500, duration: 7800, timeLimit: 8500, status: 200, err: errCut, executions: lastingUntilExit, lost: true},
		"sent before, limit after SIGKILL":                   {sentAt: -500, duration: 7800, timeLimit: 8600, status: 200, err: errCut, executions: lastingUntilExit},
		"sent after, limit after SIGKILL":                    {sentAt: 10, duration: 7290, timeLimit: 8600, status: 200, err: errCut, executions: lastingUntilExit, lost: true},
		"complete":                                           {sentAt: 2000, duration: 5000, status: 200, executions: lastingUntilExit},
		"refused":                                            {sentAt: 2000, duration: 5, status: 503, retryAfter: "0.05"},
		"refused without Retry-After":                        {sentAt: 2000, duration: 5, status: 503, lost: true},
		"refused though it ran":                              {sentAt: 2000, duration: 5, status: 503, retryAfter: "0.05", executions: lastingUntilExit, lost: true},
		"another status":                                     {sentAt: 2000, duration: 5, status: 502, lost: true},
		"limit reached":                                      {sentAt: 200, duration: 7000, status: 504, executions: lastingUntilExit},
		"not sent":                                           {sentAt: 4000, duration: 1, err: errCut, unsent: true},
		"another entry":                                      {sentAt: 2000, duration: 5300, status: 200, err: errCut, executions: lastingUntilExit, otherEntry: true},
		"ended before SIGTERM":                               {sentAt: -3000, duration: 2000, status: 200, err: errCut, executions: lastingUntilExit},
		"sent after the exit":                                {sentAt: 7400, duration: 100, err: errCut, executions: lastingUntilExit},
		"connection closed before it was read":               {sentAt: 3600, duration: 1, err: errCut},
		"read and closed without a response":                 {sentAt: 3600, duration: 300, err: errCut, lost: true},
		"entry killed during the request":                    {sentAt: 2000, duration: 1000, status: 200, err: errCut, executions: lastingUntilExit, killedAt: 3000},
		"entry killed after the request":                     {sentAt: 2000, duration: 1000, status: 200, err: errCut, executions: lastingUntilExit, killedAt: 3500, lost: true},
		"upstream interrupts the answer":                     {sentAt: 2000, duration: 1000, status: 200, err: errCut, executions: []execution{executionWithFault(worker.FaultBrokenOff, 2010, 3000)}},
		"upstream is silent":                                 {sentAt: 2000, duration: 5300, err: errCut, executions: []execution{executionWithFault(worker.FaultNoAnswer, 2010, 7300)}},
		"upstream is slow":                                   {sentAt: 2000, duration: 5300, status: 200, err: errCut, executions: []execution{executionWithFault(worker.FaultSlow, 2010, 7300)}, lost: true},
		"abandoned because the upstream was slow":            {sentAt: 2000, duration: 1500, status: 502, executions: []execution{executionWithFault(worker.FaultSlow, 2010, 3500)}},
		"retried after an interrupted answer":                {sentAt: 1000, duration: 6300, status: 200, err: errCut, executions: []execution{executionWithFault(worker.FaultBrokenOff, 1010, 2000), lastingUntilExit[0]}, lost: true},
		"short answer is a fault of streams only":            {path: "/once/x", sentAt: 2000, duration: 5300, err: errCut, executions: []execution{executionWithFault(worker.FaultEndsEarly, 2010, 7300)}, lost: true},
		"upstream cut off":                                   {sentAt: 2000, duration: 1000, status: 200, err: errCut, executions: []execution{executionWithFault(0, 2010, 3000)}, cut: &outage{upstream: "i-lm-1", from: at(3000), to: at(3000)}},
		"upstream cut off before the execution":              {sentAt: 2000, duration: 5300, status: 200, err: errCut, executions: lastingUntilExit, cut: &outage{upstream: "i-lm-1", from: at(1000), to: at(2000)}, lost: true},
		"another upstream cut off":                           {sentAt: 2000, duration: 5300, status: 200, err: errCut, executions: lastingUntilExit, cut: &outage{upstream: "i-lm-3", from: at(1000)}, lost: true},
		"cut off before the execution began":                 {sentAt: 2000, duration: 100, status: 502, executions: []execution{executionWithFault(0, 2150, 2150)}, cut: &outage{upstream: "i-lm-1", from: at(2100), to: at(2100)}},
		"delivered as its connection was cut":                {sentAt: 1836, duration: 545, status: 502, executions: []execution{executionWithFault(0, 2380, 2380)}, cut: &outage{upstream: "i-lm-1", from: at(2378), to: at(2379)}},
		"ended at once without a cut":                        {sentAt: 1836, duration: 545, status: 502, executions: []execution{executionWithFault(0, 2380, 2380)}, lost: true},
		"ended at once after a cut before the request":       {sentAt: 1836, duration: 545, status: 502, executions: []execution{executionWithFault(0, 2380, 2380)}, cut: &outage{upstream: "i-lm-1", from: at(1000), to: at(1800)}, lost: true},
		"stray execution after the last attempt's execution": {sentAt: 2000, duration: 1000, status: 200, err: errCut, executions: []execution{executionWithFault(worker.FaultBrokenOff, 2100, 3000), executionWithFault(0, 2150, 2150)}},
		"ended by a late restart detection":                  {sentAt: 2000, duration: 1000, status: 200, err: errCut, executions: []execution{executionWithFault(0, 2010, 3000)}, cut: &outage{upstream: "i-lm-1", from: at(1500), to: at(3500), fromRestart: true}},
		"after the time for restart detection":               {sentAt: 4000, duration: 1000, status: 200, err: errCut, executions: []execution{executionWithFault(0, 4010, 5000)}, cut: &outage{upstream: "i-lm-1", from: at(1500), to: at(3500), fromRestart: true}, lost: true},
		"restart detection delayed by a store outage":        {sentAt: 4000, duration: 1000, status: 200, err: errCut, executions: []execution{executionWithFault(0, 4010, 5000)}, cut: &outage{upstream: "i-lm-1", from: at(1500), to: at(3500), fromRestart: true}, storeOutage: &outage{from: at(1000), to: at(3000)}},
		"retry refused by a full upstream":                   {path: "/safe/x", sentAt: 2000, duration: 600, status: 502, executions: []execution{executionWithFault(0, 2000, 2600)}, refusals: []execution{executionWithFault(worker.FaultFull, 2600, 2600)}},
		"only full upstreams":                                {sentAt: 2000, duration: 5, status: 502, refusals: []execution{executionWithFault(worker.FaultFull, 2002, 2002)}, lost: true},
		"interrupted after a full upstream":                  {path: "/safe/x", sentAt: 2000, duration: 5300, err: errCut, executions: []execution{executionWithFault(0, 2000, 7300)}, refusals: []execution{executionWithFault(worker.FaultFull, 1990, 1990)}, lost: true},
		"exit during a late restart detection":               {sentAt: 2000, duration: 5300, status: 200, err: errCut, executions: lastingUntilExit, cut: &outage{upstream: "i-lm-1", from: at(1500), to: at(3500), fromRestart: true}, lost: true},
		"waiting for an upstream that is cut off":            {sentAt: 2000, duration: 5300, err: errCut, cut: &outage{upstream: "i-lm-3", from: at(1000)}},
		"not run, another service cut off":                   {sentAt: 2000, duration: 5300, err: errCut, cut: &outage{upstream: "i-app-0", from: at(1000)}, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			x := &FaultLog{}
			x.shutdowns = []*Shutdown{{faults: x, entry: entry, signalledAt: start, killAt: at(8000), exitedAt: at(7300)}}
			if c.killedAt > 0 {
				x.kills = []kill{{entry: entry, at: at(c.killedAt)}}
			}
			if c.cut != nil {
				x.cuts = []*outage{c.cut}
			}
			if c.storeOutage != nil {
				x.storeOutages = []*outage{c.storeOutage}
			}
			r := Result{
				ID: "r", Path: "/stream/x", Entry: netip.AddrPortFrom(entry, 80), Status: c.status, Err: c.err, HeaderSent: !c.unsent, RetryAfter: c.retryAfter,
				StartedAt: at(c.sentAt), Duration: time.Duration(c.duration) * time.Millisecond, TimeLimit: 7 * time.Second,
			}
			if c.path != "" {
				r.Path = c.path
			}
			if c.timeLimit > 0 {
				r.TimeLimit = time.Duration(c.timeLimit) * time.Millisecond
			}
			if c.otherEntry {
				r.Entry = netip.AddrPortFrom(other, 80)
			}
			is.New(t).Equal(len(x.lossesByShutdown(r, c.executions, c.refusals)) > 0, c.lost)
		})
	}
}
