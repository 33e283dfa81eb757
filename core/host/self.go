package host

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/ctrl"
	"clementinelock/core/ledger"
	"clementinelock/core/member"
	"clementinelock/core/plan"
	"clementinelock/core/relay"
	"clementinelock/core/route"
	"clementinelock/core/slots"
)

const (
	pollEvery      = 500 * core.Millisecond
	directoryEvery = 250 * core.Millisecond
	// largeDeployment is the number of zones from which the look-ups' table is made less often.
	largeDeployment = 12
	demandWindow    = core.Second
	operatorWait    = 8 * core.Second
	operatorAgain   = 400 * core.Millisecond
)

// operator is a question that was asked at this host.
type operator struct {
	ticket uint64
	ask    ctrl.Request
	till   core.Millis
	again  core.Millis
	tries  int
}

// demandMeter measures what this host is asked for.
type demandMeter struct {
	at      core.Millis
	last    map[string]uint64
	rates   map[string]float64
	times   map[string]float64
	bits    map[string]float64
	current []relay.FlowDemand
}

func (m *Machine) tickSelf(now core.Millis, out *core.Effects) {
	m.askFounding(now, out)
	m.tickOperators(now, out)
	m.tickStop(now, out)
	if now >= m.pollAt {
		m.pollAt = now + pollEvery
		for _, endpoint := range m.slots.PolledEndpoints() {
			out.Polls = append(out.Polls, core.Poll{Endpoint: endpoint})
		}
	}
	if m.view != nil && now >= m.dirAt {
		m.dirAt = now + m.directoryEvery()
		m.directory = m.router.Directory(now, m.relay.Plan())
	}
	m.measure(now)
}

// directoryEvery is longer in a large deployment, whose table takes longer to make.
func (m *Machine) directoryEvery() core.Millis {
	return directoryEvery * core.Millis(1+len(m.view.Zones)/largeDeployment)
}

// Directory returns the look-ups' table, or nil before there is a configuration; it is never changed once returned.
func (m *Machine) Directory() *route.Directory {
	return m.directory
}

// measure turns the count of arrivals into rates.
func (m *Machine) measure(now core.Millis) {
	d := &m.demand
	if now-d.at < demandWindow {
		return
	}
	arrivals := m.desk.Arrivals()
	if d.at != 0 {
		seconds := float64(now-d.at) / 1000
		d.current = nil
		for _, service := range m.services() {
			rate := float64(arrivals[service]-d.last[service]) / seconds
			d.current = append(d.current, relay.FlowDemand{
				Flow: plan.Flow{Region: m.Region, Service: service}, Rate: rate,
				ServiceTime: core.Millis(d.times[service]), Bits: d.bits[service],
			})
		}
	}
	d.at, d.last = now, arrivals
}

func (m *Machine) services() []string {
	if m.view == nil {
		return nil
	}
	return m.view.Services
}

const meterSmoothing = 0.05

// chargeLink charges a finished attempt to the link that it went over, and learns times and sizes.
func (m *Machine) chargeLink(now core.Millis, attempt uint64, bits int64, e call.End) {
	zone, service, ok := m.desk.PlaceOf(attempt)
	if !ok {
		return
	}
	d := &m.demand
	if d.times == nil {
		d.times, d.bits = map[string]float64{}, map[string]float64{}
	}
	if e.Ending == call.Whole && zone == m.Zone {
		learn(d.times, service, float64(e.Latency))
		learn(d.bits, service, float64(bits))
	}
	if region := m.view.RegionOf(zone); region != m.Region {
		m.grants.Charge(now, linkResource(region), max(0, float64(bits)-crossBits))
	}
}

func learn(means map[string]float64, key string, value float64) {
	old, known := means[key]
	if !known {
		means[key] = value
		return
	}
	means[key] = old + meterSmoothing*(value-old)
}

func (m *Machine) ownDemand(core.Millis) []relay.FlowDemand {
	return m.demand.current
}

// Operator takes a question; its answer comes as a reply with the same ticket.
func (m *Machine) Operator(now core.Millis, ticket uint64, ask ctrl.Request) core.Effects {
	return m.step(now, func(out *core.Effects) {
		m.tickets++
		ask.Origin, ask.Ticket = m.Self, m.tickets
		m.operators[m.tickets] = operator{ticket: ticket, ask: ask, till: now + operatorWait, again: now}
		m.tickOperators(now, out)
	})
}

// tickOperators asks control hosts in turn until one answers; an edit is the same at each, since its id keeps its outcome.
func (m *Machine) tickOperators(now core.Millis, out *core.Effects) {
	for number, o := range m.operators {
		if now >= o.till {
			delete(m.operators, number)
			out.Reply(o.ticket, core.Refuse(core.NoLeader, core.RanUnknown, "no control leader answered within %s", operatorWait), nil)
			continue
		}
		if now < o.again || len(m.ControlHosts) == 0 {
			continue
		}
		o.again = now + operatorAgain
		target := m.controlTarget(o.tries)
		o.tries++
		m.operators[number] = o
		ask := o.ask
		if target != m.Self {
			out.Send(target, &ask)
			continue
		}
		m.ctrl.OnRequest(now, m.Self, &ask, out)
	}
}

// controlTarget takes the known leader first, then the control hosts in turn.
func (m *Machine) controlTarget(tries int) string {
	if leader := m.leader(); leader != "" && tries == 0 {
		return leader
	}
	if tries == 0 && m.isControl() {
		return m.Self
	}
	return m.ControlHosts[(tries+len(m.Self))%len(m.ControlHosts)]
}

// deliver answers the operator who asked here; a lack of a leader is asked again until the time is over.
func (m *Machine) deliver(now core.Millis, a *ctrl.Response, out *core.Effects) {
	o, ok := m.operators[a.Ticket]
	if !ok {
		return
	}
	if a.Refusal != nil && a.Refusal.Kind == core.NoLeader && now < o.till {
		return
	}
	delete(m.operators, a.Ticket)
	out.Reply(o.ticket, a.Refusal, &a.Body)
}

// IssueKey makes an idempotency key whose home is this host's region.
func (m *Machine) IssueKey(now core.Millis) string {
	return ledger.Issue(m.Region, now, m.Rand.Uint64())
}

// Ready tells whether this host takes requests, and why not.
func (m *Machine) Ready() (ready bool, reason string) {
	switch {
	case m.view == nil:
		return false, "has no configuration yet"
	case m.stopping.active:
		return false, "is stopping"
	}
	return true, ""
}

// Dump is the process's whole state for people.
type Dump struct {
	Host        string
	Region      string
	Zone        string
	Incarnation uint64
	Version     uint64
	Confirmed   uint64
	Stopping    bool
	Leases      []string
	Endpoints   []slots.EndpointStatus
	SlotsInUse  int
	Ledger      ledger.Status
	Unsettled   int
	Limits      any
	Calls       call.Counts
	OpenCalls   int
	Quorum      any
	Plan        *plan.Plan
	Members     []member.Entry
	Zones       []member.Report
	InForce     []relay.Confirmation
	Demand      []relay.FlowDemand
}

// Dump returns the process's state.
func (m *Machine) Dump(now core.Millis) Dump {
	d := Dump{
		Host: m.Self, Region: m.Region, Zone: m.Zone, Incarnation: m.Incarnation,
		Version: m.relay.Version(), Confirmed: m.relay.Confirmed(), Stopping: m.stopping.active,
		Leases: m.leases.Held(now), SlotsInUse: m.slots.InUse(), Ledger: m.replica.Status(), Unsettled: m.ledger.Unsettled(),
		Limits: m.grants.Status(now), Calls: m.desk.Totals(), OpenCalls: m.desk.Open(), Plan: m.relay.Plan(),
		InForce: m.relay.InForce(now), Demand: m.relay.Demand(now),
	}
	if m.view != nil {
		d.Endpoints = m.slots.Status(now)
	}
	d.Members, d.Zones = m.members.Snapshot(now)
	if m.quorum != nil {
		d.Quorum = m.quorum.Report(now)
	}
	return d
}

// stop is a planned stop under way.
type stop struct {
	active   bool
	since    core.Millis
	refusing bool
	done     bool
}

func (s *stop) refuses() bool {
	return s.refusing
}

// Stop begins a planned stop: look-ups no longer name this host, its tasks are handed over, and it ends once what callers keep has run out and nothing is in flight.
func (m *Machine) Stop(now core.Millis) core.Effects {
	return m.step(now, func(out *core.Effects) {
		if m.stopping.active {
			return
		}
		m.stopping = stop{active: true, since: now}
		m.members.Leave()
		m.leases.Stop()
		m.dirAt = 0
		if m.quorum != nil {
			m.quorum.Transfer(now, out)
		}
		out.Logf("host", "Stops: refuses look-ups to itself.")
	})
}

// Stopped tells whether a planned stop is done, or how many calls are still under way.
func (m *Machine) Stopped() (done bool, open int) {
	return m.stopping.done, m.desk.Open()
}

const handOverAfter = 500 * core.Millisecond

func (m *Machine) tickStop(now core.Millis, out *core.Effects) {
	s := &m.stopping
	if !s.active || s.done {
		return
	}
	if now-s.since >= handOverAfter {
		m.handOverAll(now, out)
	}
	if m.view != nil && now-s.since < m.longestTimeToLive()+m.directoryEvery() {
		return
	}
	s.refusing = true
	s.done = m.desk.Open() == 0 && m.ledger.Unsettled() == 0 && m.slots.PendingDones() == 0
}

func (m *Machine) handOverAll(now core.Millis, out *core.Effects) {
	for _, name := range m.leases.Held(now) {
		if zone, service, ok := slots.ParseLease(name); ok {
			for _, host := range keepers(m.view, zone, service) {
				if host != m.Self && m.members.Liveness(now, host) == core.Alive {
					m.slots.HandOver(now, name, host, out)
					m.leases.Release(now, name, out)
					break
				}
			}
			continue
		}
		m.leases.Release(now, name, out)
	}
}

// longestTimeToLive is how long callers may go on coming by look-ups that were answered before the stop.
func (m *Machine) longestTimeToLive() core.Millis {
	if m.view == nil {
		return 0
	}
	longest := core.Millis(0)
	for _, zone := range m.view.Zones {
		for _, service := range m.view.Services {
			longest = max(longest, m.view.Service(zone.Name, service).LookupTimeToLive)
		}
	}
	return longest
}

// Peers lists the hosts that this host may talk to with their addresses, from the tree in force.
func (m *Machine) Peers() map[string]string {
	peers := map[string]string{}
	if m.view == nil {
		return peers
	}
	for _, name := range m.view.HostNames() {
		place, _ := m.view.Host(name)
		peers[name] = place.PeerAddress
	}
	return peers
}

// HasService tells whether the tree in force names the service.
func (m *Machine) HasService(service string) bool {
	return m.view != nil && slices.Contains(m.view.Services, service)
}

// Versions is what a host has in force and what it has confirmed.
type Versions struct {
	InForce, Confirmed uint64
}

// Versions returns the versions in force and confirmed.
func (m *Machine) Versions() Versions {
	return Versions{m.relay.Version(), m.relay.Confirmed()}
}

// Leads tells whether this host's control replica believes that it leads.
func (m *Machine) Leads() bool {
	return m.quorum != nil && m.quorum.IsLeader()
}
