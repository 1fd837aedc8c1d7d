package controller

import (
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Status returns the state of this entry and its view of upstreams and other entries, for
// operators. It leaves InFlight zero.
func (c *Controller) Status() api.Status {
	var status api.Status
	c.do(func(s *state) { status = s.status(time.Now()) })
	status.Quarantined = c.config.Quarantine.QuarantinedCount()
	status.QuarantinedParts = c.config.Isolator.QuarantinedCount()
	for _, row := range c.config.Dispatcher.Upstreams(time.Now()) {
		state := api.InstanceLive
		if row.Instance.Leaving {
			state = api.InstanceLeaving
		}
		var rateLimit *float64
		if row.RateLimit.Limited {
			rateLimit = &row.RateLimit.PerSecond
		}
		status.Engines = append(status.Engines, api.EngineStatus{
			Name: row.Instance.ID, Service: row.Instance.Service, Address: row.Instance.Address, DataCentre: row.Instance.DataCentre,
			State: state, PausedFor: row.Backoff, MemoryTokens: row.MemoryTokens, UsedTokens: row.Load.MemoryTokens, InFlight: row.Load.Running,
			Failures: row.Load.FailureRate, RateLimit: rateLimit,
		})
	}
	status.LoadNews = c.loadCounts.status(c.current.Load())
	status.Violations = c.config.Asserter.Violations()
	return status
}

// status returns the fields of the status that come from the control state: those of this entry,
// the revision and age of the configuration, and the members.
func (s *state) status(now time.Time) api.Status {
	c := s.controller.config
	_, config := s.follower.Config()
	status := api.Status{
		Name: c.Name, DataCentre: c.DataCentre, Incarnation: s.incarnation, Ready: s.table != nil && !s.stopping,
		Stopping: s.stopping, CutOff: s.isCutOff, Tunnels: c.Tunneler.Served(), Revision: uint64(config.Revision), StoreEpoch: s.follower.Position().Epoch, Confirmed: -1, Evacuated: s.follower.EvacuatedDataCentres(),
	}
	if age, ok := s.follower.ConfirmationAge(now); ok {
		status.Confirmed = age
	}
	getsCallers := map[string]bool{}
	for _, e := range s.controller.current.Load().callerEntries {
		getsCallers[e.name] = true
	}
	for _, m := range s.prober.Members() {
		reported := s.capacities[m.Name]
		member := api.MemberStatus{
			Name: m.Name, State: string(m.State), Incarnation: m.Incarnation, Speed: reported.speed, Strained: reported.overloaded, CutOff: reported.cutOff, Takes: getsCallers[m.Name],
		}
		if !m.LastHeartbeat.IsZero() {
			member.Heard = now.Sub(m.LastHeartbeat)
		}
		status.Members = append(status.Members, member)
	}
	return status
}
