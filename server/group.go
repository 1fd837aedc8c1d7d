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

// attemptGroup runs a prompt that no single engine holds on a group.
func (c *completion) attemptGroup(w router.Requirements) *failure {
	x := c.x
	patience := time.Now().Add(x.left() / groupPatience)
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	for {
		group, f := c.reserve(ctx, w, func() { cancel(errHoldLost) })
		if f == nil {
			return c.runGroup(ctx, group)
		}
		if f.code != api.CodeOverloaded || time.Now().After(patience) {
			return f
		}
		if !sleeper.Sleep(x.ctx, groupPause+time.Duration(c.random.Int64N(int64(groupPause)))) {
			return fail(api.CodeOverloaded, "no group of engines was free in time")
		}
	}
}

// reserve takes every share of a group, or none. Lost is called when an
// engine turns out to have lost its share later.
func (c *completion) reserve(ctx context.Context, w router.Requirements, lost func()) (*reserver.Reserver, *failure) {
	x := c.x
	s := x.server
	shares, err := reserver.Plan(c.candidates(w), w.MemoryTokens, x.view.accepted.Document.Limits.MaxGroup, newID)
	var tooLong reserver.TooLongError
	if errors.As(err, &tooLong) {
		f := fail(api.CodePromptTooLong, "%s", err)
		f.param = "prompt"
		return nil, f
	}
	if err != nil {
		f := fail(api.CodeOverloaded, "%s", err)
		f.retryAfter = s.retryAfter()
		return nil, f
	}
	group := reserver.New(shares)
	if s.driveGroup(ctx, group, lost) {
		s.logs.route.Info("group", zap.String("request", x.id), zap.Int("tokens", w.MemoryTokens), zap.Strings("engines", engineNames(shares)))
		return group, nil
	}
	s.logs.route.Info("group_refused", zap.String("request", x.id), zap.Int("tokens", w.MemoryTokens), zap.Strings("engines", engineNames(shares)))
	f := fail(api.CodeOverloaded, "no group of engines can hold the prompt now")
	f.retryAfter = s.retryAfter()
	return nil, f
}

func engineNames(shares []reserver.Share) []string {
	names := make([]string, len(shares))
	for i, share := range shares {
		names[i] = share.Engine
	}
	return names
}

func (c *completion) candidates(w router.Requirements) []reserver.Candidate {
	var out []reserver.Candidate
	for _, e := range c.x.server.current.Load().board.Serving(w.Model) {
		if slices.Contains(w.Avoid, e.Name) || (w.Version != "" && e.Version != w.Version) {
			continue
		}
		if w.Adapter != "" && !slices.Contains(e.Adapters, w.Adapter) {
			continue
		}
		free := e.MemoryTokens
		if e.Load.SaidAt.Load() != 0 {
			free = int(e.Load.Free.Load())
		}
		out = append(out, reserver.Candidate{Name: e.Name, DataCentre: e.DataCentre, FreeTokens: free, MemoryTokens: e.MemoryTokens})
	}
	return out
}

// driveGroup does what a reservation asks for until all or nothing is held.
func (s *Server) driveGroup(ctx context.Context, group *reserver.Reserver, lost func()) bool {
	for {
		effect := group.Next()
		switch {
		case effect.Held:
			return true
		case effect.Failed:
			return false
		case effect.Release != nil:
			s.releaseShare(*effect.Release)
			group.Released()
		default:
			held, maybe := s.reserveShare(ctx, *effect.Reserve, lost)
			if held {
				group.Reserved()
			} else {
				group.Refused(maybe)
			}
		}
	}
}

// reserveShare asks an engine for memory. When it is not held, maybe says
// that the engine may have made the hold all the same.
func (s *Server) reserveShare(ctx context.Context, share reserver.Share, lost func()) (held, maybe bool) {
	engine, ok := s.current.Load().board.Engine(share.Engine)
	if !ok {
		return false, false
	}
	s.registerHold(share.Engine, share.HoldID, lost)
	data, err := json.Marshal(api.EngineHold{
		ID: share.HoldID, Owner: s.settings.Name, Incarnation: s.config.Incarnation, Kind: api.HoldGroup, Tokens: share.Tokens,
	})
	if err != nil {
		return false, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engine.Address+api.PathHolds, bytes.NewReader(data))
	if err != nil {
		return false, false
	}
	response, err := s.engines.Do(request)
	if err != nil {
		return false, true
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusCreated {
		return true, false
	}
	engine.Load.Free.Store(0)
	s.releaseHold(share.Engine, share.HoldID)
	return false, false
}

// releaseShare gives memory back. One that can't be reached is left to the
// engine's keeper, since nobody renews it any more.
func (s *Server) releaseShare(share reserver.Share) {
	s.releaseHold(share.Engine, share.HoldID)
	u, ok := s.current.Load().engines[share.Engine]
	if !ok {
		return
	}
	if err := s.freeHold(u.Address.String(), share.HoldID, 0); err != nil {
		s.logs.keep.Warn("release", zap.String("engine", share.Engine), zap.String("hold", share.HoldID), zap.Error(err))
	}
}

// freeHold gives up a hold on an engine if it is at least olderThan old.
func (s *Server) freeHold(address, id string, olderThan time.Duration) error {
	base := sling.New().Client(s.engines).Base("http://" + address)
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

// runGroup streams the answer from the group's first engine, and gives all
// shares back afterwards.
func (c *completion) runGroup(ctx context.Context, group *reserver.Reserver) *failure {
	s := c.x.server
	defer func() {
		group.Release()
		s.driveGroup(context.Background(), group, nil)
	}()
	shares := group.Shares()
	engine, ok := s.current.Load().board.Engine(shares[0].Engine)
	if !ok {
		return fail(api.CodeUpstreamFailed, "engine %s is leaving", shares[0].Engine)
	}
	var ids []string
	for _, share := range shares {
		ids = append(ids, share.HoldID)
	}
	return c.run(ctx, run{engine: engine, attemptID: newID(), group: ids, speed: len(shares)})
}
