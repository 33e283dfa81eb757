package host

import (
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/crash"
	"clementinelock/core/ctrl"
	"clementinelock/core/edits"
	"clementinelock/core/grant"
	"clementinelock/core/lease"
	"clementinelock/core/ledger"
	"clementinelock/core/member"
	"clementinelock/core/plan"
	"clementinelock/core/quorum"
	"clementinelock/core/relay"
	"clementinelock/core/route"
	"clementinelock/core/slots"
	"clementinelock/core/tree"
)

// TickInterval is the interval at which the driver calls Tick.
const TickInterval = 10 * core.Millisecond

// Machine is the state machine of one process.
// Set the exported fields before Start; it is not safe for concurrent use.
type Machine struct {
	Self   string
	Region string
	Zone   string
	// Incarnation is greater than that of every earlier process of this host, such as its start time in ms.
	Incarnation uint64
	Rand        *rand.Rand
	// ControlHosts lists the hosts with the control role; only these have a disk.
	ControlHosts []string
	// Seeds lists, by availability zone, the hosts that are known before a configuration arrives.
	Seeds map[string][]string

	members    *member.Table
	relay      *relay.Node
	leases     *lease.Node
	slots      *slots.Node
	replica    *ledger.Replica
	ledger     *ledger.Client
	grants     *grant.Node
	router     *route.Router
	dispatcher *call.Dispatcher
	crashes    *crash.Node
	quorum     *quorum.Replica
	store      *edits.Store
	ctrl       *ctrl.Node

	view *tree.View
	// links holds what other users take of each link, in bits per second.
	links             map[plan.Link]float64
	directory         *route.Directory
	nextDirectoryAt   core.Millis
	nextPollAt        core.Millis
	nextFoundingAskAt core.Millis
	operatorRequests  map[uint64]operatorRequest
	lastTicket        uint64
	stopping          stop
	demand            demandMeter
	// accepted holds the versions that the replicated log has accepted and afterStep has not handled yet.
	accepted []edits.Version
	// reserved holds, by lease, the incarnation of the preferred keeper for which slots are reserved.
	reserved map[string]uint64
}

// Start starts the process from the content of its disk; a host without a disk passes an empty Stored.
// It returns an error if the stored state can't be read.
func (m *Machine) Start(now core.Millis, stored core.Stored) (core.Effects, error) {
	out := &core.Effects{}
	m.operatorRequests = map[uint64]operatorRequest{}
	m.lastTicket = m.Incarnation
	m.links = map[plan.Link]float64{}
	m.reserved = map[string]uint64{}
	m.buildMembers(now)
	m.buildLeases(now)
	m.buildCalls(now)
	if !m.isControl() {
		return *out, nil
	}
	err := m.buildControl(now, stored, out)
	return *out, err
}

func (m *Machine) isControl() bool {
	for _, name := range m.ControlHosts {
		if name == m.Self {
			return true
		}
	}
	return false
}

func (m *Machine) buildMembers(now core.Millis) {
	m.members = &member.Table{
		Self: m.Self, Region: m.Region, Zone: m.Zone, Incarnation: m.Incarnation, Rand: m.Rand, Seeds: m.Seeds,
		FillOwnEntry:       m.ownEntry,
		OnEarlierConfirmed: func(version uint64) { m.relay.SetMinVersion(version) },
		OnPeerVersion: func(now core.Millis, host string, version uint64, out *core.Effects) {
			m.relay.OnPeerVersion(now, host, version, out)
		},
		OnNotices: m.onNotices,
	}
	m.members.Start(now)
	m.relay = &relay.Node{
		Self: m.Self, Zone: m.Zone, Control: m.isControl(), ControlHosts: m.ControlHosts,
		Leader: m.leader, Health: m.members, ZoneHosts: m.zoneHosts,
		NewestPeerVersion: m.members.NewestPeerVersion, PeersHeard: m.members.ZonePeersHeard,
		OnTree: m.onTree, OnPlan: func(core.Millis, *plan.Plan, *core.Effects) {}, OwnDemand: m.ownDemand,
	}
	m.relay.Start(now)
}

func (m *Machine) leader() string {
	if m.quorum == nil {
		return ""
	}
	return m.quorum.LeaderName()
}

func (m *Machine) zoneHosts() []string {
	if m.view != nil {
		return m.view.ZoneHosts(m.Zone)
	}
	return m.Seeds[m.Zone]
}

// otherHosts returns all hosts of the tree in force but this one.
func (m *Machine) otherHosts() []string {
	if m.view == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.view.HostNames()), func(name string) bool { return name == m.Self })
}

func (m *Machine) buildLeases(now core.Millis) {
	m.leases = &lease.Node{
		Self: m.Self, Incarnation: m.Incarnation, Health: m.members,
		OnGain: m.onGain, OnLose: m.onLose, OnHandBack: m.onHandBack,
	}
	m.leases.Start(now)
	m.slots = &slots.Node{
		Self: m.Self, Zone: m.Zone, Incarnation: m.Incarnation, Admit: m.admit, Reserve: m.reserve,
		Holds: func(now core.Millis, zone, service string) bool {
			return m.leases.Holds(now, slots.LeaseName(zone, service))
		},
		KeeperOf: func(now core.Millis, zone, service string) string {
			keeper, _ := m.members.Keeper(now, zone, service)
			return keeper.Host
		},
		Informed: m.members.Informed,
		Quarantined: func(now core.Millis, content crash.Digest) core.Millis {
			return m.crashes.Remaining(now, content)
		},
		OnGrant:   func(now core.Millis, g *slots.Grant, out *core.Effects) { m.dispatcher.OnGrant(now, g, out) },
		OnRefused: func(now core.Millis, r *slots.Refused, out *core.Effects) { m.dispatcher.OnRefused(now, r, out) },
	}
	m.slots.Start()
	m.grants = &grant.Node{Self: m.Self, Incarnation: m.Incarnation, Divider: m.divider}
	m.grants.Start()
}

func (m *Machine) buildCalls(now core.Millis) {
	m.replica = &ledger.Replica{Self: m.Self, Retention: core.Hour, LimitBytes: 1 << 20}
	m.replica.Start(now)
	m.ledger = &ledger.Client{
		Self: m.Self, Incarnation: m.Incarnation, Rand: m.Rand, Local: m.replica, Replicas: m.ledgerReplicas, ProcessEnded: m.processEnded,
		Dead: func(now core.Millis, host string) bool { return m.members.Liveness(now, host) == core.Dead },
		OnDecision: func(now core.Millis, request uint64, v ledger.Decision, out *core.Effects) {
			m.dispatcher.OnDecision(now, request, v, out)
		},
		OnSettled: func(now core.Millis, request uint64, recorded bool, out *core.Effects) {
			m.dispatcher.OnSettled(now, request, recorded, out)
		},
	}
	m.ledger.Start()
	m.router = &route.Router{
		Self: m.Self, Region: m.Region, Zone: m.Zone, Rand: m.Rand, Membership: m.members,
		Shares: func(region, service string) map[string]float64 { return m.relay.Plan().SharesOf(region, service) },
	}
	m.crashes = &crash.Node{
		Rand: m.Rand, Peers: m.otherHosts,
		OnQuarantine: func(now core.Millis, content crash.Digest, out *core.Effects) {
			m.dispatcher.OnQuarantine(now, content, out)
		},
	}
	m.dispatcher = &call.Dispatcher{
		Region: m.Region, Rand: m.Rand, Router: m.router, Slots: m.slots, Ledger: m.ledger, AllowCrossRegion: m.admitToLink, Crashes: m.crashes,
	}
	m.dispatcher.Start(m.Zone)
}

func (m *Machine) buildControl(now core.Millis, stored core.Stored, out *core.Effects) error {
	m.store = edits.NewStore()
	m.store.OnAccept = func(version edits.Version, _ *tree.View) { m.accepted = append(m.accepted, version) }
	m.quorum = &quorum.Replica{Self: m.Self, Rand: m.Rand, StateMachine: m.store, InitialVoters: m.ControlHosts}
	m.ctrl = &ctrl.Node{
		Self: m.Self, Replica: m.quorum, Store: m.store, Relay: m.relay,
		ZoneReached: m.members.ZoneReached, Leaving: m.slots.IsLeaving,
		Link: func(link plan.Link) float64 { return m.links[link] }, Deliver: m.deliver,
	}
	m.ctrl.Start()
	err := m.quorum.Start(now, stored, out)
	m.afterStep(now, out)
	return err
}

// step handles one input and the work that follows from it.
func (m *Machine) step(now core.Millis, input func(out *core.Effects)) core.Effects {
	out := &core.Effects{}
	input(out)
	m.afterStep(now, out)
	return *out
}

// afterStep puts versions that the replicated log has accepted into force on this host.
func (m *Machine) afterStep(now core.Millis, out *core.Effects) {
	if m.ctrl == nil {
		return
	}
	if len(m.accepted) > 0 {
		last := m.accepted[len(m.accepted)-1]
		differences := last.Differences
		if len(m.accepted) > 1 {
			differences = nil
		}
		m.accepted = nil
		m.relay.Accept(now, m.store.View(), differences, out)
	}
	m.ctrl.AfterStep(now, out)
}

// Tick does the work that is due; the driver calls it every TickInterval.
func (m *Machine) Tick(now core.Millis) core.Effects {
	return m.step(now, func(out *core.Effects) {
		if m.quorum != nil {
			m.quorum.Tick(now, out)
			m.ctrl.Tick(now, out)
		}
		m.members.Tick(now, out)
		m.relay.Tick(now, out)
		m.leases.Tick(now, out)
		m.slots.Tick(now, out)
		m.replica.Tick(now, out)
		m.ledger.Tick(now, out)
		m.grants.Tick(now, out)
		m.dispatcher.Tick(now, out)
		m.crashes.Tick(now, out)
		m.tickSelf(now, out)
	})
}

// Receive handles a message from another host.
func (m *Machine) Receive(now core.Millis, from string, message core.Message) core.Effects {
	return m.step(now, func(out *core.Effects) {
		number, ok := numberOf[message.MessageName()]
		if !ok {
			return
		}
		m.receive(now, from, messageTypes[number].part, message, out)
	})
}

func (m *Machine) receive(now core.Millis, from string, to part, message core.Message, out *core.Effects) {
	switch to {
	case quorumPart:
		if m.quorum != nil {
			m.quorum.Receive(now, from, message, out)
		}
	case ctrlPart:
		if m.ctrl != nil {
			m.ctrl.Receive(now, from, message, out)
		}
	case memberPart:
		m.members.Receive(now, from, message, out)
	case relayPart:
		m.relay.Receive(now, from, message, out)
	case leasePart:
		m.leases.Receive(now, from, message, out)
	case slotsPart:
		m.slots.Receive(now, from, message, out)
	case ledgerReplicaPart:
		m.replica.Receive(now, from, message, out)
	case ledgerClientPart:
		m.ledger.Receive(now, from, message, out)
	case grantPart:
		m.grants.Receive(now, from, message, out)
	case crashPart:
		m.crashes.Receive(now, from, message, out)
	case operatorPart:
		m.deliver(now, message.(*ctrl.Response), out)
	case foundingPart:
		m.onFounding(message.(*ctrl.FoundingResponse).Founding)
	}
}

// Synced reports that all writes up to and including seq are on disk.
func (m *Machine) Synced(now core.Millis, seq uint64) core.Effects {
	return m.step(now, func(out *core.Effects) {
		if m.quorum == nil {
			return
		}
		m.quorum.Synced(now, seq, out)
		if m.quorum.Durable() {
			m.relay.SetDurable(m.store.View().Version)
		}
	})
}

// Fenced reports whether this control host's disk was found to be older than state it had acknowledged.
// The driver then moves the files of the data folder aside and ends the process.
func (m *Machine) Fenced() bool {
	return m.quorum != nil && m.quorum.Fenced()
}

// Arrive handles a caller's request.
func (m *Machine) Arrive(now core.Millis, a call.Arrival) core.Effects {
	return m.step(now, func(out *core.Effects) {
		if m.stopping.refuses() {
			ran := core.RanNo
			if a.Key != "" && !a.Idempotent {
				ran = core.RanUnknown
			}
			out.Refuse(a.ID, core.Refuse(core.Stopping, ran, "host %q is stopping", m.Self))
			return
		}
		m.dispatcher.Arrive(now, a, out)
	})
}

// Cancel reports that the caller of a request has disconnected.
func (m *Machine) Cancel(now core.Millis, request uint64) core.Effects {
	return m.step(now, func(out *core.Effects) { m.dispatcher.Cancel(now, request, out) })
}

// Head handles the start of an endpoint's answer to an attempt.
func (m *Machine) Head(now core.Millis, attempt uint64, h call.Head) core.Effects {
	return m.step(now, func(out *core.Effects) { m.dispatcher.OnHead(now, attempt, h, out) })
}

// End handles the end of an attempt; bits is the size of the request and its answer.
func (m *Machine) End(now core.Millis, attempt uint64, e call.End, bits int64) core.Effects {
	return m.step(now, func(out *core.Effects) {
		m.chargeLink(now, attempt, bits, e)
		m.dispatcher.OnEnd(now, attempt, e, out)
	})
}

// RecordCrash records that an endpoint has ended under a request that this host had abandoned there.
func (m *Machine) RecordCrash(now core.Millis, report crash.Report) core.Effects {
	return m.step(now, func(out *core.Effects) { m.crashes.RecordCrash(now, report, out) })
}

// Report handles an endpoint's load report; failed means that the poll got none.
func (m *Machine) Report(now core.Millis, endpoint string, report core.Report, failed bool) core.Effects {
	return m.step(now, func(*core.Effects) { m.slots.RecordReport(now, endpoint, report, failed) })
}

// Feed is the platform's list: notices about endpoints, and the traffic of other users on the links between regions, in
// bits per second.
type Feed struct {
	Notices []member.Notice
	Links   map[plan.Link]float64
}

// ApplyFeed applies the platform's list.
func (m *Machine) ApplyFeed(now core.Millis, feed Feed) core.Effects {
	return m.step(now, func(out *core.Effects) {
		m.members.ApplyNotices(now, feed.Notices, out)
		for link, used := range feed.Links {
			m.links[link] = used
		}
	})
}
