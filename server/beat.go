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

// beat sends heartbeats until the context ends.
func (s *Server) beat(ctx context.Context) {
	tick := time.NewTicker(s.settings.Timing.Heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.beatAll(ctx)
		}
	}
}

// beatAll exchanges one heartbeat with each neighbour, and waits for at most
// one period.
func (s *Server) beatAll(ctx context.Context) {
	var targets []netip.AddrPort
	var beat api.Heartbeat
	s.do(func(c *control) {
		now := time.Now()
		targets = c.targets(now)
		beat = c.heartbeat(now)
		beat.Quarantine = s.quarantine.HeartbeatUpdate(now)
	})
	var calls sync.WaitGroup
	for _, address := range targets {
		calls.Add(1)
		go func() {
			defer calls.Done()
			var reply api.Heartbeat
			err := s.peers.Call(address, rpcName+".Beat", beat, &reply, min(beatTimeout, s.settings.Timing.Suspect/2))
			if err != nil {
				s.logs.members.Debug("beat_failed", zap.Stringer("peer", address), zap.Error(err))
				return
			}
			s.heard(reply)
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

// targets are the peers to send a heartbeat: neighbours, and peers from the
// settings that no member is known at.
func (c *control) targets(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	known := map[netip.AddrPort]bool{}
	for _, m := range c.prober.Members() {
		known[m.PeerAddress] = true
	}
	for _, m := range c.prober.BeginRound(now) {
		out = append(out, m.PeerAddress)
	}
	for _, address := range c.server.settings.Peers {
		if !known[address] && address != c.server.settings.PeerAddress {
			out = append(out, address)
		}
	}
	return out
}

// heard takes in a heartbeat, and fetches what the sender has newer: its
// document or its instance list.
func (s *Server) heard(beat api.Heartbeat) {
	wanted := false
	s.do(func(c *control) {
		now := time.Now()
		c.heard(now, beat)
		s.logQuarantined(now, s.quarantine.ApplyUpdate(now, beat.Quarantine), beat.From)
		wanted = c.adopter.Wants(validator.Version{Revision: beat.Revision, Digest: beat.Digest}) ||
			c.lister.ShouldFetch(now, beat.ListDigest, beat.ListAge)
	})
	if !wanted {
		return
	}
	go s.fetch(beat.PeerAddress, beat.From)
}

// fetch asks a peer for its document and list, and considers both.
func (s *Server) fetch(address netip.AddrPort, source string) {
	var reply api.FetchReply
	err := s.peers.Call(address, rpcName+".Fetch", api.FetchArgs{From: s.settings.Name}, &reply, fetchTimeout)
	if err != nil {
		s.logs.document.Warn("fetch_failed", zap.String("source", source), zap.Error(err))
		return
	}
	if len(reply.Document) > 0 {
		s.consider(reply.Document, source)
	}
	if len(reply.List) > 0 {
		s.do(func(c *control) { c.offerList(time.Now(), reply.List, reply.ListAge) })
	}
}

// askPeers asks each peer in the settings for its document once, before this
// entry takes callers, so that a stale answer of the configuration service
// does not stand in for what peers know.
func (s *Server) askPeers(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range s.settings.Peers {
		calls.Add(1)
		go func() {
			defer calls.Done()
			if address != s.settings.PeerAddress {
				s.fetch(address, address.String())
			}
			s.do(func(c *control) { c.asked(address.String()) })
		}()
	}
	calls.Wait()
}
