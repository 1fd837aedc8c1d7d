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
	// fetchTimeout bounds a fetch from a peer. It is half of the shortest
	// MaxPropagation, so that another peer can be asked after a timeout.
	fetchTimeout = time.Second
	// maxFetches is how many peers are asked at once: one more than needed, so
	// that a dead peer does not delay a change.
	maxFetches = 2
	// maxConfigSize is the largest decompressed configuration accepted, in bytes.
	// Values in the platform's store are limited to a megabyte.
	maxConfigSize = 8 << 20
)

// FetchArgs asks a peer for its state of the store.
type FetchArgs struct {
	// Have is the revision up to which the sender has all changes, HaveConfig the
	// revision of its configuration. Both are 0 if it has none.
	Have, HaveConfig int64
}

// FetchReply is an entry's state of the store, in reply to FetchArgs.
type FetchReply struct {
	// State comes without the configuration. Config is the configuration as stored,
	// compressed with DEFLATE; empty if the asking entry already has its revision.
	State  follower.State
	Config []byte
	// Whole is true if State is complete, false if it holds only the changes
	// since the revision that the asking entry has.
	Whole bool
	// Known is true if the sender has a complete state that was confirmed at least
	// once; otherwise the reply is ignored. Confirmed is the time since the store
	// last confirmed that state.
	Known     bool
	Confirmed time.Duration
	// Disturbed is how long ago a call to the store last failed, at the sender or
	// at an entry that reported it; negative if none did.
	Disturbed time.Duration
}

// Fetch replies with this entry's state of the store. It is called over net/rpc.
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

// neverFailed is the Disturbed value of an entry that knows of no failed store call.
const neverFailed = -1

// storeFailureAge returns how long ago a store call last failed, at this entry or at one
// that reported it; neverFailed if none did.
func (s *state) storeFailureAge(now time.Time) time.Duration {
	age, ever := s.follower.StoreFailureAge(now)
	if !ever {
		return neverFailed
	}
	return age
}

// recordStoreFailure records that a store call failed at another entry the given time ago.
// Negative ages are ignored.
func (s *state) recordStoreFailure(now time.Time, age time.Duration) {
	if age >= 0 {
		s.follower.RecordStoreFailure(now.Add(-age))
	}
}

// compressedConfig caches the configuration requested last in compressed form, so that it
// is compressed once for all peers. Routes resemble each other and compress to a tenth.
type compressedConfig struct {
	lock sync.Mutex
	// revision is the revision of the configuration in data; 0 before the first.
	revision int64
	data     []byte
}

// compress returns a configuration compressed with DEFLATE. It holds the lock while it
// compresses, so that concurrent requests wait for one compression.
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

// decompress reverses compress. It fails if the result exceeds maxConfigSize.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	config, err := io.ReadAll(io.LimitReader(r, maxConfigSize+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(config) > maxConfigSize {
		return nil, fmt.Errorf("decompress configuration: exceeds %d bytes", maxConfigSize)
	}
	return config, nil
}

// fetchState fetches the state of the store from a peer and applies it. Source is the peer's
// name, for the log. Have holds the revisions that this entry already has.
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
			return s.follower.ApplyPeerSnapshot(now, got)
		}
		return s.follower.ApplyChanges(now, got)
	})
}
