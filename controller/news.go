package controller

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/sapphireramp/sapphireramp/api"
)

// messageCount counts messages and their bytes, for status and metrics.
type messageCount struct {
	messages, bytes atomic.Int64
	metric          tally.Counter
}

func (m *messageCount) add(size int) {
	m.messages.Add(1)
	m.bytes.Add(int64(size))
	m.metric.Inc(int64(size))
}

func (m *messageCount) status() api.MessageCount {
	return api.MessageCount{Messages: m.messages.Load(), Bytes: m.bytes.Load()}
}

// loadNews counts what this entry told others of load, and heard.
type loadNews struct {
	told, relayed, heard messageCount
	malformed            atomic.Int64
}

func (n *loadNews) measure(scope tally.Scope) {
	n.told.metric, n.relayed.metric = scope.Counter("load_bytes_told"), scope.Counter("load_bytes_relayed")
	n.heard.metric = scope.Counter("load_bytes_heard")
}

func (n *loadNews) status(v *view) *api.LoadNews {
	return &api.LoadNews{
		Peers: v.paths.count(), PlacingPeers: v.placing.count(), RelayedCentres: len(v.paths.far),
		Told: n.told.status(), Relayed: n.relayed.status(), Heard: n.heard.status(), Malformed: n.malformed.Load(),
	}
}
