package server

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/assigner"
	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/keeper"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/prober"
	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/tunneler"
	"github.com/sapphireramp/sapphireramp/validator"
)

// localLatency and remoteLatency are the assumed one-way network latencies from this entry to an engine in
// its own data centre and to one in another.
const (
	localLatency  = 200 * time.Microsecond
	remoteLatency = 1500 * time.Microsecond
)

// view is an immutable snapshot of the control state for the goroutines that serve requests.
type view struct {
	// accepted is the configuration document in force; nil if there is none yet.
	accepted *validator.ValidDocument
	// engineIndex holds the usable engines (see upstream.Usable), from which the engine of an attempt is
	// chosen.
	engineIndex *router.EngineIndex
	// engines holds the engines of the document that the instance list contains with a valid address, by
	// name, usable or not.
	engines map[string]upstream
	// members holds the other entries, by name.
	members map[string]prober.Member
	// acceptingEntries are the entries, this one included, that are ready and not shutting down, as far as
	// this entry can see, sorted by name. Those that reach no upstream directly are left out unless all do so.
	acceptingEntries []api.EntryAddress
	// relays are the other entries through which upstreams can be reached.
	relays []tunneler.Relay
	// ready is true once a document is in force and every source of documents has been tried.
	ready bool
	// stopping is true once this entry is shutting down.
	stopping bool
}

// upstream is an engine or an instance of a service.
type upstream struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Keeper is the name of the entry that is the engine's keeper; empty for services.
	Keeper string
	// Usable is false if the upstream is leaving or the instance list does not show it as live.
	Usable bool
}

func emptyView() *view {
	return &view{engineIndex: router.NewEngineIndex(nil)}
}

// publishView builds a new view from the control state and publishes it. It also updates which engines this
// entry is the keeper of, the number of upstreams for the quarantine, and the instances for service calls.
func (c *control) publishView() {
	c.dirty = false
	v := emptyView()
	v.accepted = c.adopter.Current()
	v.ready, v.stopping = c.adopter.IsReady(), c.stopping
	v.engines = map[string]upstream{}
	v.members = map[string]prober.Member{}
	candidates := c.fillMembers(v)
	var services []dispatcher.Instance
	if v.accepted != nil {
		c.fillEngines(v, candidates)
		services = c.usableInstances(v.accepted)
	}
	c.updateKeepers(v)
	c.server.quarantine.SetUpstreamCount(countUpstreams(v.engines, services))
	c.server.isolator.SetUpstreamCount(len(v.engines))
	c.server.isolator.SetEntries(v.acceptingNames())
	c.server.callDispatcher.UpdateUpstreams(&matcher.Table{}, services)
	c.server.tunneler.SetUpstreams(tunnelUpstreams(v.engines, services))
	c.server.current.Store(v)
}

// acceptingNames returns the names of acceptingEntries.
func (v *view) acceptingNames() []string {
	names := make([]string, len(v.acceptingEntries))
	for i, e := range v.acceptingEntries {
		names[i] = e.Name
	}
	return names
}

// fillMembers sets the view's members, acceptingEntries and relays. It returns the entries that can be the keeper of
// an engine: this one unless it is shutting down, and the others that are live or listed.
func (c *control) fillMembers(v *view) []assigner.Member {
	settings := c.server.settings
	var candidates []assigner.Member
	if !c.stopping {
		candidates = append(candidates, assigner.Member{Name: settings.Name, DataCentre: settings.DataCentre})
	}
	var cutOff []api.EntryAddress
	if v.ready && !c.stopping && c.isCutOff {
		cutOff = append(cutOff, api.EntryAddress{Name: settings.Name, Address: settings.Address, DataCentre: settings.DataCentre})
	} else if v.ready && !c.stopping {
		v.acceptingEntries = append(v.acceptingEntries, api.EntryAddress{Name: settings.Name, Address: settings.Address, DataCentre: settings.DataCentre})
	}
	for _, m := range c.prober.Members() {
		v.members[m.Name] = m
		if m.State == prober.Live || m.State == prober.Listed {
			candidates = append(candidates, assigner.Member{Name: m.Name, DataCentre: m.DataCentre})
		}
		if m.State != prober.Live || !m.Ready {
			continue
		}
		entry := api.EntryAddress{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
		if c.cutOffMembers[m.Name] {
			cutOff = append(cutOff, entry)
			continue
		}
		v.acceptingEntries = append(v.acceptingEntries, entry)
		v.relays = append(v.relays, tunneler.Relay{Name: m.Name, Address: m.PeerAddress, DataCentre: m.DataCentre})
	}
	if len(v.acceptingEntries) == 0 {
		v.acceptingEntries = cutOff
	}
	slices.SortFunc(v.acceptingEntries, func(a, b api.EntryAddress) int { return strings.Compare(a.Name, b.Name) })
	return candidates
}

func (c *control) findUpstream(name string) (upstream, bool) {
	i, ok := c.instances[name]
	if !ok {
		return upstream{}, false
	}
	address, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return upstream{}, false
	}
	return upstream{Name: name, Address: address, DataCentre: i.DataCentre, Usable: c.drainer.IsUsable(name)}, true
}

func (c *control) fillEngines(v *view, candidates []assigner.Member) {
	var engines []*router.Engine
	for _, e := range v.accepted.Document.Engines {
		u, ok := c.findUpstream(e.Name)
		if !ok {
			continue
		}
		u.Keeper = assigner.Owner(candidates, e.Name, u.DataCentre)
		v.engines[e.Name] = u
		if !u.Usable {
			continue
		}
		engines = append(engines, &router.Engine{
			Name: e.Name, Address: u.Address.String(), DataCentre: u.DataCentre, Model: e.Model, Version: e.Version,
			Adapters: e.Adapters, Role: e.Role, Keeper: u.Keeper, MemoryTokens: e.MemoryTokens, PrefillRate: e.PrefillRate,
			OneWayDelay: c.oneWayLatency(u.DataCentre), Load: c.loadOf(e.Name),
		})
	}
	v.engineIndex = router.NewEngineIndex(engines)
}

func (c *control) oneWayLatency(dataCentre string) time.Duration {
	if dataCentre == c.server.settings.DataCentre {
		return localLatency
	}
	return remoteLatency
}

// usableInstances returns the instances of the document's services to which calls can be sent, one element per
// service and instance.
func (c *control) usableInstances(a *validator.ValidDocument) []dispatcher.Instance {
	var out []dispatcher.Instance
	for _, s := range a.Document.Services {
		for _, name := range s.Instances {
			if u, ok := c.findUpstream(name); ok && u.Usable {
				out = append(out, dispatcher.Instance{ID: u.Name, Service: s.Name, Address: u.Address, DataCentre: u.DataCentre, Slots: cmp.Or(s.Slots, slotsPerInstance), AssumedSlots: s.Slots == 0})
			}
		}
	}
	return out
}

// countUpstreams returns the number of distinct engines and service instances. One instance may belong to
// several services.
func countUpstreams(engines map[string]upstream, services []dispatcher.Instance) int {
	others := map[string]bool{}
	for _, i := range services {
		if _, ok := engines[i.ID]; !ok {
			others[i.ID] = true
		}
	}
	return len(engines) + len(others)
}

// tunnelUpstreams returns the addresses of engines and service instances, each once.
func tunnelUpstreams(engines map[string]upstream, services []dispatcher.Instance) []tunneler.Upstream {
	var out []tunneler.Upstream
	isKnown := map[netip.AddrPort]bool{}
	add := func(address netip.AddrPort, dataCentre string) {
		if !isKnown[address] {
			isKnown[address] = true
			out = append(out, tunneler.Upstream{Address: address, DataCentre: dataCentre})
		}
	}
	for _, e := range engines {
		add(e.Address, e.DataCentre)
	}
	for _, i := range services {
		add(i.Address, i.DataCentre)
	}
	return out
}

// updateKeepers makes this entry the keeper of the engines assigned to it and of no others. A new keeper
// grants nothing until its engine has reported its holds.
func (c *control) updateKeepers(v *view) {
	for name := range c.keepers {
		if u, ok := v.engines[name]; !ok || u.Keeper != c.server.settings.Name {
			delete(c.keepers, name)
			delete(c.lastSteps, name)
			c.planner.Forget(name)
			c.server.logs.keep.Info("keep_ends", zap.String("engine", name), zap.String("keeper", v.engines[name].Keeper))
		}
	}
	for name, u := range v.engines {
		if u.Keeper != c.server.settings.Name {
			continue
		}
		e, _ := v.accepted.Engine(name)
		config := c.server.keeperConfig(name, e.MemoryTokens, e.PrefillRate)
		if k, ok := c.keepers[name]; ok {
			k.Configure(config)
			continue
		}
		c.keepers[name] = keeper.New(config)
		c.server.logs.keep.Info("keep_begins", zap.String("engine", name), zap.String("data_centre", u.DataCentre))
	}
}

// grantTTL is the time for which the memory of a grant is subtracted from an engine's free memory while the
// engine lists no hold for it. It is longer than the lag of the engine's load reports, which include the
// attempt's memory afterwards.
const grantTTL = 2 * time.Second

func (s *Server) keeperConfig(engine string, memory, rate int) keeper.Config {
	t := s.settings.Timing
	return keeper.Config{Engine: engine, Lease: t.Lease, GrantTTL: grantTTL, MemoryTokens: memory, PrefillRate: rate}
}
