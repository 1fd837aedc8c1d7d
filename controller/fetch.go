package controller

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/follower"
)

const (
	// fetchTimeout bounds a fetch from a peer: half of the shortest time in
	// which a change has to be in force, so that another peer can be asked.
	fetchTimeout = time.Second
	// mostFetches is how many peers are asked at once: one more than is needed,
	// so that one that is gone does not hold up the news.
	mostFetches = 2
	// maxConfig is the largest configuration that is decompressed, in bytes; a
	// value of the platform's store is a megabyte at most.
	maxConfig = 8 << 20
)

// FetchArgs asks for what a peer believes of the store.
type FetchArgs struct {
	// Have is the revision up to which the asking entry knows all changes,
	// HaveConfig that of its configuration.
	Have, HaveConfig int64
}

// FetchReply is what an entry believes of the store.
type FetchReply struct {
	// State is without the configuration, which Config holds compressed; empty
	// where the asking entry has that revision.
	State  follower.State
	Config []byte
	// Whole is true where State is all that there is, not only what changed
	// since the revision that the asking entry has.
	Whole     bool
	Known     bool
	Confirmed time.Duration
	// Disturbed is how long ago the store failed the entry; negative where it
	// never did.
	Disturbed time.Duration
}

// Fetch answers with what this entry believes of the store.
func (p *PeerService) Fetch(args FetchArgs, reply *FetchReply) error {
	p.controller.do(func(s *state) {
		now := time.Now()
		age, ok := s.follower.ConfirmationAge(now)
		reply.Known = ok && s.follower.HasState()
		reply.Confirmed = age
		reply.State, reply.Whole = s.follower.ChangesSince(args.Have, args.HaveConfig)
		reply.Disturbed = s.disturbed(now)
	})
	if reply.State.Config == nil {
		return nil
	}
	var err error
	reply.Config, err = p.controller.compressed.compress(reply.State.ConfigRevision, reply.State.Config)
	reply.State.Config = nil
	return err
}

// neverDisturbed is told by an entry that knows of no failure of the store.
const neverDisturbed = -1

// disturbed is how long ago the store failed this entry or one that told it.
func (s *state) disturbed(now time.Time) time.Duration {
	age, ever := s.follower.FailureAge(now)
	if !ever {
		return neverDisturbed
	}
	return age
}

// hearDisturbed takes in how long ago the store failed another entry.
func (s *state) hearDisturbed(now time.Time, age time.Duration) {
	if age >= 0 {
		s.follower.RecordFailure(now.Add(-age))
	}
}

// compressedConfig is the newest configuration that was asked for, compressed once
// for all that ask: many routes are much alike and shrink to a tenth.
type compressedConfig struct {
	lock     sync.Mutex
	revision int64
	data     []byte
}

// compress returns a configuration compressed. The lock is held meanwhile, so that
// entries that ask at the same time wait for one.
func (p *compressedConfig) compress(revision int64, config []byte) ([]byte, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.revision == revision {
		return p.data, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := w.Write(config); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	p.revision, p.data = revision, out.Bytes()
	return p.data, nil
}

// decompress inflates a configuration.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	config, err := io.ReadAll(io.LimitReader(r, maxConfig+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(config) > maxConfig {
		return nil, fmt.Errorf("decompress configuration: over %d bytes", maxConfig)
	}
	return config, nil
}

// fetch asks a peer for what it believes of the store.
func (c *Controller) fetch(address netip.AddrPort, source string, have FetchArgs) {
	defer c.do(func(s *state) { s.fetching-- })
	var reply FetchReply
	err := c.fetches.Call(address, rpcName+".Fetch", have, &reply, fetchTimeout)
	if err == nil && len(reply.Config) > 0 {
		reply.State.Config, err = decompress(reply.Config)
	}
	if err != nil {
		c.config.Log.Warn("fetch_failed", zap.String("source", source), zap.Error(err))
		return
	}
	if !reply.Known {
		return
	}
	now := time.Now()
	c.do(func(s *state) { s.hearDisturbed(now, reply.Disturbed) })
	c.take(reply.State, source, func(s *state, now time.Time, got follower.State) []follower.Change {
		defer s.follower.Confirm(now.Add(-reply.Confirmed))
		if reply.Whole {
			return s.follower.ApplySnapshot(now, got)
		}
		return s.follower.ApplyChanges(now, got)
	})
}
