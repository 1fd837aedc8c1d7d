package server

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/drainer"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// rpcName is the net/rpc service name under which entries call each other.
	rpcName = "Entry"
	// heartbeatTimeout, fetchTimeout and askTimeout bound the RPCs Beat, Fetch and Ask to other entries. Beat
	// is also bounded by half of the setting Timing.Suspect.
	heartbeatTimeout = time.Second
	fetchTimeout     = 3 * time.Second
	askTimeout       = 100 * time.Millisecond
	// engineAskTimeout bounds the load request to an engine by askEngineDirectly.
	engineAskTimeout = 300 * time.Millisecond
)

// PeerService implements the net/rpc methods that other entries call on this entry.
type PeerService struct{ server *Server }

// servePeers serves RPCs of other entries until the listener is closed.
func (s *Server) servePeers(ctx context.Context) {
	calls := rpc.NewServer()
	if err := calls.RegisterName(rpcName, &PeerService{server: s}); err != nil {
		s.logs.entry.Error("serve_peers", zap.Error(err))
		return
	}
	if err := s.tunneler.Register(calls); err != nil {
		s.logs.entry.Error("serve_peers", zap.Error(err))
		return
	}
	for {
		connection, err := s.peerListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logs.members.Warn("accept_peer", zap.Error(err))
			if !sleeper.Sleep(ctx, tickInterval) {
				return
			}
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
		go func() {
			defer stop()
			calls.ServeConn(connector.NewServedConn(connection, s.account, connector.DefaultServedLimits()))
		}()
	}
}

// Beat records another entry's heartbeat and replies with this entry's own.
func (e *PeerService) Beat(heartbeat api.Heartbeat, reply *api.Heartbeat) error {
	e.server.receiveHeartbeat(heartbeat)
	e.server.onControl(func(c *control) {
		now := time.Now()
		*reply = c.buildHeartbeat(now)
		reply.Quarantine = e.server.quarantine.TakeReplyUpdate(now, heartbeat.Quarantine)
		reply.Parts = e.server.isolator.TakeReplyUpdate(now, heartbeat.Parts)
	})
	return nil
}

// Fetch replies with the configuration document in force, as published, and the instance list in use.
// Either is empty if this entry has none.
func (e *PeerService) Fetch(_ api.FetchArgs, reply *api.FetchReply) error {
	e.server.onControl(func(c *control) {
		reply.List, reply.ListAge = c.lister.Current(), c.lister.ConfirmationAge(time.Now())
	})
	if v := e.server.current.Load(); v.accepted != nil {
		reply.Document = v.accepted.Raw
	}
	return nil
}

// Ask decides for another entry whether an attempt may start on an engine that this entry is the keeper of.
// Reply.Keeper is false if this entry is not the keeper.
func (e *PeerService) Ask(args api.AskArgs, reply *api.AskReply) error {
	e.server.onControl(func(c *control) { *reply = c.askLocalKeeper(time.Now(), args) })
	return nil
}

// askLocalKeeper asks this entry's keeper of an engine whether an attempt may start on the engine.
func (c *control) askLocalKeeper(now time.Time, args api.AskArgs) api.AskReply {
	k, ok := c.keepers[args.Engine]
	if !ok {
		return api.AskReply{}
	}
	reply := api.AskReply{Keeper: true}
	if c.drainer.WasListed(args.Engine) && !c.drainer.IsUsable(args.Engine) {
		reply.Reason = string(keeper.Leaving)
		return reply
	}
	answer := k.RequestGrant(now, grantRequestFromWire(args))
	if answer.Reason == keeper.OverShare {
		share := k.LastShare()
		c.server.metrics.overShare.Inc(1)
		c.server.logs.keep.Info("over_share", zap.String("engine", args.Engine), zap.String("attempt", args.AttemptID),
			zap.String("organisation", args.Organisation), zap.Int("rank", args.Rank), zap.Float64("use", share.Use),
			zap.String("ahead", share.Ahead), zap.Float64("ahead_use", share.AheadUse),
			zap.Int("free_tokens", k.FreeTokens()), zap.Int("waiting", share.Waiting))
	}
	reply.Granted, reply.Wait, reply.Reason = answer.Granted, answer.QueueWait, string(answer.Reason)
	reply.Load = loadEstimateToWire(k.EstimateLoad(now))
	return reply
}

// askKeeper asks the keeper of an engine, which may be this entry, whether an attempt may start, and records
// the load in the reply. If the keeper does not reply, is not the keeper any more or has no current report of
// the engine, askEngineDirectly decides instead, and byKeeper is false.
func (s *Server) askKeeper(ctx context.Context, engine *router.Engine, args api.AskArgs) (answer keeper.GrantReply, byKeeper bool) {
	now := time.Now()
	reply := api.AskReply{}
	if engine.Keeper == s.settings.Name {
		s.onControl(func(c *control) { reply = c.askLocalKeeper(now, args) })
	} else if member, ok := s.current.Load().members[engine.Keeper]; ok {
		err := s.peerPool.Call(member.PeerAddress, rpcName+".Ask", args, &reply, askTimeout)
		if err != nil {
			s.metrics.askFailures.Inc(1)
			s.logs.route.Debug("ask_failed", zap.String("keeper", engine.Keeper), zap.Error(err))
			reply = api.AskReply{}
		}
	}
	if !reply.Keeper || reply.Reason == string(keeper.NoReport) {
		return s.askEngineDirectly(ctx, engine, args), false
	}
	if reply.Load.Engine == engine.Name {
		engine.Load.RecordReport(now, queuedTokensFromWire(reply.Load.QueuedTokens), reply.Load.FreeTokens)
	}
	if reply.Reason == string(keeper.Leaving) {
		s.recordLeaving(engine.Name, 0)
	}
	return keeper.GrantReply{Granted: reply.Granted, QueueWait: reply.Wait, Reason: keeper.Reason(reply.Reason)}, true
}

// recordLeaving records that an engine's incarnation is leaving, as reported by its keeper or by the engine,
// and announces it to other entries. Incarnation is 0 if it was not reported. If this entry has seen a later
// incarnation of the engine, it is that one that is recorded as leaving.
func (s *Server) recordLeaving(engine string, incarnation uint64) {
	s.onControl(func(c *control) {
		incarnation = max(incarnation, c.drainer.LatestIncarnation(engine))
		if c.drainer.MarkLeaving(engine, incarnation) {
			c.announceLeaving(engine, drainer.FromPeer)
		}
	})
}

// askEngineDirectly decides without the keeper whether an attempt may start on an engine, from a load report
// that it requests from the engine. Entries that decide so at the same time do not see each other's grants;
// if the attempts need more memory than the engine has, the engine refuses some of them.
func (s *Server) askEngineDirectly(ctx context.Context, engine *router.Engine, args api.AskArgs) keeper.GrantReply {
	ctx, cancel := context.WithTimeout(ctx, engineAskTimeout)
	defer cancel()
	load, err := s.fetchEngineLoad(ctx, engine.Address)
	if err != nil {
		return keeper.GrantReply{Reason: keeper.NoReport}
	}
	if load.Leaving {
		s.recordLeaving(engine.Name, load.Incarnation)
		return keeper.GrantReply{Reason: keeper.Leaving}
	}
	k := keeper.New(s.keeperConfig(engine.Name, engine.MemoryTokens, engine.PrefillRate))
	now := time.Now()
	k.RecordLoadAndHolds(now, load, []api.EngineHold{{Tokens: load.UsedTokens}})
	engine.Load.RecordReport(now, k.EstimateLoad(now).QueuedTokens, k.FreeTokens())
	return k.RequestGrant(now, grantRequestFromWire(args))
}
