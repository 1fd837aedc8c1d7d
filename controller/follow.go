package controller

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/follower"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// storeReaders is the number of live entries that read the store on behalf of all:
	// one more than needed, so that the death of one delays no change.
	storeReaders = 2
	// watchTimeout is how long a watch of the store waits for a change. It limits the
	// time between two confirmations of the state, and the time until a connection that
	// fails silently is detected.
	watchTimeout = 400 * time.Millisecond
	// watchPause is the time from the reply to a store call until the next watch, so
	// that frequent changes cause few calls.
	watchPause = 250 * time.Millisecond
	// minStaleFraction and maxStaleFraction are the ratios of a confirmation's age to
	// Config.MaxPropagation between which lies the one above which an entry reads the store
	// itself (see staleAge). That read takes up to a quarter of MaxPropagation.
	minStaleFraction, maxStaleFraction = 0.3, 0.6
	// minStaleAge is the least age of a confirmation above which an entry reads the store
	// itself. While the store readers read it, confirmations are younger.
	minStaleAge = 1200 * time.Millisecond
	// trustFraction is the ratio of a confirmation's age to Config.MaxPropagation up to
	// which this entry certainly uses every change that is older than MaxPropagation.
	// The rest allows for slow replies, whose content is older than their arrival.
	trustFraction = 0.75
	// readCheckPeriod is how often an entry checks whether it has to read the store.
	readCheckPeriod = 50 * time.Millisecond
	// readTimeout is the timeout of a read of the complete state. The store usually
	// replies within milliseconds; slow replies take hundreds of milliseconds.
	readTimeout = 1500 * time.Millisecond
	// minRetryDelay is the delay after the first failed store call. The delay doubles with
	// each further failure, up to maxRetryDelay, because in an outage every entry calls the
	// store, and each call is paid for.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// retryDelayFleetSize is the number of live entries up to which maxRetryDelay applies
	// to all. In larger fleets the limit for entries that are not store readers grows in
	// proportion to the number of live entries, up to maxFleetRetryDelay. An outage then
	// causes no more calls than in a small fleet, and the readers detect its end as soon.
	// With maxRetryDelay for all, 95 entries made 1,500 calls in an outage of 8 s, a
	// hundredth of a day's calls.
	retryDelayFleetSize = 20
	maxFleetRetryDelay  = 2 * time.Second
	// maxDoublings is the maximum number of doublings of minRetryDelay, so that the delay
	// does not overflow. Both maximum delays are reached after fewer doublings.
	maxDoublings = 10
)

// followStore reads the store whenever shouldReadStore is true, until the context ends. It reads
// the complete state if it has none, if the changes can't be read (see mustReadAll) or if there are many of them (see
// maxLargeReplies), and otherwise watches for changes.
func (c *Controller) followStore(ctx context.Context) {
	readAll := false
	failures, largeReplies, lastSize := 0, 0, int64(0)
	for ctx.Err() == nil {
		read, position := false, follower.Position{}
		c.do(func(s *state) { read, position = s.shouldReadStore(time.Now()), s.follower.Position() })
		if !read {
			if !sleeper.Sleep(ctx, readCheckPeriod) {
				return
			}
			continue
		}
		readAll = readAll || position.Revision == 0
		size, err := c.readStore(ctx, readAll, position)
		largeReplies = countLargeReplies(largeReplies, readAll, size)
		// After a large reply a watch may fail because the next one is too large to be sent in time.
		readAll = mustReadAll(readAll, err) || err != nil && lastSize >= largeReply
		if err == nil {
			lastSize = size
		}
		delay := watchPause
		failures++
		if err == nil {
			failures = 0
		}
		if largeReplies > 0 {
			delay = 0
		}
		if largeReplies >= maxLargeReplies {
			readAll, largeReplies = true, 0
		}
		if failures > 0 {
			c.do(func(s *state) { delay = min(s.maxRetryDelay(), minRetryDelay<<min(failures-1, maxDoublings)) })
		}
		if readAll && failures <= 1 {
			delay = 0
		}
		if !sleeper.Sleep(ctx, delay) {
			return
		}
	}
}

const (
	// largeReply is the size in bytes from which on a reply to a watch may have been ended by the store before the
	// last change: half of the largest value.
	largeReply = 512 << 10
	// maxLargeReplies is the number of large replies to watches in a row after which the complete state is read. It
	// holds only the newest configuration, a watch each one.
	maxLargeReplies = 2
)

// mustReadAll reports whether the complete state must be read after a call to the store that ended with an error or nil:
// the changes since the last one are gone or can't be read, or it had to be read before and could not be.
func mustReadAll(before bool, err error) bool {
	return errors.Is(err, follower.ErrHistoryGone) || errors.Is(err, follower.ErrTooManyChanges) || errors.Is(err, follower.ErrUnreadable) || before && err != nil
}

// countLargeReplies returns the number of large replies to watches in a row after a reply of a size, 0 after a failed
// call; before is the number before it.
func countLargeReplies(before int, wasReadAll bool, size int64) int {
	if wasReadAll || size < largeReply {
		return 0
	}
	return before + 1
}

// shouldReadStore reports whether this entry has to read the store: it is a store reader or a
// seed that has just started, the store has never confirmed its state, or the last confirmation
// is stale (see staleAge). Shortly after its start it may leave that to others (see awaitsPeers,
// awaitsMembers and knowsFewer).
func (s *state) shouldReadStore(now time.Time) bool {
	age, ok := s.follower.ConfirmationAge(now)
	if !ok && s.awaitsPeers(now) {
		return false
	}
	if !ok || age > staleAge(s.controller.config.Name, s.controller.config.MaxPropagation) {
		return true
	}
	return !s.knowsFewer() && !s.awaitsMembers(now) && s.isReader() || s.isStartingSeed(now)
}

// staleAge returns the age of a confirmation above which the entry with the given name reads the store
// itself. It differs between entries: few of them, drawn by a hash, read it early, and their
// confirmations spare the others. With one age for all, both readers being cut off from the store made
// a whole fleet read it at the same moment.
func staleAge(name string, maxPropagation time.Duration) time.Duration {
	upper := fractionOf(maxPropagation, maxStaleFraction)
	lower := min(upper, max(minStaleAge, fractionOf(maxPropagation, minStaleFraction)))
	// The fourth root of a uniform number is below 0.6 for an eighth of all entries.
	drawn := float64(assigner.Weight(name, "stale")) / float64(1<<64)
	return lower + fractionOf(upper-lower, math.Sqrt(math.Sqrt(drawn)))
}

// isReader reports whether this entry is a store reader: whether fewer than storeReaders
// of the live entries have a higher rendezvous-hashing weight. It usually returns after a few
// members, whatever the size of the fleet.
func (s *state) isReader() bool {
	ownWeight := assigner.Weight(s.controller.config.Name, "reader")
	heavier := 0
	for m := range s.prober.All() {
		if !m.IsUp() || assigner.Weight(m.Name, "reader") <= ownWeight {
			continue
		}
		if heavier++; heavier == storeReaders {
			return false
		}
	}
	return true
}

// maxRetryDelay returns the limit of this entry's growing delay between failed store calls.
func (s *state) maxRetryDelay() time.Duration {
	if s.isReader() {
		return maxRetryDelay
	}
	return fleetRetryDelay(1 + s.upCount)
}

// fleetRetryDelay returns the longest delay after failed store calls of an entry that is
// not a store reader, given the number of live entries.
func fleetRetryDelay(live int) time.Duration {
	return min(maxFleetRetryDelay, maxRetryDelay*time.Duration(max(retryDelayFleetSize, live))/retryDelayFleetSize)
}

// fractionOf returns p times d.
func fractionOf(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// readStore makes one call to the store, a complete read if readAll is true, else a watch for
// changes after a position, and applies the reply. The position is that of this entry before the call.
// If anything changed, it requests heartbeats, so that other entries fetch the change. It returns the
// error of the store or of the context.
func (c *Controller) readStore(ctx context.Context, readAll bool, before follower.Position) (size int64, err error) {
	c.metrics.storeCalls.Inc(1)
	var got follower.State
	if readAll {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		got, err = c.config.Store.Read(bounded)
		cancel()
	} else {
		got, err = c.config.Store.Watch(ctx, before, watchTimeout)
	}
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if err != nil {
		c.metrics.storeFailures.Inc(1)
		c.do(func(s *state) { s.recordStoreError(time.Now(), err) })
		return 0, err
	}
	got = got.ResolveEpoch(before, readAll)
	changed := c.applyState(got, "store", func(s *state, now time.Time, got follower.State) []follower.Change {
		s.recordStoreSuccess()
		if readAll && got.Revision < before.Revision {
			c.config.Log.Warn("store_behind", zap.Int64("revision", before.Revision), zap.Int64("read_revision", got.Revision), zap.Int64("epoch", got.Epoch))
		}
		s.logUnreadableItems(got.Faults)
		return s.follower.ApplyStoreRead(now, got, readAll)
	})
	if changed {
		c.requestHeartbeats()
	}
	return got.ResponseBytes, nil
}

// recordStoreError records a failed store call of this entry. It only logs ErrHistoryGone and
// ErrTooManyChanges, because the store did reply, so there is no outage. Of other failures in a row
// it logs the first.
func (s *state) recordStoreError(now time.Time, err error) {
	if errors.Is(err, follower.ErrHistoryGone) {
		s.controller.config.Log.Info("store_history_gone", zap.Int64("revision", s.follower.Revision()))
		return
	}
	if errors.Is(err, follower.ErrTooManyChanges) {
		s.controller.config.Log.Info("store_changes_skipped", zap.Int64("revision", s.follower.Revision()), zap.Error(err))
		return
	}
	s.follower.RecordOwnStoreFailure(now)
	if s.storeLost {
		return
	}
	s.storeLost, s.dirty = true, true
	s.controller.config.Log.Warn("store_lost", zap.Error(err), zap.Int64("revision", s.follower.Revision()))
}

// recordStoreSuccess records that a store call of this entry succeeded, and logs it if the one
// before had failed.
func (s *state) recordStoreSuccess() {
	if s.storeLost {
		s.storeLost = false
		s.controller.config.Log.Info("store_regained", zap.Int64("revision", s.follower.Revision()))
	}
}

// applyState decodes the configuration of a state, calls apply on the control goroutine to merge
// the state into the follower, and reports whether that changed anything. Source is "store" or
// the name of the peer that sent the state. Decoding runs on the calling goroutine, so as not to
// block the control goroutine.
func (c *Controller) applyState(got follower.State, source string, apply func(*state, time.Time, follower.State) []follower.Change) bool {
	table := c.decodeConfig(&got, source)
	changed := false
	c.do(func(s *state) {
		now := time.Now()
		_, configBefore := s.follower.Config()
		before := s.follower.Position()
		changes := apply(s, now, got)
		s.checkConfig(configBefore)
		if _, config := s.follower.Config(); config != configBefore && table != nil {
			s.table = table
		}
		after := s.follower.Position()
		if after.Epoch != before.Epoch {
			c.config.Log.Info("store_epoch", zap.Int64("epoch", after.Epoch), zap.Int64("previous", before.Epoch), zap.Int64("revision", after.Revision),
				zap.Int64("previous_revision", before.Revision), zap.String("source", source))
		}
		s.logStoreChanges(changes, source)
		s.dirty = true
		changed = len(changes) > 0 || after.Epoch != before.Epoch
	})
	return changed
}

// maxUnreadableConfigs is the number of configurations that could not be decoded of which an entry knows that it has
// logged them. The store holds one, and other entries may still have some that only their settings allow.
const maxUnreadableConfigs = 8

// recordUnreadableConfig logs that a configuration could not be decoded, once for each stamp. The store and several
// other entries may send one at the same time.
func (s *state) recordUnreadableConfig(stamp follower.ConfigStamp, source string, cause error) {
	if slices.Contains(s.unreadableConfigs, stamp) {
		return
	}
	s.unreadableConfigs = append(s.unreadableConfigs, stamp)
	s.unreadableConfigs = s.unreadableConfigs[max(0, len(s.unreadableConfigs)-maxUnreadableConfigs):]
	s.controller.config.Log.Error("configuration_unreadable", zap.Int64("revision", stamp.Revision), zap.String("source", source), zap.Error(cause))
}

// decodeConfig returns the decoded configuration of a state, whose ConfigVersion it sets, or nil if the
// state has none. If the configuration is not newer than the current one, or is unreadable, decodeConfig
// removes it from the state and returns nil, so that the current one stays in force. An entry without a
// configuration then fetches the one in force from another entry. Without one there either it refuses all
// requests: with the valid part of an unreadable configuration, which it would pass on under the revision of the
// whole, it would serve requests by rules that nobody wrote.
func (c *Controller) decodeConfig(got *follower.State, source string) *matcher.Table {
	if got.Config == nil {
		return nil
	}
	stamp := follower.ConfigStamp{Epoch: got.ConfigEpoch, Revision: got.ConfigRevision}
	isKnown := false
	c.do(func(s *state) {
		_, current := s.follower.Config()
		isKnown = slices.Contains(s.unreadableConfigs, stamp) || current.Epoch == stamp.Epoch && current.Revision >= stamp.Revision
	})
	if isKnown {
		got.Config = nil
		return nil
	}
	table, err := c.config.Store.DecodeConfig(got.Config)
	if err != nil {
		c.do(func(s *state) { s.recordUnreadableConfig(stamp, source, err) })
		got.Config = nil
		return nil
	}
	got.ConfigVersion = table.Config.Version
	return table
}
