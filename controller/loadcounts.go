package controller

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/sapphireramp/sapphireramp/api"
)

// messageCount counts messages and the bytes in them. The metric counts only the bytes.
type messageCount struct {
	messages, bytes atomic.Int64
	metric          tally.Counter
}

// add counts one message of size bytes.
func (m *messageCount) add(size int) {
	m.messages.Add(1)
	m.bytes.Add(int64(size))
	m.metric.Inc(int64(size))
}

func (m *messageCount) status() api.MessageCount {
	return api.MessageCount{Messages: m.messages.Load(), Bytes: m.bytes.Load()}
}

// loadCounts counts the load updates that this entry sent, relayed and received since its start.
// malformed counts the received messages that could not be decoded; received includes them.
type loadCounts struct {
	sent, relayed, received messageCount
	malformed               atomic.Int64
}

// registerMetrics creates the counters of the bytes sent, relayed and received. It must be called
// before the first message is counted.
func (c *loadCounts) registerMetrics(scope tally.Scope) {
	c.sent.metric, c.relayed.metric = scope.Counter("load_bytes_told"), scope.Counter("load_bytes_relayed")
	c.received.metric = scope.Counter("load_bytes_heard")
}

// status returns the counts for the status of this entry, and the numbers of peers that the
// view's paths lead to.
func (c *loadCounts) status(v *view) *api.LoadUpdateCounts {
	return &api.LoadUpdateCounts{
		Peers: v.allPaths.count(), PlacingPeers: v.placingPaths.count(), RelayedCentres: len(v.allPaths.relayed),
		Told: c.sent.status(), Relayed: c.relayed.status(), Heard: c.received.status(), Malformed: c.malformed.Load(),
	}
}
