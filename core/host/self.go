package host

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/crash"
	"clementinelock/core/ctrl"
	"clementinelock/core/ledger"
	"clementinelock/core/member"
	"clementinelock/core/plan"
	"clementinelock/core/relay"
	"clementinelock/core/route"
	"clementinelock/core/slots"
)

const (
	pollInterval          = 500 * core.Millisecond
	baseDirectoryInterval = 250 * core.Millisecond
	// zonesPerDirectoryInterval is how many zones lengthen the directory's interval by one baseDirectoryInterval.
	zonesPerDirectoryInterval = 12
	demandWindow              = core.Second
	operatorTimeout           = 8 * core.Second
	operatorRetryInterval     = 400 * core.Millisecond
)

// operatorRequest is an operator's request that this host has not answered yet.
type operatorRequest struct {
	ticket    uint64
	ask       ctrl.Request
	expiresAt core.Millis
	nextTryAt core.Millis
	tries     int
}

// demandMeter measures the demand that arrives at this host.
type demandMeter struct {
	measuredAt   core.Millis
	lastArrivals map[string]uint64
	// rates is not used.
	rates map[string]float64
	// serviceTimes and bits hold the mean service time in ms and the mean size of a request with its answer, by service.
	serviceTimes map[string]float64
	bits         map[string]float64
	current      []relay.FlowDemand
}

func (m *Machine) tickSelf(now core.Millis, out *core.Effects) {
	m.askFounding(now, out)
	m.tickOperators(now, out)
	m.tickStop(now, out)
	if now >= m.nextPollAt {
		m.nextPollAt = now + pollInterval
		for _, endpoint := range m.slots.PolledEndpoints() {
			out.Polls = append(out.Polls, core.Poll{Endpoint: endpoint})
		}
	}
	if m.view != nil && now >= m.nextDirectoryAt {
		m.nextDirectoryAt = now + m.directoryInterval()
		m.directory = m.router.Directory(now, m.relay.Plan())
	}
	m.measureDemand(now)
}

// directoryInterval returns the interval between builds of the directory.
// It is longer in a large deployment, whose directory takes longer to build.
func (m *Machine) directoryInterval() core.Millis {
	return baseDirectoryInterval * core.Millis(1+len(m.view.Zones)/zonesPerDirectoryInterval)
}

// Directory returns the directory that answers look-ups, or nil before a configuration arrives.
// A returned directory is never changed.
func (m *Machine) Directory() *route.Directory {
	return m.directory
}

// measureDemand converts the counts of arrivals to rates.
func (m *Machine) measureDemand(now core.Millis) {
	d := &m.demand
	if now-d.measuredAt < demandWindow {
		return
	}
	arrivals := m.dispatcher.Arrivals()
	if d.measuredAt != 0 {
		seconds := float64(now-d.measuredAt) / 1000
		d.current = nil
		for _, service := range m.services() {
			rate := float64(arrivals[service]-d.lastArrivals[service]) / seconds
			d.current = append(d.current, relay.FlowDemand{
				Flow: plan.Flow{Region: m.Region, Service: service}, Rate: rate,
				ServiceTime: core.Millis(d.serviceTimes[service]), Bits: d.bits[service],
			})
		}
	}
	d.measuredAt, d.lastArrivals = now, arrivals
}

func (m *Machine) services() []string {
	if m.view == nil {
		return nil
	}
	return m.view.Services
}

const meterSmoothing = 0.05

// chargeLink charges a finished attempt to the link that it used and updates the means of service time and size.
func (m *Machine) chargeLink(now core.Millis, attempt uint64, bits int64, e call.End) {
	zone, service, ok := m.dispatcher.AttemptTarget(attempt)
	if !ok {
		return
	}
	d := &m.demand
	if d.serviceTimes == nil {
		d.serviceTimes, d.bits = map[string]float64{}, map[string]float64{}
	}
	if e.Ending == call.Whole && zone == m.Zone {
		updateMean(d.serviceTimes, service, float64(e.Latency))
		updateMean(d.bits, service, float64(bits))
	}
	if region := m.view.RegionOf(zone); region != m.Region {
		m.grants.Charge(now, linkResource(region), max(0, float64(bits)-linkReservationBits))
	}
}

func updateMean(means map[string]float64, key string, value float64) {
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

// RequestControl sends an operator's request to the control hosts; the reply carries the same ticket.
func (m *Machine) RequestControl(now core.Millis, ticket uint64, ask ctrl.Request) core.Effects {
	return m.step(now, func(out *core.Effects) {
		m.lastTicket++
		ask.Origin, ask.Ticket = m.Self, m.lastTicket
		m.operatorRequests[m.lastTicket] = operatorRequest{ticket: ticket, ask: ask, expiresAt: now + operatorTimeout, nextTryAt: now}
		m.tickOperators(now, out)
	})
}

// tickOperators sends open requests to the control hosts in turn until one answers.
// Repeating an edit is safe, since the control hosts keep the outcome under its id.
func (m *Machine) tickOperators(now core.Millis, out *core.Effects) {
	for number, o := range m.operatorRequests {
		if now >= o.expiresAt {
			delete(m.operatorRequests, number)
			out.Reply(o.ticket, core.Refuse(core.NoLeader, core.RanUnknown, "no control leader answered within %s", operatorTimeout), nil)
			continue
		}
		if now < o.nextTryAt || len(m.ControlHosts) == 0 {
			continue
		}
		o.nextTryAt = now + operatorRetryInterval
		target := m.controlTarget(o.tries)
		o.tries++
		m.operatorRequests[number] = o
		ask := o.ask
		if target != m.Self {
			out.Send(target, &ask)
			continue
		}
		m.ctrl.OnRequest(now, m.Self, &ask, out)
	}
}

// controlTarget returns the known leader for the first try, then the control hosts in turn.
func (m *Machine) controlTarget(tries int) string {
	if leader := m.leader(); leader != "" && tries == 0 {
		return leader
	}
	if tries == 0 && m.isControl() {
		return m.Self
	}
	return m.ControlHosts[(tries+len(m.Self))%len(m.ControlHosts)]
}

// deliver answers an operator's request that was made at this host.
// A NoLeader refusal is retried until the request expires.
func (m *Machine) deliver(now core.Millis, a *ctrl.Response, out *core.Effects) {
	o, ok := m.operatorRequests[a.Ticket]
	if !ok {
		return
	}
	if a.Refusal != nil && a.Refusal.Kind == core.NoLeader && now < o.expiresAt {
		return
	}
	delete(m.operatorRequests, a.Ticket)
	out.Reply(o.ticket, a.Refusal, &a.Body)
}

// IssueKey returns a new idempotency key whose home is this host's region.
func (m *Machine) IssueKey(now core.Millis) string {
	return ledger.Issue(m.Region, now, m.Rand.Uint64())
}

// Ready reports whether this host accepts requests, and the reason if not.
func (m *Machine) Ready() (ready bool, reason string) {
	switch {
	case m.view == nil:
		return false, "has no configuration yet"
	case m.stopping.active:
		return false, "is stopping"
	}
	return true, ""
}

// Dump is the state of the process in a form for operators.
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
	Quarantined []crash.QuarantineDump
}

// Dump returns the state of the process.
func (m *Machine) Dump(now core.Millis) Dump {
	d := Dump{
		Host: m.Self, Region: m.Region, Zone: m.Zone, Incarnation: m.Incarnation,
		Version: m.relay.Version(), Confirmed: m.relay.Confirmed(), Stopping: m.stopping.active,
		Leases: m.leases.Held(now), SlotsInUse: m.slots.InUse(), Ledger: m.replica.Status(), Unsettled: m.ledger.Unsettled(),
		Limits: m.grants.Status(now), Calls: m.dispatcher.Totals(), OpenCalls: m.dispatcher.OpenCalls(), Plan: m.relay.Plan(),
		InForce: m.relay.InForce(now), Demand: m.relay.Demand(now), Quarantined: crash.Dump(now, m.crashes.Held()),
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

// stop is the state of a planned stop.
type stop struct {
	active   bool
	since    core.Millis
	refusing bool
	done     bool
}

func (s *stop) refuses() bool {
	return s.refusing
}

// Stop begins a planned stop: look-ups no longer return this host and its leases are handed over.
// The stop is done once look-ups answered earlier have expired and no request is in flight.
func (m *Machine) Stop(now core.Millis) core.Effects {
	return m.step(now, func(out *core.Effects) {
		if m.stopping.active {
			return
		}
		m.stopping = stop{active: true, since: now}
		m.members.Leave()
		m.leases.Stop()
		m.nextDirectoryAt = 0
		if m.quorum != nil {
			m.quorum.Transfer(now, out)
		}
		out.Logf("host", "Planned stop began: look-ups no longer return this host.")
	})
}

// Stopped reports whether a planned stop is done, and the number of open calls.
func (m *Machine) Stopped() (done bool, open int) {
	return m.stopping.done, m.dispatcher.OpenCalls()
}

const handoverDelay = 500 * core.Millisecond

func (m *Machine) tickStop(now core.Millis, out *core.Effects) {
	s := &m.stopping
	if !s.active || s.done {
		return
	}
	if now-s.since >= handoverDelay {
		m.handOverAll(now, out)
	}
	if m.view != nil && now-s.since < m.maxLookupTimeToLive()+m.directoryInterval() {
		return
	}
	s.refusing = true
	s.done = m.dispatcher.OpenCalls() == 0 && m.ledger.Unsettled() == 0 && m.slots.PendingDones() == 0
}

func (m *Machine) handOverAll(now core.Millis, out *core.Effects) {
	for _, name := range m.leases.Held(now) {
		if zone, service, ok := slots.ParseLease(name); ok {
			for _, host := range keeperCandidates(m.view, zone, service) {
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

// maxLookupTimeToLive returns how long callers may keep using look-ups that were answered before the stop.
func (m *Machine) maxLookupTimeToLive() core.Millis {
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

// Peers returns the peer address of each host in the tree in force, by host name.
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

// HasService reports whether the tree in force contains the service.
func (m *Machine) HasService(service string) bool {
	return m.view != nil && slices.Contains(m.view.Services, service)
}

// Versions holds the configuration versions that a host has in force and has confirmed.
type Versions struct {
	InForce, Confirmed uint64
}

// Versions returns the versions in force and confirmed.
func (m *Machine) Versions() Versions {
	return Versions{m.relay.Version(), m.relay.Confirmed()}
}

// IsLeader reports whether this host's control replica believes that it is the leader.
func (m *Machine) IsLeader() bool {
	return m.quorum != nil && m.quorum.IsLeader()
}
