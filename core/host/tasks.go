package host

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/ctrl"
	"clementinelock/core/edits"
	"clementinelock/core/grant"
	"clementinelock/core/lease"
	"clementinelock/core/ledger"
	"clementinelock/core/member"
	"clementinelock/core/slots"
	"clementinelock/core/tree"
)

const (
	regionLease       = "region/"
	maxVoters         = 5
	maxLedgerReplicas = 5
	// linkReservationBits is reserved on a link before a request is sent over it; what the attempt uses beyond it is
	// charged when the attempt ends.
	linkReservationBits = 8 * 4096
	foundingAskInterval = core.Second
)

func linkResource(region string) string {
	return "link/" + region
}

const regionResource = "region"

// onTree applies a version that comes into force.
func (m *Machine) onTree(now core.Millis, view *tree.View, out *core.Effects) {
	core.Assert(m.view == nil || view.Version > m.view.Version, "configuration version went back from %d to %d", versionOf(m.view), view.Version)
	m.view = view
	m.members.SetView(view)
	m.members.TriggerHeartbeat()
	m.slots.SetView(now, view)
	m.router.SetView(view)
	m.dispatcher.SetView(view)
	m.leases.SetDefinitions(now, m.definitions(view), out)
	m.grants.SetLimits(m.limits(view), len(view.RegionHosts(m.Region)))
	m.replica.SetReplicas(now, m.ledgerReplicas(m.Region))
	for _, region := range view.Regions {
		if region.Name == m.Region {
			m.replica.LimitBytes, m.replica.Retention = region.Settings.LedgerBytes, region.Settings.KeyRetention
		}
	}
	m.nextDirectoryAt = 0
	out.Logf("relay", "Version %d is in force.", view.Version)
}

func versionOf(view *tree.View) uint64 {
	if view == nil {
		return 0
	}
	return view.Version
}

// definitions returns the leases of this host's region; every host of the region gets the same list.
func (m *Machine) definitions(view *tree.View) []lease.Definition {
	var defs []lease.Definition
	for _, zone := range view.Zones {
		if zone.Region != m.Region {
			continue
		}
		for _, service := range view.Services {
			if s := view.Service(zone.Name, service); len(s.Endpoints) > 0 {
				defs = append(defs, zoneLease(view, zone, service))
			}
		}
	}
	hosts := view.RegionHosts(m.Region)
	return append(defs, lease.Definition{Name: regionLease + m.Region, Candidates: hosts, Voters: oddVoters(hosts, nil)})
}

// zoneLease defines the lease of the keeper of one service in one zone.
// Its voters are hosts of the zone. If their number is even, one host of the region's other zones is added,
// so that a zone of two hosts can still elect a keeper after losing one.
func zoneLease(view *tree.View, zone tree.Zone, service string) lease.Definition {
	candidates := keeperCandidates(view, zone.Name, service)
	var others []string
	for _, host := range view.RegionHosts(zone.Region) {
		if !slices.Contains(candidates, host) {
			others = append(others, host)
		}
	}
	return lease.Definition{
		Name: slots.LeaseName(zone.Name, service), Candidates: candidates, Voters: oddVoters(candidates, others),
	}
}

// oddVoters returns an odd number of voters if possible.
// To an even number of hosts it adds the first witness; without a witness it drops one host if more than two remain.
func oddVoters(hosts, witnesses []string) []string {
	voters := slices.Clone(hosts[:min(len(hosts), maxVoters)])
	if len(voters)%2 == 1 || len(voters) == 0 {
		return voters
	}
	if len(witnesses) > 0 {
		return append(voters, witnesses[0])
	}
	if len(voters) > 2 {
		return voters[:len(voters)-1]
	}
	return voters
}

// keeperCandidates returns the hosts of a zone in order of preference as keeper of a service.
// The order starts at a different host for each service, to spread the keepers over the hosts.
func keeperCandidates(view *tree.View, zone, service string) []string {
	hosts := view.ZoneHosts(zone)
	if len(hosts) == 0 {
		return nil
	}
	start := max(0, slices.Index(view.Services, service)) % len(hosts)
	return append(slices.Clone(hosts[start:]), hosts[:start]...)
}

func (m *Machine) limits(view *tree.View) []grant.Limit {
	var limits []grant.Limit
	for _, region := range view.Regions {
		if region.Name == m.Region {
			limits = append(limits, grant.Limit{Resource: regionResource, Rate: region.Settings.RegionCapacity})
			continue
		}
		limits = append(limits, grant.Limit{Resource: linkResource(region.Name), Rate: m.linkLimit(view, region.Name)})
	}
	return limits
}

func (m *Machine) linkLimit(view *tree.View, to string) float64 {
	limit := 0.0
	for _, region := range view.Regions {
		if region.Name == m.Region || region.Name == to {
			rate := float64(region.Settings.LinkCapacity)
			if limit == 0 || rate < limit {
				limit = rate
			}
		}
	}
	return limit
}

func (m *Machine) onGain(now core.Millis, name string, out *core.Effects) {
	if zone, service, ok := slots.ParseLease(name); ok {
		m.recordReserve(now, name, zone, service)
		m.slots.StartKeeper(now, name, out)
	} else {
		m.grants.Gain(now)
	}
	m.members.TriggerHeartbeat()
}

func (m *Machine) onLose(now core.Millis, name string, out *core.Effects) {
	zone, service, ok := slots.ParseLease(name)
	if !ok {
		m.grants.Lose()
		return
	}
	keepReserved := m.isPreferredKeeper(zone, service) && !m.stopping.active && len(m.view.ZoneHosts(zone)) > 1
	m.slots.StopKeeper(now, name, keepReserved, out)
	m.members.TriggerHeartbeat()
}

func (m *Machine) isPreferredKeeper(zone, service string) bool {
	hosts := keeperCandidates(m.view, zone, service)
	return len(hosts) > 0 && hosts[0] == m.Self
}

// onHandBack returns a lease to its preferred host.
func (m *Machine) onHandBack(now core.Millis, name, to string, out *core.Effects) {
	if _, _, ok := slots.ParseLease(name); ok {
		m.slots.HandOver(now, name, to, out)
	}
	m.leases.Release(now, name, out)
	m.members.TriggerHeartbeat()
}

// reserve returns the number of slots per endpoint to leave to the preferred keeper.
// It is 1 while that host may be partitioned and still use a slot, until its process has ended or is leaving.
func (m *Machine) reserve(now core.Millis, zone, service string) int {
	incarnation, kept := m.reserved[slots.LeaseName(zone, service)]
	if !kept {
		return 0
	}
	first := keeperCandidates(m.view, zone, service)[0]
	if m.members.IncarnationOf(first) != incarnation || m.members.Liveness(now, first) == core.Leaving {
		return 0
	}
	return 1
}

// recordReserve stores the incarnation of the preferred keeper if that is another host and has not announced that it is
// leaving.
func (m *Machine) recordReserve(now core.Millis, name, zone, service string) {
	delete(m.reserved, name)
	hosts := keeperCandidates(m.view, zone, service)
	if len(hosts) > 1 && hosts[0] != m.Self && m.members.Liveness(now, hosts[0]) != core.Leaving {
		m.reserved[name] = m.members.IncarnationOf(hosts[0])
	}
}

func (m *Machine) divider(now core.Millis) string {
	if m.view == nil {
		return ""
	}
	if m.grants.Dividing() && m.leases.Holds(now, regionLease+m.Region) {
		return m.Self
	}
	for _, region := range m.view.Regions {
		if region.Name == m.Region {
			return m.members.RegionKeeper(now, region.Zones)
		}
	}
	return ""
}

// classHeadroom is the part of a limit's token bucket that each class leaves to more urgent classes.
var classHeadroom = map[tree.Class]float64{tree.High: 0, tree.Normal: 0.25, tree.Low: 0.5}

// admit reports whether the region's limit allows one more request now, and charges it to the limit.
func (m *Machine) admit(now core.Millis, service string) bool {
	return m.grants.Take(now, regionResource, 1, classHeadroom[m.classOf(service)])
}

func (m *Machine) classOf(service string) tree.Class {
	if s := m.view.Service(m.Zone, service); s != nil {
		return s.Class
	}
	return tree.Low
}

// admitToLink reports whether the limit of the link to a region allows one more request now, and charges
// linkReservationBits to it.
func (m *Machine) admitToLink(now core.Millis, region, service string) bool {
	return m.grants.Take(now, linkResource(region), linkReservationBits, classHeadroom[m.classOf(service)])
}

// ledgerReplicas returns the hosts that store a region's ledger.
func (m *Machine) ledgerReplicas(region string) []string {
	if m.view == nil {
		return nil
	}
	hosts := m.view.RegionHosts(region)
	return hosts[:min(len(hosts), maxLedgerReplicas)]
}

// processEnded reports whether the process that a ledger token names has ended.
func (m *Machine) processEnded(now core.Millis, token ledger.Token) bool {
	if token.Host == m.Self {
		return token.Incarnation != m.Incarnation
	}
	if newest := m.members.IncarnationOf(token.Host); newest > token.Incarnation {
		return true
	}
	return m.members.Liveness(now, token.Host) == core.Dead
}

func (m *Machine) onFounding(f edits.Founding) {
	if f.Region == m.Region && f.Replicas[m.Self] == m.Incarnation {
		m.replica.Bootstrap()
	}
}

// askFounding asks the control hosts whether this region's ledger was ever created.
func (m *Machine) askFounding(now core.Millis, out *core.Effects) {
	if m.view == nil || m.replica.Recovered() || now < m.nextFoundingAskAt || !slices.Contains(m.ledgerReplicas(m.Region), m.Self) {
		return
	}
	m.nextFoundingAskAt = now + foundingAskInterval
	ask := &ctrl.FoundingRequest{Region: m.Region, Replicas: m.ledgerReplicas(m.Region), Incarnation: m.Incarnation}
	for _, host := range m.ControlHosts {
		if host != m.Self {
			out.Send(host, ask)
			continue
		}
		m.ctrl.Receive(now, m.Self, ask, out)
	}
}

// ownEntry fills in this host's own membership entry.
func (m *Machine) ownEntry(now core.Millis, e *member.Entry) {
	e.Version, e.Confirmed = m.relay.Version(), m.relay.Confirmed()
	e.KeepsRegion = m.grants.Dividing() && m.leases.Holds(now, regionLease+m.Region)
	m.slots.EachKeeper(now, func(service string, free, waiting int) {
		e.KeptServices = append(e.KeptServices, member.KeptService{Service: service, Free: free, Waiting: waiting})
	})
}

func (m *Machine) onNotices(_ core.Millis, leaving map[string]bool, out *core.Effects) {
	m.slots.SetLeaving(leaving)
	out.Logf("slots", "Platform list marks %d endpoints as leaving.", len(leaving))
}
