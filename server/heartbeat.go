package server

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/validator"
)

// runHeartbeats sends heartbeats periodically until the context ends.
func (s *Server) runHeartbeats(ctx context.Context) {
	tick := time.NewTicker(s.settings.Timing.Heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sendHeartbeats(ctx)
		}
	}
}

// sendHeartbeats sends this entry's heartbeat to each address of heartbeatTargets and records the heartbeats
// in the replies. It returns once all calls have ended, and after one heartbeat period at the latest; calls
// still in progress then continue in the background.
func (s *Server) sendHeartbeats(ctx context.Context) {
	var targets []netip.AddrPort
	var heartbeat api.Heartbeat
	s.onControl(func(c *control) {
		now := time.Now()
		targets = c.heartbeatTargets(now)
		heartbeat = c.buildHeartbeat(now)
		heartbeat.Quarantine = s.quarantine.TakeHeartbeatUpdate(now)
		heartbeat.Parts = s.isolator.TakeHeartbeatUpdate(now)
	})
	var calls sync.WaitGroup
	for _, address := range targets {
		calls.Add(1)
		go func() {
			defer calls.Done()
			var reply api.Heartbeat
			err := s.peerPool.Call(address, rpcName+".Beat", heartbeat, &reply, min(heartbeatTimeout, s.settings.Timing.Suspect/2))
			if err != nil {
				s.logs.members.Debug("beat_failed", zap.Stringer("peer", address), zap.Error(err))
				return
			}
			s.receiveHeartbeat(reply)
		}()
	}
	done := make(chan struct{})
	go func() { calls.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(s.settings.Timing.Heartbeat):
	}
}

// heartbeatTargets returns the peer addresses to send a heartbeat to: those of the members that the prober
// selects, and those in the settings that belong to no known member.
func (c *control) heartbeatTargets(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	known := map[netip.AddrPort]bool{}
	for _, m := range c.prober.Members() {
		known[m.PeerAddress] = true
	}
	for _, m := range c.prober.NextHeartbeatTargets(now) {
		out = append(out, m.PeerAddress)
	}
	for _, address := range c.server.settings.Peers {
		if !known[address] && address != c.server.settings.PeerAddress {
			out = append(out, address)
		}
	}
	return out
}

// receiveHeartbeat records another entry's heartbeat and fetches its document and instance list if either
// is newer than this entry's.
func (s *Server) receiveHeartbeat(heartbeat api.Heartbeat) {
	hasNewer := false
	s.onControl(func(c *control) {
		now := time.Now()
		c.recordHeartbeat(now, heartbeat)
		s.logQuarantineDecisions(now, s.quarantine.ApplyUpdate(now, heartbeat.Quarantine), heartbeat.From)
		s.isolator.ApplyUpdate(now, heartbeat.Parts, heartbeat.From)
		hasNewer = c.adopter.ShouldFetch(validator.DocumentVersion{Revision: heartbeat.Revision, Digest: heartbeat.Digest}) ||
			c.lister.ShouldFetch(now, heartbeat.ListDigest, heartbeat.ListAge)
	})
	if !hasNewer {
		return
	}
	go s.fetchFromPeer(heartbeat.PeerAddress, heartbeat.From)
}

// fetchFromPeer fetches a peer's configuration document and instance list, and offers them to the adopter and
// the lister, which decide whether they replace those in use. Source names the peer in logs.
func (s *Server) fetchFromPeer(address netip.AddrPort, source string) {
	var reply api.FetchReply
	err := s.peerPool.Call(address, rpcName+".Fetch", api.FetchArgs{From: s.settings.Name}, &reply, fetchTimeout)
	if err != nil {
		s.logs.document.Warn("fetch_failed", zap.String("source", source), zap.Error(err))
		return
	}
	if len(reply.Document) > 0 {
		s.receiveDocument(reply.Document, source)
	}
	if len(reply.List) > 0 {
		s.onControl(func(c *control) { c.offerInstanceList(time.Now(), reply.List, reply.ListAge) })
	}
}

// fetchFromPeers fetches the document and the instance list of each peer in the settings once. The entry
// accepts no callers before all fetches have ended, so that an outdated document from the platform does not
// come into force while a peer has a newer one.
func (s *Server) fetchFromPeers(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range s.settings.Peers {
		calls.Add(1)
		go func() {
			defer calls.Done()
			if address != s.settings.PeerAddress {
				s.fetchFromPeer(address, address.String())
			}
			s.onControl(func(c *control) { c.recordSourceTried(address.String()) })
		}()
	}
	calls.Wait()
}
