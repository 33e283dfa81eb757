package slots

import (
	"maps"
	"slices"
	"strings"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/tree"
)

const leasePrefix = "slots/"

// LeaseName returns the name of the lease to keep a service in a zone.
func LeaseName(zone, service string) string {
	return leasePrefix + zone + "/" + service
}

// ParseLease parses the name of a lease; ok is false for leases of other tasks.
func ParseLease(name string) (zone, service string, ok bool) {
	rest, found := strings.CutPrefix(name, leasePrefix)
	if !found {
		return "", "", false
	}
	zone, service, ok = strings.Cut(rest, "/")
	return zone, service, ok
}

// Node manages the slots of a host: its keepers and the slots that its requests hold.
// Its exported fields must be set before use.
type Node struct {
	Self        string
	Zone        string
	Incarnation uint64
	// Admit reports whether this host's share of the region's limits admits one more request of the service; nil
	// admits all.
	Admit func(now core.Millis, service string) bool
	// Informed reports whether this host knows which endpoints are leaving; nil means that it does.
	Informed func(now core.Millis) bool
	// Quarantined returns for how long a request must not be sent to endpoints; 0 means that it may be. Nil allows all.
	Quarantined func(now core.Millis, content crash.Digest) core.Millis
	// OnGrant and OnRefused pass the answer to an ask to the request that asked.
	OnGrant   func(now core.Millis, m *Grant, out *core.Effects)
	OnRefused func(now core.Millis, m *Refused, out *core.Effects)
	// Reserve returns how many slots of each endpoint stay reserved for the first candidate,
	// which may still use them while it is cut off.
	Reserve func(now core.Millis, zone, service string) int
	// KeeperOf returns the host that currently keeps a service in a zone, or the empty string.
	KeeperOf func(now core.Millis, zone, service string) string
	// Holds reports whether this host currently holds the lease.
	Holds func(now core.Millis, zone, service string) bool

	view            *tree.View
	keepers         map[string]*keeper
	order           []string
	lastNumber      uint64
	held            map[Token]*usedSlot
	pendingDones    map[Token]*pendingDone
	platformLeaving map[string]bool
	handovers       map[string][]HeldSlot
	pendingAsks     map[uint64]pendingAsk
	heldReports     map[string]heldReport
}

const doneResendInterval = 250 * core.Millisecond

// Start initializes the node.
func (n *Node) Start() {
	n.keepers = map[string]*keeper{}
	n.held = map[Token]*usedSlot{}
	n.pendingDones = map[Token]*pendingDone{}
	n.platformLeaving = map[string]bool{}
	n.handovers = map[string][]HeldSlot{}
	n.pendingAsks = map[uint64]pendingAsk{}
	n.heldReports = map[string]heldReport{}
}

// SetView applies a new version of the tree.
func (n *Node) SetView(now core.Millis, view *tree.View) {
	n.view = view
	for _, service := range view.Services {
		name := LeaseName(n.Zone, service)
		if n.keepers[name] == nil {
			n.keepers[name] = newKeeper(n, n.Zone, service)
		}
		if s := view.Service(n.Zone, service); s != nil {
			n.keepers[name].setSettings(now, s)
		}
	}
	n.order = slices.Sorted(maps.Keys(n.keepers))
}

// SetLeaving sets the platform's list of leaving endpoints, which get no new requests.
func (n *Node) SetLeaving(leaving map[string]bool) {
	n.platformLeaving = leaving
}

// IsLeaving reports whether the platform lists the endpoint as leaving.
func (n *Node) IsLeaving(endpoint string) bool {
	return n.platformLeaving[endpoint]
}

func (n *Node) hosts() []string {
	if n.view == nil {
		return nil
	}
	return n.view.HostNames()
}

// StartKeeper starts the keeper that the lease names.
func (n *Node) StartKeeper(now core.Millis, lease string, out *core.Effects) {
	k := n.keepers[lease]
	if k == nil || k.settings == nil {
		return
	}
	handed, known := n.handovers[lease]
	delete(n.handovers, lease)
	k.start(now, known)
	k.adopt(now, "", handed)
	out.Logf("slots", "Started the slot keeper of service %s in zone %s.", k.service, k.zone)
	k.askWho(now, out)
}

// StopKeeper stops the keeper that the lease names; with keepReserved it still grants the reserved slots.
func (n *Node) StopKeeper(now core.Millis, lease string, keepReserved bool, out *core.Effects) {
	k := n.keepers[lease]
	if k == nil || !k.active {
		return
	}
	k.stop(now, keepReserved, out)
	out.Logf("slots", "Stopped the slot keeper of service %s in zone %s.", k.service, k.zone)
}

// HandOver stops a keeper and sends its slots in use to the next one.
func (n *Node) HandOver(now core.Millis, lease, to string, out *core.Effects) {
	k := n.keepers[lease]
	if k == nil {
		return
	}
	message := &Handover{Zone: k.zone, Service: k.service, Slots: k.heldSlots(now)}
	k.stop(now, false, out)
	k.handedTo = to
	out.Send(to, message)
}

// EachKeeper calls each for every active keeper, with its free slots and queued asks.
func (n *Node) EachKeeper(now core.Millis, each func(service string, free, waiting int)) {
	for _, name := range n.order {
		if k := n.keepers[name]; k.active {
			each(k.service, k.free(now), k.queue.Len())
		}
	}
}

func (n *Node) admit(now core.Millis, service string) bool {
	return n.Admit == nil || n.Admit(now, service)
}

// Tick runs the timers of the keepers, resends Done messages and drops overdue slots.
func (n *Node) Tick(now core.Millis, out *core.Effects) {
	for _, name := range n.order {
		k := n.keepers[name]
		if k.settings == nil {
			continue
		}
		n.refreshReserve(now, k)
		k.tick(now, out)
	}
	for _, token := range slices.SortedFunc(maps.Keys(n.pendingDones), compareTokens) {
		n.resendDone(now, token, out)
	}
	for token, u := range n.held {
		if now >= u.until+tokenGrace {
			delete(n.held, token)
		}
	}
}

// refreshReserve updates the number of slots that stay reserved for the first candidate.
func (n *Node) refreshReserve(now core.Millis, k *keeper) {
	if n.Reserve != nil {
		k.reserve = n.Reserve(now, k.zone, k.service)
	}
}

// Receive handles one of the package's messages.
func (n *Node) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *Ask:
		n.onAsk(now, from, m, out)
	case *Withdraw:
		n.onWithdraw(now, from, m, out)
	case *Grant:
		n.onGrant(now, m, out)
	case *Refused:
		if m.Incarnation != n.Incarnation {
			return
		}
		delete(n.pendingAsks, m.Ask)
		n.OnRefused(now, m, out)
	case *Done:
		n.onDone(now, m, out)
		out.Send(from, &DoneAnswer{Token: m.Token})
	case *DoneAnswer:
		delete(n.pendingDones, m.Token)
	case *Who:
		n.heldReports[LeaseName(m.Zone, m.Service)] = heldReport{from, now}
		out.Send(from, &Held{Zone: m.Zone, Service: m.Service, Round: m.Round, Slots: n.heldFor(now, m.Zone, m.Service)})
	case *Held:
		if k := n.keepers[LeaseName(m.Zone, m.Service)]; k != nil && k.active {
			k.onHeld(now, from, m, out)
		}
	case *Handover:
		n.handovers[LeaseName(m.Zone, m.Service)] = m.Slots
	}
}

func (n *Node) onAsk(now core.Millis, from string, m *Ask, out *core.Effects) {
	k := n.keepers[LeaseName(m.Zone, m.Service)]
	if k == nil || k.settings == nil {
		n.reply(now, from, &Refused{Ask: m.Ask, Incarnation: m.Incarnation, Kind: core.NoUpstream, Moved: true, Zone: m.Zone, Service: m.Service}, out)
		return
	}
	k.onAsk(now, from, m, out)
}

func (n *Node) onWithdraw(now core.Millis, from string, m *Withdraw, out *core.Effects) {
	if k := n.keepers[LeaseName(m.Zone, m.Service)]; k != nil {
		k.withdraw(now, from, m, out)
	}
}

func (n *Node) onDone(now core.Millis, m *Done, out *core.Effects) {
	k := n.keepers[LeaseName(m.Zone, m.Service)]
	if k == nil {
		return
	}
	if k.handedTo != "" && k.slots[m.Token] != nil {
		out.Send(k.handedTo, m)
	}
	k.onDone(now, m, out)
}

// reply answers an ask: by a message, or by a direct call when this host asked.
func (n *Node) reply(now core.Millis, to string, message core.Message, out *core.Effects) {
	if to != n.Self {
		out.Send(to, message)
		return
	}
	n.Receive(now, to, message, out)
}

// RecordReport records an endpoint's load report; failed means that the endpoint did not answer.
func (n *Node) RecordReport(now core.Millis, address string, report core.Report, failed bool) {
	for _, name := range n.order {
		e := n.keepers[name].endpoints[address]
		if e == nil {
			continue
		}
		if failed {
			e.recordFailure(now)
			continue
		}
		e.recordReport(now, report)
	}
}

// PolledEndpoints returns the endpoints that this host must poll for load reports.
func (n *Node) PolledEndpoints() []string {
	var out []string
	for _, name := range n.order {
		k := n.keepers[name]
		if k.active && k.settings != nil {
			out = append(out, k.settings.Endpoints...)
		}
	}
	return out
}

// EndpointStatus is the state of one endpoint in dumps and operator requests.
type EndpointStatus struct {
	Service, Zone, Endpoint string
	InUse, Unknown, Slots   int
	Latency                 core.Millis
	Ejected, Leaving        bool
	Waiting                 int
}

// Status returns the state of the endpoints of all active keepers.
func (n *Node) Status(now core.Millis) []EndpointStatus {
	var out []EndpointStatus
	for _, name := range n.order {
		k := n.keepers[name]
		if !k.active || k.settings == nil {
			continue
		}
		for _, address := range k.settings.Endpoints {
			e := k.endpoints[address]
			out = append(out, EndpointStatus{
				Service: k.service, Zone: k.zone, Endpoint: address, InUse: e.inUse, Unknown: e.used(now) - e.inUse,
				Slots: k.settings.Slots, Latency: core.Millis(e.latency), Ejected: now < e.ejectedUntil,
				Leaving: k.leaving(address), Waiting: k.queue.Len(),
			})
		}
	}
	return out
}

// informed reports whether this host knows which endpoints are leaving.
func (n *Node) informed(now core.Millis) bool {
	return n.Informed == nil || n.Informed(now)
}

// quarantined returns for how long the request of an ask must not be sent to endpoints.
func (n *Node) quarantined(now core.Millis, ask *Ask) core.Millis {
	if n.Quarantined == nil {
		return 0
	}
	return n.Quarantined(now, ask.Content)
}
