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
	// readers is how many entries read the store for all: one more than is
	// needed, so that the death of one goes unnoticed.
	readers = 2
	// watchTime is how long a watch waits for changes. It bounds how old a
	// confirmation may be, and how long a connection gone silent is trusted.
	watchTime = 400 * time.Millisecond
	// watchPause is between two watches, so that many changes cost few calls.
	watchPause = 250 * time.Millisecond
	// confirmedPart is the part of the time in which a change has to be in
	// force that a confirmation may be old before an entry reads for itself; the
	// read takes up to a quarter of it.
	confirmedPart = 0.6
	// trustPart is the part of that time up to which a confirmation rules out
	// that this entry missed a change that has to be in force: the rest is for
	// slow answers, which are older than they seem.
	trustPart = 0.75
	// readPause is how often an entry looks whether it has to read.
	readPause = 50 * time.Millisecond
	// readTimeout bounds a read of the whole state; the store's usual answers
	// take milliseconds, slow ones hundreds.
	readTimeout = 1500 * time.Millisecond
	// leastFailurePause and mostFailurePause are after the first failed call and
	// after several in a row; in between they double. In an outage every entry calls, and
	// each call is paid for.
	leastFailurePause = 150 * time.Millisecond
	mostFailurePause  = 500 * time.Millisecond
	// failurePauseFleet is the number of live entries up to which all pause that long; beyond
	// it those that are not the readers pause in proportion, up to longestFailurePause, so
	// that the fleet finds a store that is back as soon with as many calls. In an outage of
	// 8 s 95 entries made 1,500 calls, 0.01 of a day's worth.
	failurePauseFleet   = 20
	longestFailurePause = 2 * time.Second
	// mostDoublings is where the doubling ends, past any longest pause.
	mostDoublings = 10
)

// follow reads the store while this entry is to.
func (c *Controller) follow(ctx context.Context) {
	whole := true
	failures := 0
	for ctx.Err() == nil {
		read, after := false, int64(0)
		c.do(func(s *state) { read, after = s.reads(time.Now()), s.follower.Revision() })
		if !read {
			if !sleeper.Sleep(ctx, readPause) {
				return
			}
			continue
		}
		whole = whole || after == 0
		err := c.readStore(ctx, whole, after)
		whole = errors.Is(err, follower.ErrHistoryGone)
		pause := watchPause
		failures++
		if err == nil {
			failures = 0
		}
		if failures > 0 {
			c.do(func(s *state) { pause = min(s.mostFailurePause(), leastFailurePause<<min(failures-1, mostDoublings)) })
		}
		if whole {
			pause = 0
		}
		if !sleeper.Sleep(ctx, pause) {
			return
		}
	}
}

// reads reports whether this entry reads the store: it is one of the readers,
// or what it was told is old.
func (s *state) reads(now time.Time) bool {
	age, ok := s.follower.ConfirmationAge(now)
	if !ok || age > part(s.controller.config.MaxPropagation, confirmedPart) {
		return true
	}
	return s.isReader(s.live())
}

// live are the names of the entries that live, this one too.
func (s *state) live() []string {
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
	own := assigner.Weight(s.controller.config.Name, "reader")
	before := 0
	for _, name := range live {
		if assigner.Weight(name, "reader") > own {
			before++
		}
	}
	return before < readers
}

// mostFailurePause is how long this entry pauses at most after calls that failed.
func (s *state) mostFailurePause() time.Duration {
	live := s.live()
	if s.isReader(live) {
		return mostFailurePause
	}
	return failurePause(len(live))
}

// failurePause is how long one of a number of live entries pauses at most.
func failurePause(live int) time.Duration {
	return min(longestFailurePause, mostFailurePause*time.Duration(max(failurePauseFleet, live))/failurePauseFleet)
}

// part is a part of a time.
func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// readStore makes one call to the store and takes in what it says.
func (c *Controller) readStore(ctx context.Context, whole bool, after int64) error {
	c.metrics.storeCalls.Inc(1)
	var got follower.State
	var err error
	if whole {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		got, err = c.config.Store.Read(bounded)
		cancel()
	} else {
		got, err = c.config.Store.Watch(ctx, after, watchTime)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		c.metrics.storeFailures.Inc(1)
		c.do(func(s *state) { s.storeFailed(time.Now(), err) })
		return err
	}
	changed := c.take(got, "store", func(s *state, now time.Time, got follower.State) []follower.Change {
		s.storeServed()
		s.logFaults(got.Faults)
		return s.follower.ApplyStoreRead(now, got, whole)
	})
	if changed {
		c.push()
	}
	return nil
}

// storeFailed notes that the store did not answer. A history that is gone is
// no sign of an outage.
func (s *state) storeFailed(now time.Time, err error) {
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

// storeServed notes that the store answers.
func (s *state) storeServed() {
	if s.storeLost {
		s.storeLost = false
		s.controller.config.Log.Info("store_regained", zap.Int64("revision", s.follower.Revision()))
	}
}

// take takes in a state by a method of the follower, and reports whether it changed
// the belief. The configuration is decoded here, on the goroutine that read it.
func (c *Controller) take(got follower.State, source string, into func(*state, time.Time, follower.State) []follower.Change) bool {
	table := c.decode(&got, source)
	changed := false
	c.do(func(s *state) {
		now := time.Now()
		_, before := s.follower.Config()
		changes := into(s, now, got)
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

// decode decodes the configuration of a state. One that can't be read is
// taken out of the state, so that the one in force stays.
func (c *Controller) decode(got *follower.State, source string) *matcher.Table {
	if got.Config == nil {
		return nil
	}
	newer := false
	c.do(func(s *state) {
		_, have := s.follower.Config()
		newer = got.ConfigRevision > max(have, s.unreadable)
	})
	if !newer {
		got.Config = nil
		return nil
	}
	table, err := c.config.Store.DecodeConfig(got.Config)
	if err != nil {
		c.do(func(s *state) { s.unreadable = max(s.unreadable, got.ConfigRevision) })
		c.config.Log.Error("configuration_unreadable", zap.Int64("revision", got.ConfigRevision), zap.String("source", source), zap.Error(err))
		got.Config = nil
		return nil
	}
	return table
}
