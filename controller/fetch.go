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
	// maxFetches is how many peers are asked at once: one more than is needed,
	// so that one that is gone does not hold up the news.
	maxFetches = 2
	// maxConfigSize is the largest configuration that is decompressed, in bytes; a
	// value of the platform's store is a megabyte at most.
	maxConfigSize = 8 << 20
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
		reply.Disturbed = s.storeFailureAge(now)
	})
	if reply.State.Config == nil {
		return nil
	}
	var err error
	reply.Config, err = p.controller.compressed.compress(reply.State.ConfigRevision, reply.State.Config)
	reply.State.Config = nil
	return err
}

// neverFailed is told by an entry that knows of no failure of the store.
const neverFailed = -1

// storeFailureAge is how long ago the store failed this entry or one that told it.
func (s *state) storeFailureAge(now time.Time) time.Duration {
	age, ever := s.follower.FailureAge(now)
	if !ever {
		return neverFailed
	}
	return age
}

// recordStoreFailure takes in how long ago the store failed another entry.
func (s *state) recordStoreFailure(now time.Time, age time.Duration) {
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
func (c *compressedConfig) compress(revision int64, config []byte) ([]byte, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.revision == revision {
		return c.data, nil
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
	c.revision, c.data = revision, out.Bytes()
	return c.data, nil
}

// decompress inflates a configuration.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	config, err := io.ReadAll(io.LimitReader(r, maxConfigSize+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(config) > maxConfigSize {
		return nil, fmt.Errorf("decompress configuration: over %d bytes", maxConfigSize)
	}
	return config, nil
}

// fetchState asks a peer for what it believes of the store.
func (c *Controller) fetchState(address netip.AddrPort, source string, have FetchArgs) {
	defer c.do(func(s *state) { s.fetching-- })
	var reply FetchReply
	err := c.fetchPool.Call(address, rpcName+".Fetch", have, &reply, fetchTimeout)
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
	c.do(func(s *state) { s.recordStoreFailure(now, reply.Disturbed) })
	c.applyState(reply.State, source, func(s *state, now time.Time, got follower.State) []follower.Change {
		defer s.follower.Confirm(now.Add(-reply.Confirmed))
		if reply.Whole {
			return s.follower.ApplySnapshot(now, got)
		}
		return s.follower.ApplyChanges(now, got)
	})
}
