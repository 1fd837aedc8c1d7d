package controller

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/follower"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// storeReaders is how many entries read the store for all: one more than is
	// needed, so that the death of one goes unnoticed.
	storeReaders = 2
	// watchTimeout is how long a watch waits for changes. It bounds how old a
	// confirmation may be, and how long a connection gone silent is trusted.
	watchTimeout = 400 * time.Millisecond
	// watchPause is between two watches, so that many changes cost few calls.
	watchPause = 250 * time.Millisecond
	// staleFraction is the part of the time in which a change has to be in
	// force that a confirmation may be old before an entry reads for itself; the
	// read takes up to a quarter of it.
	staleFraction = 0.6
	// trustFraction is the part of that time up to which a confirmation rules out
	// that this entry missed a change that has to be in force: the rest is for
	// slow answers, which are older than they seem.
	trustFraction = 0.75
	// readCheckPeriod is how often an entry looks whether it has to read.
	readCheckPeriod = 50 * time.Millisecond
	// readTimeout bounds a read of the whole state; the store's usual answers
	// take milliseconds, slow ones hundreds.
	readTimeout = 1500 * time.Millisecond
	// minRetryDelay and mostFailurePause are after the first failed call and
	// after several in a row; in between they double. In an outage every entry calls, and
	// each call is paid for.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// retryDelayFleetSize is the number of live entries up to which all pause that long; beyond
	// it those that are not the readers pause in proportion, up to longestFailurePause, so
	// that the fleet finds a store that is back as soon with as many calls. In an outage of
	// 8 s 95 entries made 1,500 calls, 0.01 of a day's worth.
	retryDelayFleetSize = 20
	maxFleetRetryDelay  = 2 * time.Second
	// maxDoublings is where the doubling ends, past any longest pause.
	maxDoublings = 10
)

// followStore reads the store while this entry is to.
func (c *Controller) followStore(ctx context.Context) {
	readAll := true
	failures := 0
	for ctx.Err() == nil {
		read, revision := false, int64(0)
		c.do(func(s *state) { read, revision = s.shouldReadStore(time.Now()), s.follower.Revision() })
		if !read {
			if !sleeper.Sleep(ctx, readCheckPeriod) {
				return
			}
			continue
		}
		readAll = readAll || revision == 0
		err := c.readStore(ctx, readAll, revision)
		readAll = errors.Is(err, follower.ErrHistoryGone)
		delay := watchPause
		failures++
		if err == nil {
			failures = 0
		}
		if failures > 0 {
			c.do(func(s *state) { delay = min(s.maxRetryDelay(), minRetryDelay<<min(failures-1, maxDoublings)) })
		}
		if readAll {
			delay = 0
		}
		if !sleeper.Sleep(ctx, delay) {
			return
		}
	}
}

// shouldReadStore reports whether this entry reads the store: it is one of the readers,
// or what it was told is old.
func (s *state) shouldReadStore(now time.Time) bool {
	age, ok := s.follower.ConfirmationAge(now)
	if !ok || age > fractionOf(s.controller.config.MaxPropagation, staleFraction) {
		return true
	}
	return s.isReader(s.liveNames())
}

// liveNames are the names of the entries that live, this one too.
func (s *state) liveNames() []string {
	names := []string{s.controller.config.Name}
	for _, m := range s.prober.Members() {
		if m.State == prober.Live {
			names = append(names, m.Name)
		}
	}
	return names
}

// isReader reports whether this entry is one of those that read the store for all: fewer
// than that many others come before it by rendezvous hashing.
func (s *state) isReader(live []string) bool {
	ownWeight := assigner.Weight(s.controller.config.Name, "reader")
	heavier := 0
	for _, name := range live {
		if assigner.Weight(name, "reader") > ownWeight {
			heavier++
		}
	}
	return heavier < storeReaders
}

// maxRetryDelay is how long this entry pauses at most after calls that failed.
func (s *state) maxRetryDelay() time.Duration {
	live := s.liveNames()
	if s.isReader(live) {
		return maxRetryDelay
	}
	return fleetRetryDelay(len(live))
}

// fleetRetryDelay is how long one of a number of live entries pauses at most.
func fleetRetryDelay(live int) time.Duration {
	return min(maxFleetRetryDelay, maxRetryDelay*time.Duration(max(retryDelayFleetSize, live))/retryDelayFleetSize)
}

// fractionOf is a part of a time.
func fractionOf(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// readStore makes one call to the store and takes in what it says.
func (c *Controller) readStore(ctx context.Context, readAll bool, revision int64) error {
	c.metrics.storeCalls.Inc(1)
	var got follower.State
	var err error
	if readAll {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		got, err = c.config.Store.Read(bounded)
		cancel()
	} else {
		got, err = c.config.Store.Watch(ctx, revision, watchTimeout)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		c.metrics.storeFailures.Inc(1)
		c.do(func(s *state) { s.recordStoreError(time.Now(), err) })
		return err
	}
	changed := c.applyState(got, "store", func(s *state, now time.Time, got follower.State) []follower.Change {
		s.recordStoreSuccess()
		s.logUnreadableItems(got.Faults)
		return s.follower.ApplyStoreRead(now, got, readAll)
	})
	if changed {
		c.requestHeartbeats()
	}
	return nil
}

// recordStoreError notes that the store did not answer. A history that is gone is
// no sign of an outage.
func (s *state) recordStoreError(now time.Time, err error) {
	if errors.Is(err, follower.ErrHistoryGone) {
		s.controller.config.Log.Info("store_history_gone", zap.Int64("revision", s.follower.Revision()))
		return
	}
	s.follower.RecordOwnFailure(now)
	if s.storeLost {
		return
	}
	s.storeLost, s.dirty = true, true
	s.controller.config.Log.Warn("store_lost", zap.Error(err), zap.Int64("revision", s.follower.Revision()))
}

// recordStoreSuccess notes that the store answers.
func (s *state) recordStoreSuccess() {
	if s.storeLost {
		s.storeLost = false
		s.controller.config.Log.Info("store_regained", zap.Int64("revision", s.follower.Revision()))
	}
}

// applyState takes in a state by a method of the follower, and reports whether it changed
// the belief. The configuration is decoded here, on the goroutine that read it.
func (c *Controller) applyState(got follower.State, source string, apply func(*state, time.Time, follower.State) []follower.Change) bool {
	table := c.decodeConfig(&got, source)
	changed := false
	c.do(func(s *state) {
		now := time.Now()
		_, before := s.follower.Config()
		changes := apply(s, now, got)
		s.checkRevision(before)
		if _, after := s.follower.Config(); after > before && table != nil {
			s.table = table
		}
		s.logStore(changes, source)
		s.dirty = true
		changed = len(changes) > 0
	})
	return changed
}

// decodeConfig decodes the configuration of a state. One that can't be read is
// taken out of the state, so that the one in force stays.
func (c *Controller) decodeConfig(got *follower.State, source string) *matcher.Table {
	if got.Config == nil {
		return nil
	}
	newer := false
	c.do(func(s *state) {
		_, have := s.follower.Config()
		newer = got.ConfigRevision > max(have, s.unreadableRevision)
	})
	if !newer {
		got.Config = nil
		return nil
	}
	table, err := c.config.Store.DecodeConfig(got.Config)
	if err != nil {
		c.do(func(s *state) { s.unreadableRevision = max(s.unreadableRevision, got.ConfigRevision) })
		c.config.Log.Error("configuration_unreadable", zap.Int64("revision", got.ConfigRevision), zap.String("source", source), zap.Error(err))
		got.Config = nil
		return nil
	}
	return table
}
