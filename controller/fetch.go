package controller

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/follower"
)

const (
	// fetchTimeout is the timeout of a fetch from a peer. It is half of the shortest
	// Config.MaxPropagation in use, so that another peer can be asked after a timeout.
	fetchTimeout = time.Second
	// maxFetches is the maximum number of concurrent fetches: one more than needed, so
	// that a peer that has died does not delay a change.
	maxFetches = 2
	// maxFetchedSize is the largest decompressed configuration or list of upstreams
	// accepted, in bytes. Values in the platform's store are limited to a megabyte, and a
	// thousand upstreams take a fifth of one.
	maxFetchedSize = 8 << 20
	// maxServedFetches is the maximum number of concurrent fetches of all upstreams that an
	// entry serves. When a whole fleet starts, more would make all of them take longer than
	// fetchTimeout over a slow link; whoever is turned away asks others, of which more and
	// more have the state.
	maxServedFetches = 8
)

// FetchArgs holds the arguments of the net/rpc call Fetch, which returns a peer's copy of the
// store's state.
type FetchArgs struct {
	// Have is the store revision, of the epoch Epoch, up to which the calling entry has all changes.
	// Both are 0 if it has none.
	Epoch, Have int64
	// HaveConfig, HaveConfigEpoch and HaveConfigVersion are the fields of the follower.ConfigStamp of
	// the configuration that the calling entry has; all are 0 if it has none.
	HaveConfig, HaveConfigEpoch, HaveConfigVersion int64
}

// FetchReply is the reply to FetchArgs: the store's state as the called entry knows it.
type FetchReply struct {
	// State holds the changes after FetchArgs.Have; its Config is nil. The field Config
	// beside it is the configuration as stored, compressed with DEFLATE; empty if the called
	// entry's is not newer than the calling entry's.
	State  follower.State
	Config []byte
	// Whole is true if the reply holds all registrations instead of the changes. Snapshot is
	// then the state, encoded with gob and compressed with DEFLATE, and State has only the
	// epoch and the revision of the configuration.
	Whole    bool
	Snapshot []byte
	// Inherited is what the called entry knows from earlier epochs of the store.
	Inherited follower.Inherited
	// Known is true if the called entry has a complete state that the store has
	// confirmed as current, and was not serving too many fetches; otherwise the calling entry
	// ignores the reply. Confirmed is the time since the last such confirmation.
	Known     bool
	Confirmed time.Duration
	// Disturbed is how long ago a call to the store last failed, at the called entry
	// or at one that reported a failure to it; negative if no failure is known.
	Disturbed time.Duration
}

// Fetch replies with the store's state as this entry knows it, or with the changes that the
// calling entry lacks. It is called over net/rpc, and fails only if the configuration can't be
// compressed.
func (p *PeerService) Fetch(args FetchArgs, reply *FetchReply) error {
	p.controller.do(func(s *state) {
		now := time.Now()
		age, ok := s.follower.ConfirmationAge(now)
		reply.Known = ok && s.follower.HasState()
		reply.Confirmed = age
		config := follower.ConfigStamp{Epoch: args.HaveConfigEpoch, Revision: args.HaveConfig, Version: args.HaveConfigVersion}
		reply.State, reply.Whole = s.follower.ChangesSince(now, follower.Position{Epoch: args.Epoch, Revision: args.Have}, config)
		reply.Inherited = s.follower.Inherited(now)
		reply.Disturbed = s.storeFailureAge(now)
	})
	if reply.Whole && reply.Known {
		select {
		case p.controller.fetchSlots <- struct{}{}:
			defer func() { <-p.controller.fetchSlots }()
		default:
			*reply = FetchReply{Disturbed: reply.Disturbed}
			return nil
		}
	}
	var err error
	if reply.State.Config != nil {
		if reply.Config, err = p.controller.configs.deflate(reply.State.Config); err != nil {
			err = fmt.Errorf("compress configuration: %w", err)
		}
		reply.State.Config = nil
	}
	if err == nil && reply.Whole {
		reply.Snapshot, err = p.controller.snapshots.packSnapshot(reply.State)
		reply.State = follower.State{ConfigEpoch: reply.State.ConfigEpoch, ConfigRevision: reply.State.ConfigRevision}
	}
	return err
}

// deflateCache caches the data that was compressed last. Many entries fetch the same configuration, and, when
// they start at once, the same list of all upstreams. Routes resemble each other, so that compression reduces
// a configuration to a tenth of its size. The key is a hash of the data: neither revisions nor
// positions identify a state, as what is known from earlier epochs changes without one.
type deflateCache struct {
	lock sync.Mutex
	// fingerprint is a hash of the uncompressed data, compressed the result; nil before the first.
	fingerprint uint64
	compressed  []byte
}

// deflate returns data compressed with DEFLATE, from the cache if it holds the same data. It holds the lock
// meanwhile, so that concurrent fetches wait for one compression.
func (c *deflateCache) deflate(data []byte) ([]byte, error) {
	fingerprint := xxhash.Sum64(data)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.compressed != nil && c.fingerprint == fingerprint {
		return c.compressed, nil
	}
	compressed, err := deflate(data)
	if err != nil {
		return nil, err
	}
	c.fingerprint, c.compressed = fingerprint, compressed
	return compressed, nil
}

// packSnapshot returns a state, without its configuration, encoded with gob and compressed with DEFLATE.
func (c *deflateCache) packSnapshot(s follower.State) ([]byte, error) {
	s.ConfigEpoch, s.ConfigRevision, s.ConfigVersion = 0, 0, 0
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(s); err != nil {
		return nil, fmt.Errorf("encode upstreams: %w", err)
	}
	data, err := c.deflate(encoded.Bytes())
	if err != nil {
		return nil, fmt.Errorf("compress upstreams: %w", err)
	}
	return data, nil
}

// unpackSnapshot returns the state that deflateCache.packSnapshot encoded as data.
func unpackSnapshot(data []byte) (follower.State, error) {
	encoded, err := inflate(data)
	if err != nil {
		return follower.State{}, fmt.Errorf("decompress upstreams: %w", err)
	}
	var s follower.State
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&s); err != nil {
		return follower.State{}, fmt.Errorf("decode upstreams: %w", err)
	}
	return s, nil
}

// neverFailed is the value of the Disturbed fields if no failed store call is known.
const neverFailed = -1

// storeFailureAge returns how long ago a store call last failed, at this entry or at one
// that reported a failure; neverFailed if no failure is known.
func (s *state) storeFailureAge(now time.Time) time.Duration {
	age, ever := s.follower.StoreFailureAge(now)
	if !ever {
		return neverFailed
	}
	return age
}

// recordStoreFailure records that a store call of another entry failed the given time ago. It
// ignores negative ages, which stand for no failure.
func (s *state) recordStoreFailure(now time.Time, age time.Duration) {
	if age >= 0 {
		s.follower.RecordStoreFailure(now.Add(-age))
	}
}

// deflate returns data compressed with DEFLATE.
func deflate(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// inflate returns the data that deflate compressed. It fails if the input is not valid DEFLATE or the
// result exceeds maxFetchedSize.
func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxFetchedSize+1))
	if err != nil {
		return nil, err
	}
	if len(out) > maxFetchedSize {
		return nil, fmt.Errorf("exceeds %d bytes", maxFetchedSize)
	}
	return out, nil
}

// fetchState fetches the store's state from the peer at an address and merges it into the
// follower. Source is the peer's name, for the log. Have holds the revisions that this entry
// already has. A failed fetch is only logged.
func (c *Controller) fetchState(address netip.AddrPort, source string, have FetchArgs) {
	defer c.do(func(s *state) { s.fetching-- })
	var reply FetchReply
	err := c.fetchPool.Call(address, rpcName+".Fetch", have, &reply, fetchTimeout)
	if err == nil && len(reply.Config) > 0 {
		reply.State.Config, err = inflate(reply.Config)
	}
	if err == nil && reply.Whole {
		config := reply.State
		reply.State, err = unpackSnapshot(reply.Snapshot)
		reply.State.Config, reply.State.ConfigEpoch, reply.State.ConfigRevision = config.Config, config.ConfigEpoch, config.ConfigRevision
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
		apply := s.follower.ApplyChanges
		if reply.Whole {
			apply = s.follower.ApplyPeerSnapshot
		}
		changes := apply(now, got)
		if s.follower.Position().Epoch == got.Epoch {
			changes = append(changes, s.follower.ApplyInherited(now, reply.Inherited)...)
			s.follower.Confirm(now.Add(-reply.Confirmed))
		}
		return changes
	})
}
