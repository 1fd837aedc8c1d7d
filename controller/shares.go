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
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// shareTime is how soon a change of load is told: shorter than an engine's
	// shortest pass, and long enough to tell several changes at once.
	shareTime = 5 * time.Millisecond
	// shareAll is how often all load is told again, since datagrams are lost.
	shareAll = 700 * time.Millisecond
	// heavyRelays is how many entries of another data centre pass on that a heavy prompt was placed: where half of
	// them have just died, unnoticed yet, one message in sixteen is lost. There are few of them.
	heavyRelays = 4
	// shareSize is the largest message read.
	shareSize = 2048
)

// tellShares tells other entries of this one's load at upstreams.
func (c *Controller) tellShares(ctx context.Context, socket net.PacketConn) {
	repeat := time.NewTicker(shareAll)
	defer repeat.Stop()
	told := map[string]uint64{}
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-repeat.C:
			all = true
		case <-c.meetings:
			told = c.tellNew(socket, told)
			continue
		case <-c.config.Dispatcher.Changed:
			if !sleeper.Sleep(ctx, shareTime) {
				return
			}
		}
		c.tellChanges(socket, all)
	}
}

// tellChanges tells what changed, or all of the load. A heavy prompt that others don't know of costs what they place
// at its engines seconds, so that news of one goes by several relays.
func (c *Controller) tellChanges(socket net.PacketConn, all bool) {
	shares := c.config.Dispatcher.Export(time.Now(), all)
	if all {
		c.spread(socket, c.encodeShares(shares), c.current.Load().paths, dispatcher.RelayToAll, 1)
		return
	}
	var heavy, others []dispatcher.RequestLoad
	for _, s := range shares {
		if s.LongPrefill {
			heavy = append(heavy, s)
		} else {
			others = append(others, s)
		}
	}
	placing := c.current.Load().placing
	c.spread(socket, c.encodeShares(heavy), placing, dispatcher.RelayToPlacing, heavyRelays)
	c.spread(socket, c.encodeShares(others), placing, dispatcher.RelayToPlacing, 1)
}

func (c *Controller) encodeShares(shares []dispatcher.RequestLoad) [][]byte {
	if len(shares) == 0 {
		return nil
	}
	return dispatcher.EncodeLoadUpdates(runToken(c.config.Name, c.config.Incarnation), shares)
}

// spread sends messages to entries: changes to those that place requests, all of the load
// to each. One datagram goes to each other data centre that has many entries, or as many as there are to be
// relays, and on from there. Bytes between data centres then grow with their number and not with that of
// entries.
func (c *Controller) spread(socket net.PacketConn, messages [][]byte, paths sharePaths, to dispatcher.RelayTarget, relays int) {
	for _, m := range messages {
		c.sendEach(socket, m, paths.near, &c.news.told)
		for _, group := range paths.far {
			first := rand.IntN(len(group))
			for i := range min(relays, len(group)) {
				c.send(socket, dispatcher.WrapForRelay(to, m), group[(first+i)%len(group)], &c.news.told)
			}
		}
	}
}

// tellNew sends all load to entries that are new here, of which the result holds those
// told.
func (c *Controller) tellNew(socket net.PacketConn, told map[string]uint64) map[string]uint64 {
	peers := c.current.Load().peers
	var messages [][]byte
	for _, p := range peers {
		if known, ok := told[p.name]; ok && known == p.incarnation {
			continue
		}
		if messages == nil {
			messages = c.encodeShares(c.config.Dispatcher.RequestLoads(time.Now()))
		}
		for _, m := range messages {
			c.send(socket, m, p.shares, &c.news.told)
		}
	}
	return incarnations(peers)
}

func (c *Controller) sendEach(socket net.PacketConn, message []byte, to []netip.AddrPort, counted *messageCount) {
	for _, address := range to {
		c.send(socket, message, address, counted)
	}
}

func (c *Controller) send(socket net.PacketConn, message []byte, to netip.AddrPort, counted *messageCount) {
	counted.add(len(message))
	if _, err := socket.WriteTo(message, net.UDPAddrFromAddrPort(to)); err != nil {
		c.config.Log.Debug("share_not_sent", zap.Stringer("peer", to), zap.Error(err))
	}
}

// hearShares takes in other entries' load until the socket is closed.
func (c *Controller) hearShares(socket net.PacketConn) {
	buffer := make([]byte, shareSize)
	var malformed lineLimit
	for {
		n, from, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.config.Log.Debug("share_not_read", zap.Error(err))
			time.Sleep(shareTime)
			continue
		}
		c.news.heard.add(n)
		relay, message := dispatcher.UnwrapRelay(buffer[:n])
		peer, shares, err := dispatcher.DecodeLoadUpdate(message)
		if err != nil {
			c.news.malformed.Add(1)
			if skipped, ok := malformed.due(time.Now()); ok {
				c.config.Log.Warn("share_malformed", zap.Stringer("from", from), zap.Int("skipped", skipped), zap.Error(err))
			}
			continue
		}
		now := time.Now()
		switch relay {
		case dispatcher.RelayToAll:
			c.sendEach(socket, message, c.current.Load().paths.own, &c.news.relayed)
		case dispatcher.RelayToPlacing:
			c.sendEach(socket, message, c.current.Load().placing.own, &c.news.relayed)
		}
		if c.tellers.heard(now, peer) {
			c.do(func(s *state) { s.dirty = true })
		}
		c.config.Dispatcher.Import(now, peer, shares)
	}
}
