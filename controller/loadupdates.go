package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/scheduler"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// updateDelay is the time from a change of this entry's load until it is sent to other
	// entries: shorter than an engine's shortest forward pass, and long enough to combine
	// several changes in one update.
	updateDelay = 5 * time.Millisecond
	// fullUpdatePeriod is the interval at which an entry sends its full load, to make up for
	// lost datagrams.
	fullUpdatePeriod = 700 * time.Millisecond
	// longPromptRelays is the number of relays to which an update about a long prompt is sent in
	// each other data centre. If half of the entries there have just died undetected, all four
	// relays are dead for one update in sixteen. Long prompts are rare enough for the extra
	// messages.
	longPromptRelays = 4
	// maxDatagram is the maximum size of a received load update in bytes; the rest of a longer
	// datagram is dropped.
	maxDatagram = 2048
)

// sendLoadUpdates sends this entry's load at upstreams to other entries until the context ends:
// all of it each fullUpdatePeriod and to new peers, and changes after updateDelay.
func (c *Controller) sendLoadUpdates(ctx context.Context, socket net.PacketConn) {
	fullUpdateTicker := time.NewTicker(fullUpdatePeriod)
	defer fullUpdateTicker.Stop()
	sent := map[string]uint64{}
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-fullUpdateTicker.C:
			all = true
		case <-c.newPeers:
			sent = c.sendAllToNewPeers(socket, sent)
			continue
		case <-c.config.Dispatcher.LoadChanged:
			if !sleeper.Sleep(ctx, updateDelay) {
				return
			}
		case <-c.config.Scheduler.Changed:
			if !sleeper.Sleep(ctx, updateDelay) {
				return
			}
		}
		c.sendChanges(socket, all)
	}
}

// sendChanges sends the full load to all peers if all is true, else the changes of load since the
// last call to the placing peers. In both cases it sends rate limits of upstreams to all peers and changes
// of places to the placing peers. Updates
// about long prompts that await their first byte go through several relays per data centre: an entry
// that misses such an update places requests on the same engines, which delays these requests by
// seconds.
func (c *Controller) sendChanges(socket net.PacketConn, all bool) {
	c.sendPlaces(socket)
	limits := dispatcher.EncodeRateLimits(c.config.Dispatcher.TakeRateLimits(time.Now(), all))
	c.sendAlong(socket, limits, c.current.Load().allPaths, dispatcher.RelayToAll, 1)
	loads := c.config.Dispatcher.TakeLoadChanges(time.Now(), all)
	if all {
		c.sendAlong(socket, c.encodeUpdate(loads), c.current.Load().allPaths, dispatcher.RelayToAll, 1)
		return
	}
	var longPrompts, others []dispatcher.RequestLoad
	for _, l := range loads {
		if l.LongPrefill {
			longPrompts = append(longPrompts, l)
		} else {
			others = append(others, l)
		}
	}
	paths := c.current.Load().placingPaths
	c.sendAlong(socket, c.encodeUpdate(longPrompts), paths, dispatcher.RelayToPlacing, longPromptRelays)
	c.sendAlong(socket, c.encodeUpdate(others), paths, dispatcher.RelayToPlacing, 1)
}

// encodeUpdate encodes loads as messages from this entry's incarnation; nil if there are none.
func (c *Controller) encodeUpdate(loads []dispatcher.RequestLoad) [][]byte {
	if len(loads) == 0 {
		return nil
	}
	return dispatcher.EncodeLoadUpdates(incarnationToken(c.config.Name, c.current.Load().incarnation), loads)
}

// sendAlong sends messages to the peers in paths.direct, and to the given number of relays, chosen
// at random, in each data centre in paths.relayed. Messages to relays have a prefix that selects
// the entries to relay to. Traffic between data centres thus grows with the number of data centres
// and not of entries.
func (c *Controller) sendAlong(socket net.PacketConn, messages [][]byte, paths loadPaths, relayTo dispatcher.RelayTarget, relays int) {
	for _, m := range messages {
		c.sendEach(socket, m, paths.direct, &c.loadCounts.sent)
		for _, group := range paths.relayed {
			first := rand.IntN(len(group))
			for i := range min(relays, len(group)) {
				c.send(socket, dispatcher.WrapForRelay(relayTo, m), group[(first+i)%len(group)], &c.loadCounts.sent)
			}
		}
	}
}

// sendAllToNewPeers sends the full load, this entry's places and all known rate limits to each peer of the view whose
// incarnation differs from the one in sent under the peer's name, or that is not in sent. It returns the incarnations of all
// current peers by name, to be passed as sent to the next call.
func (c *Controller) sendAllToNewPeers(socket net.PacketConn, sent map[string]uint64) map[string]uint64 {
	peers := c.current.Load().peers
	var messages [][]byte
	for _, p := range peers {
		if known, ok := sent[p.name]; ok && known == p.incarnation {
			continue
		}
		if messages == nil {
			messages = c.encodeUpdate(c.config.Dispatcher.OwnRequestLoads(time.Now()))
			messages = append(messages, dispatcher.EncodeRateLimits(c.config.Dispatcher.RateLimits(time.Now()))...)
			messages = append(messages, scheduler.Encode(time.Now(), c.config.Scheduler.OwnPlaces(time.Now()))...)
		}
		for _, m := range messages {
			c.send(socket, m, p.loadAddress, &c.loadCounts.sent)
		}
	}
	return incarnations(peers)
}

// sendEach sends one message to several addresses and counts each copy.
func (c *Controller) sendEach(socket net.PacketConn, message []byte, to []netip.AddrPort, count *messageCount) {
	for _, address := range to {
		c.send(socket, message, address, count)
	}
}

// send sends one message to an address and counts it, even if sending fails. It only logs errors,
// because the full load is sent again each fullUpdatePeriod.
func (c *Controller) send(socket net.PacketConn, message []byte, to netip.AddrPort, count *messageCount) {
	count.add(len(message))
	if _, err := socket.WriteTo(message, net.UDPAddrFromAddrPort(to)); err != nil {
		c.config.Log.Debug("share_not_sent", zap.Stringer("peer", to), zap.Error(err))
	}
}

// receiveLoadUpdates passes received load updates to the dispatcher until the socket is closed. It
// sends those with a relay prefix on to the other peers in this entry's data centre.
func (c *Controller) receiveLoadUpdates(socket net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	var malformed logLimiter
	for {
		n, from, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.config.Log.Debug("share_not_read", zap.Error(err))
			time.Sleep(updateDelay)
			continue
		}
		c.loadCounts.received.add(n)
		relay, message := dispatcher.UnwrapRelay(buffer[:n])
		apply, err := c.decodeUpdate(message, from)
		if err != nil {
			c.loadCounts.malformed.Add(1)
			if skipped, ok := malformed.allow(time.Now()); ok {
				c.config.Log.Warn("share_malformed", zap.Stringer("from", from), zap.Int("skipped", skipped), zap.Error(err))
			}
			continue
		}
		switch relay {
		case dispatcher.RelayToAll:
			c.sendEach(socket, message, c.current.Load().allPaths.local, &c.loadCounts.relayed)
		case dispatcher.RelayToPlacing:
			c.sendEach(socket, message, c.current.Load().placingPaths.local, &c.loadCounts.relayed)
		}
		apply()
	}
}

// decodeUpdate decodes a load update, a rate limit update or an update of places from an address and returns
// the function that applies it. The error is scheduler.ErrMalformedUpdate for a malformed update of places,
// and dispatcher.ErrMalformedLoadUpdate for any other malformed message.
func (c *Controller) decodeUpdate(message []byte, from net.Addr) (apply func(), err error) {
	now := time.Now()
	if scheduler.IsUpdate(message) {
		return c.decodePlaces(now, message)
	}
	if dispatcher.IsRateLimitUpdate(message) {
		limits, err := dispatcher.DecodeRateLimits(message)
		return func() { c.logRateLimits(c.config.Dispatcher.ApplyPeerRateLimits(now, limits), from) }, err
	}
	peer, loads, err := dispatcher.DecodeLoadUpdate(message)
	return func() {
		if c.loadSenders.received(now, peer) {
			c.do(func(s *state) { s.dirty = true })
		}
		c.config.Dispatcher.ApplyPeerLoads(now, peer, loads)
	}, err
}

// logRateLimits logs the rate limits of upstreams that an update from an address has changed.
func (c *Controller) logRateLimits(changed []dispatcher.InstanceRateLimit, from net.Addr) {
	for _, l := range changed {
		c.config.Log.Info("upstream_limit", zap.String("upstream", l.Instance.ID), zap.Stringer("address", l.Instance.Address),
			zap.Bool("limited", l.Limit.Limited), zap.Float64("per_second", l.Limit.PerSecond), zap.Stringer("source", from))
	}
}
