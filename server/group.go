package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/reserver"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

// attemptGroup runs a prompt that is too large for any single engine on a group of engines. Until the
// prompt's remaining time divided by groupWaitDivisor has passed, it retries a reservation that failed for
// lack of free memory or because an engine could not be reached, which is then avoided.
func (c *completion) attemptGroup(needs router.Requirements) *failure {
	x := c.x
	wait := x.remaining() / groupWaitDivisor
	giveUpAt, reuseAt := time.Now().Add(wait), time.Now().Add(wait/2)
	if c.hasBegun() {
		giveUpAt = x.deadline
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	for {
		if time.Now().After(reuseAt) {
			c.triedEngines = nil // the others have no room, and a failed engine may have recovered
		}
		needs.Exclude = c.triedEngines
		group, f := c.reserveGroup(ctx, needs, func(lost holdLostError) { cancel(lost) })
		if f == nil {
			return c.runGroup(ctx, group)
		}
		if f.code != api.CodeOverloaded || time.Now().After(giveUpAt) {
			return f
		}
		if !sleeper.Sleep(x.ctx, minGroupRetryInterval+time.Duration(c.random.Int64N(int64(minGroupRetryInterval)))) {
			return newFailure(api.CodeOverloaded, "no group of engines was free in time")
		}
	}
}

// reserveGroup chooses a group of engines for the prompt and reserves memory for every shard, or for none.
// OnLost is called if an engine later loses its shard's hold (see ownHold.onLost).
func (c *completion) reserveGroup(ctx context.Context, needs router.Requirements, onLost func(holdLostError)) (*reserver.Reserver, *failure) {
	x := c.x
	s := x.server
	shards, err := c.planShards(needs)
	var tooLong reserver.TooLongError
	if errors.As(err, &tooLong) && len(needs.Exclude) > 0 {
		needs.Exclude, c.triedEngines = nil, nil // the others do not suffice
		shards, err = c.planShards(needs)
	}
	if errors.As(err, &tooLong) && !c.fitsListedEngines(needs) {
		f := newFailure(api.CodePromptTooLong, "%s", err)
		f.param = "prompt"
		return nil, f
	}
	if err != nil {
		f := newFailure(api.CodeOverloaded, "%s", err)
		f.retryAfter = s.retryAfter()
		return nil, f
	}
	group := reserver.New(shards)
	held, unreachable := s.runReservation(ctx, group, ownHold{isShard: true, onLost: onLost, organisation: x.organisation.Name, rank: x.organisation.Rank})
	if held {
		s.logs.route.Info("group", zap.String("request", x.id), zap.Int("tokens", needs.MemoryTokens), zap.Strings("engines", engineNames(shards)))
		return group, nil
	}
	s.logs.route.Info("group_refused", zap.String("request", x.id), zap.Int("tokens", needs.MemoryTokens), zap.Strings("engines", engineNames(shards)), zap.String("unreachable", unreachable))
	if unreachable != "" {
		c.triedEngines = append(c.triedEngines, unreachable)
	}
	f := newFailure(api.CodeOverloaded, "no group of engines can hold the prompt now")
	f.retryAfter = s.retryAfter()
	return nil, f
}

// planShards chooses the engines of a group for the prompt and divides its memory among them. It returns the
// errors of reserver.PlanShards.
func (c *completion) planShards(needs router.Requirements) ([]reserver.Shard, error) {
	return reserver.PlanShards(c.groupCandidates(needs), needs.MemoryTokens, c.x.view.accepted.Document.Limits.MaxGroup, newID)
}

// fitsListedEngines reports whether a group of the engines that the document lists can hold the prompt when all
// of them are usable and empty. An engine without an instance may return in any data centre.
func (c *completion) fitsListedEngines(needs router.Requirements) bool {
	x := c.x
	centres := map[string]bool{"": true}
	for _, u := range x.view.engines {
		centres[u.DataCentre] = true
	}
	var candidates []reserver.Candidate
	for _, e := range x.view.accepted.Document.Engines {
		if e.Model != needs.Model || needs.Adapter != "" && !slices.Contains(e.Adapters, needs.Adapter) {
			continue
		}
		u, isListed := x.view.engines[e.Name]
		for centre := range centres {
			if !isListed || u.DataCentre == centre {
				candidates = append(candidates, reserver.Candidate{Name: e.Name, DataCentre: centre, FreeTokens: e.MemoryTokens, MemoryTokens: e.MemoryTokens})
			}
		}
	}
	_, err := reserver.PlanShards(candidates, needs.MemoryTokens, x.view.accepted.Document.Limits.MaxGroup, newID)
	return err == nil
}

func engineNames(shards []reserver.Shard) []string {
	names := make([]string, len(shards))
	for i, shard := range shards {
		names[i] = shard.Engine
	}
	return names
}

func (c *completion) groupCandidates(needs router.Requirements) []reserver.Candidate {
	var out []reserver.Candidate
	for _, e := range c.x.server.current.Load().engineIndex.EnginesFor(needs.Model) {
		if slices.Contains(needs.Exclude, e.Name) || (needs.Version != "" && e.Version != needs.Version) {
			continue
		}
		if needs.Adapter != "" && !slices.Contains(e.Adapters, needs.Adapter) {
			continue
		}
		free := e.MemoryTokens
		if e.Load.ReportedAt.Load() != nil {
			free = int(e.Load.FreeTokens.Load())
		}
		out = append(out, reserver.Candidate{Name: e.Name, DataCentre: e.DataCentre, FreeTokens: free, MemoryTokens: e.MemoryTokens})
	}
	return out
}

// runReservation reserves or releases shards, as group.Next requires, and reports the results to group. It
// returns held as true once all shards are held, and as false once none is. Unreachable is the name of the
// engine that did not reply, if that is why; otherwise empty. Hold is registered for each shard.
func (s *Server) runReservation(ctx context.Context, group *reserver.Reserver, hold ownHold) (held bool, unreachable string) {
	for {
		action := group.Next()
		switch {
		case action.AllHeld:
			return true, ""
		case action.Failed:
			return false, unreachable
		case action.Release != nil:
			s.releaseShard(*action.Release)
			group.RecordReleased()
		default:
			held, maybeHeld := s.reserveShard(ctx, *action.Reserve, hold)
			if held {
				group.RecordReserved()
				continue
			}
			group.RecordRefused(maybeHeld)
			if maybeHeld {
				unreachable = action.Reserve.Engine
			}
		}
	}
}

// reserveShard requests a hold on memory for a shard from its engine and starts to renew the hold. Held
// reports whether the engine confirmed the hold; if not, maybeHeld reports whether the engine may have made
// it all the same, because no response arrived.
func (s *Server) reserveShard(ctx context.Context, shard reserver.Shard, hold ownHold) (held, maybeHeld bool) {
	engine, ok := s.current.Load().engineIndex.Engine(shard.Engine)
	if !ok {
		return false, false
	}
	s.registerHold(shard.Engine, shard.HoldID, hold)
	data, err := json.Marshal(api.EngineHold{
		ID: shard.HoldID, Owner: s.settings.Name, Incarnation: s.config.Incarnation, Kind: api.HoldGroup, Tokens: shard.Tokens,
	})
	if err != nil {
		return false, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engine.Address+api.PathHolds, bytes.NewReader(data))
	if err != nil {
		return false, false
	}
	response, err := s.engineClient.Do(request)
	if err != nil {
		return false, true
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusCreated {
		return true, false
	}
	engine.Load.FreeTokens.Store(0)
	s.unregisterHold(shard.Engine, shard.HoldID)
	return false, false
}

// releaseShard gives up the hold of a shard. If the engine can't be reached, its keeper frees the hold
// later, since nobody renews it any more.
func (s *Server) releaseShard(shard reserver.Shard) {
	s.unregisterHold(shard.Engine, shard.HoldID)
	u, ok := s.current.Load().engines[shard.Engine]
	if !ok {
		return
	}
	if err := s.freeHold(u.Address.String(), shard.HoldID, 0); err != nil {
		s.logs.keep.Warn("release", zap.String("engine", shard.Engine), zap.String("hold", shard.HoldID), zap.Error(err))
	}
}

// freeHold asks an engine to free a hold unless it was renewed less than olderThan ago. A hold that the
// engine does not have is no error.
func (s *Server) freeHold(address, id string, olderThan time.Duration) error {
	base := sling.New().Client(s.engineClient).Base("http://" + address)
	path := fmt.Sprintf("%s/%s?older_than=%s", api.PathHolds, id, api.FormatSeconds(olderThan))
	response, err := base.Delete(path).ReceiveSuccess(nil)
	if err != nil {
		return fmt.Errorf("free hold: %w", err)
	}
	if response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotFound {
		return fmt.Errorf("free hold: status %d", response.StatusCode)
	}
	return nil
}

// runGroup sends the attempt to the first engine of a reserved group, relays the answer from there, and
// releases all shards afterwards. It returns nil once the answer is complete.
func (c *completion) runGroup(ctx context.Context, group *reserver.Reserver) *failure {
	s := c.x.server
	defer func() {
		group.ReleaseAll()
		s.runReservation(context.Background(), group, ownHold{})
	}()
	shards := group.Shards()
	engine, ok := s.current.Load().engineIndex.Engine(shards[0].Engine)
	if !ok {
		return newFailure(api.CodeUpstreamFailed, "engine %s is leaving", shards[0].Engine)
	}
	var holdIDs []string
	for _, shard := range shards {
		holdIDs = append(holdIDs, shard.HoldID)
	}
	f := c.runAttempt(ctx, engineAttempt{engine: engine, attemptID: newID(), holdIDs: holdIDs, groupSize: len(shards)})
	var lost holdLostError
	if f != nil && errors.As(context.Cause(ctx), &lost) {
		// The engine that streamed is sound.
		c.triedEngines = slices.DeleteFunc(c.triedEngines, func(name string) bool { return name == engine.Name })
		c.triedEngines = append(c.triedEngines, lost.Engine)
	}
	return f
}
