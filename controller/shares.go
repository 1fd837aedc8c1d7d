package controller

import (
	"context"
	"errors"
	"net"
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
	// shareSize is the largest message read.
	shareSize = 2048
)

// tellShares tells other entries of this one's load at upstreams.
func (c *Controller) tellShares(ctx context.Context, socket net.PacketConn) {
	repeat := time.NewTicker(shareAll)
	defer repeat.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-repeat.C:
			all = true
		case <-c.meetings:
			all = true
		case <-c.config.Board.Changed:
			if !sleeper.Sleep(ctx, shareTime) {
				return
			}
		}
		shares := c.config.Board.Export(time.Now(), all)
		if len(shares) == 0 {
			continue
		}
		messages := dispatcher.EncodeShares(dispatcher.TokenOf(c.config.Name), shares)
		for _, p := range c.current.Load().peers {
			for _, m := range messages {
				if _, err := socket.WriteTo(m, net.UDPAddrFromAddrPort(p.shares)); err != nil {
					c.config.Log.Debug("share_not_sent", zap.String("peer", p.name), zap.Error(err))
				}
			}
		}
	}
}

// hearShares takes in other entries' load until the socket is closed.
func (c *Controller) hearShares(socket net.PacketConn) {
	buffer := make([]byte, shareSize)
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
		peer, shares, err := dispatcher.DecodeShares(buffer[:n])
		if err != nil {
			c.config.Log.Warn("share_malformed", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		c.config.Board.Import(time.Now(), peer, shares)
	}
}
