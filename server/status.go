package server

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleAddresses writes the addresses of the entries that accept callers, and for how long a caller may use
// them before it must fetch them again.
func (s *Server) handleAddresses(w http.ResponseWriter, _ *http.Request) {
	v := s.current.Load()
	writeJSON(w, api.Addresses{Entries: v.acceptingEntries, LifeSeconds: s.settings.Callers.AddressLife.Seconds()})
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.onControl(func(*control) {}) // hangs if the control goroutine hangs
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	v := s.current.Load()
	if !v.ready || v.stopping {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// handleStatus writes this entry's state, for operators, as an api.Status in JSON.
func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	var status api.Status
	s.onControl(func(c *control) { status = c.status(time.Now()) })
	status.Violations = s.asserter.Violations()
	writeJSON(w, status)
}

func (c *control) status(now time.Time) api.Status {
	settings := c.server.settings
	version := c.adopter.Version()
	status := api.Status{
		Name: settings.Name, DataCentre: settings.DataCentre, Incarnation: c.server.config.Incarnation,
		Ready: c.adopter.IsReady(), Stopping: c.stopping, CutOff: c.isCutOff, Tunnels: c.server.tunneler.Served(), Revision: version.Revision, Digest: version.Digest,
		Superseded: c.adopter.SupersededDigests(), InFlight: c.admitter.InFlight(),
	}
	for _, m := range c.prober.Members() {
		member := api.MemberStatus{Name: m.Name, State: string(m.State), Incarnation: m.Incarnation, CutOff: c.cutOffMembers[m.Name]}
		if !m.LastHeartbeat.IsZero() {
			member.Heard = now.Sub(m.LastHeartbeat)
		}
		status.Members = append(status.Members, member)
	}
	v := c.server.current.Load()
	for name, u := range v.engines {
		status.Engines = append(status.Engines, c.engineStatus(v, name, u))
	}
	slices.SortFunc(status.Engines, func(a, b api.EngineStatus) int { return strings.Compare(a.Name, b.Name) })
	return status
}

func (c *control) engineStatus(v *view, name string, u upstream) api.EngineStatus {
	e, _ := v.accepted.Engine(name)
	status := api.EngineStatus{
		Name: name, Address: u.Address, DataCentre: u.DataCentre, State: api.InstanceLive, Keeper: u.Keeper,
		Model: e.Model, Version: e.Version, MemoryTokens: e.MemoryTokens,
	}
	if !u.Usable {
		status.State = api.InstanceLeaving
	}
	load := c.loadOf(name)
	status.InFlight = int(load.OwnInFlight.Load())
	for class := range load.QueuedTokens {
		status.QueuedTokens += int(load.QueuedTokens[class].Load())
	}
	if k, kept := c.keepers[name]; kept {
		report := k.LastLoad()
		status.Model, status.Version, status.Fence = report.Model, report.Version, report.Fence
		status.UsedTokens = e.MemoryTokens - k.FreeTokens()
		status.Heard = !k.LastReportAt().IsZero()
		status.Holds, status.Grants = k.HoldCount(), k.GrantCount()
	}
	return status
}
