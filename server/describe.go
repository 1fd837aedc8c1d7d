package server

import (
	"errors"
	"net/rpc"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
)

// describeHolds tells the keepers of engines the organisations of this entry's holds that they don't know: holds that an
// earlier keeper or nobody granted, and shards. A call that fails is repeated at the next one of runRenewals.
func (s *Server) describeHolds() {
	var unknown []api.DescribeArgs
	var keepers []string
	s.onControl(func(c *control) { unknown, keepers = c.undescribedHolds() })
	for i, args := range unknown {
		go s.describe(keepers[i], args)
	}
}

// undescribedHolds returns, by engine, the holds of this entry that the engine's keeper was not told of, and the names
// of these keepers.
func (c *control) undescribedHolds() (unknown []api.DescribeArgs, keepers []string) {
	v := c.server.current.Load()
	for engine, holds := range c.ownHolds {
		keeper := v.engines[engine].Keeper
		if keeper == "" {
			continue
		}
		args := api.DescribeArgs{Engine: engine}
		for id, h := range holds {
			if h.keeper != keeper {
				args.Holds = append(args.Holds, api.DescribedHold{ID: id, Organisation: h.organisation, Rank: h.rank})
			}
		}
		if len(args.Holds) > 0 {
			unknown, keepers = append(unknown, args), append(keepers, keeper)
		}
	}
	return unknown, keepers
}

// describe tells the keeper of an engine, which may be this entry, the organisations of holds, and records that it knows
// them. A keeper of a version that can't be told counts as knowing them.
func (s *Server) describe(keeper string, args api.DescribeArgs) {
	var reply api.DescribeReply
	if keeper == s.settings.Name {
		s.onControl(func(c *control) { reply = c.recordDescribed(args) })
	} else if member, ok := s.current.Load().members[keeper]; ok {
		err := s.peerPool.Call(member.PeerAddress, rpcName+".Describe", args, &reply, askTimeout)
		var notServed rpc.ServerError
		reply.Keeper = reply.Keeper || errors.As(err, &notServed)
		if err != nil {
			s.logs.keep.Debug("describe_failed", zap.String("keeper", keeper), zap.String("engine", args.Engine), zap.Error(err))
		}
	}
	if !reply.Keeper {
		return
	}
	s.onControl(func(c *control) {
		for _, described := range args.Holds {
			if h, ok := c.ownHolds[args.Engine][described.ID]; ok {
				h.keeper = keeper
			}
		}
	})
}

// Describe records for another entry the organisations of its holds at an engine that this entry is the keeper of.
func (e *PeerService) Describe(args api.DescribeArgs, reply *api.DescribeReply) error {
	e.server.onControl(func(c *control) { *reply = c.recordDescribed(args) })
	return nil
}

// recordDescribed records the organisations of holds at an engine. Reply.Keeper is false if this entry is not its keeper.
func (c *control) recordDescribed(args api.DescribeArgs) api.DescribeReply {
	k, ok := c.keepers[args.Engine]
	if !ok {
		return api.DescribeReply{}
	}
	for _, h := range args.Holds {
		k.RecordOwner(h.ID, h.Organisation, rankOf(h.Rank))
	}
	return api.DescribeReply{Keeper: true}
}
