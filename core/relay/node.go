package relay

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/plan"
	"clementinelock/core/tree"

	"github.com/cespare/xxhash/v2"
)

// Intervals, time-outs and limits of the distribution.
const (
	syncInterval         = 500 * core.Millisecond
	parentTimeout        = 1200 * core.Millisecond
	parentRetryDelay     = 3 * core.Second
	childTimeout         = 2500 * core.Millisecond
	peerAskInterval      = 200 * core.Millisecond
	startTimeout         = 1500 * core.Millisecond
	confirmationTTL      = 30 * core.Second
	confirmationInterval = 8 * core.Second
	demandTTL            = 3 * core.Second
	maxDeltas            = 512
	relaysPerZone        = 2
)

// child is a host that syncs with this one; have is the newest version that it has or was sent.
type child struct {
	heardAt core.Millis
	have    uint64
}

// timedConfirmation is a confirmation with the time when it was received, or reported to the parent.
type timedConfirmation struct {
	Confirmation
	at core.Millis
}

type receivedDemand struct {
	Demand
	at core.Millis
}

// Node is a host's part in the distribution. Set the exported fields before use.
type Node struct {
	Self    string
	Zone    string
	Control bool
	// ControlHosts lists the control hosts; Leader returns the leader's name, or the empty string if it is not
	// known.
	ControlHosts []string
	Leader       func() string
	Health       core.Health
	// ZoneHosts lists the zone's hosts: those of the tree, or of the settings before there is one.
	ZoneHosts func() []string
	// NewestPeerVersion returns the newest version that a live peer of the zone holds, and whether there is such a
	// peer.
	NewestPeerVersion func(now core.Millis) (uint64, bool)
	// PeersHeard reports whether all peers of the zone were heard of since the start.
	PeersHeard func() bool
	// OnTree is called with a version that comes into force, OnPlan with a newer plan.
	OnTree func(now core.Millis, view *tree.View, out *core.Effects)
	OnPlan func(now core.Millis, p *plan.Plan, out *core.Effects)
	// OwnDemand returns the demand on this host itself.
	OwnDemand func(now core.Millis) []FlowDemand

	started       core.Millis
	view          *tree.View
	deltas        []Delta
	plan          *plan.Plan
	minVersion    uint64
	durable       uint64
	confirmed     uint64
	pendingTree   *tree.Tree
	parent        string
	answeredAt    core.Millis
	chosenAt      core.Millis
	avoidUntil    map[string]core.Millis
	nextSync      core.Millis
	askedAt       core.Millis
	children      map[string]*child
	confirmations map[string]*timedConfirmation
	demands       map[string]*receivedDemand
	// reported holds the confirmations that the parent reportedTo got, with the times.
	reported   map[string]timedConfirmation
	reportedTo string
}

// Start sets the time of the process's start and prepares the node.
func (n *Node) Start(now core.Millis) {
	n.started = now
	n.avoidUntil = map[string]core.Millis{}
	n.children = map[string]*child{}
	n.confirmations = map[string]*timedConfirmation{}
	n.demands = map[string]*receivedDemand{}
}

// Version returns the version in force at this host, or 0 before there is one.
func (n *Node) Version() uint64 {
	if n.view == nil {
		return 0
	}
	return n.view.Version
}

// Confirmed returns the version that this host has confirmed.
func (n *Node) Confirmed() uint64 {
	return n.confirmed
}

// Plan returns the newest plan.
func (n *Node) Plan() *plan.Plan {
	return n.plan
}

// SetMinVersion sets the version that this host had confirmed before it restarted; it adopts no older one.
func (n *Node) SetMinVersion(version uint64) {
	n.minVersion = max(n.minVersion, version)
}

// SetDurable sets the version that is on this host's own disk.
func (n *Node) SetDurable(version uint64) {
	n.durable = max(n.durable, version)
}

// Accept adopts a version from this host's own control replica.
func (n *Node) Accept(now core.Millis, view *tree.View, differences []tree.Difference, out *core.Effects) {
	if view.Version == 0 {
		return
	}
	n.adopt(now, view, Delta{Version: view.Version, Differences: differences}, out)
}

// adopt brings a version into force; it ignores an older one.
func (n *Node) adopt(now core.Millis, view *tree.View, delta Delta, out *core.Effects) {
	if view.Version <= n.Version() || view.Version < n.minVersion {
		return
	}
	if len(delta.Differences) > 0 && view.Version == n.Version()+1 {
		n.deltas = append(n.deltas, delta)
		if len(n.deltas) > maxDeltas {
			n.deltas = slices.Clone(n.deltas[len(n.deltas)-maxDeltas:])
		}
	} else {
		n.deltas = nil
	}
	n.view = view
	n.pendingTree = nil
	n.OnTree(now, view, out)
	n.confirm(now)
	n.push(now, out)
	n.nextSync = now
}

// SetPlan adopts a plan that this host made or received, and sends it to the children; it ignores an older
// one.
func (n *Node) SetPlan(now core.Millis, p *plan.Plan, out *core.Effects) {
	if p == nil || !p.Newer(n.plan) {
		return
	}
	n.plan = p
	n.OnPlan(now, p, out)
	for _, name := range slices.Sorted(maps.Keys(n.children)) {
		if now-n.children[name].heardAt < childTimeout {
			out.Send(name, &Update{Version: n.Version(), Base: n.Version(), Plan: p})
		}
	}
}

func (n *Node) push(now core.Millis, out *core.Effects) {
	for _, name := range slices.Sorted(maps.Keys(n.children)) {
		c := n.children[name]
		if now-c.heardAt < childTimeout {
			out.Send(name, n.updateFor(c.have))
			c.have = n.Version()
		}
	}
}

// updateFor returns what a host that has the version lacks.
func (n *Node) updateFor(have uint64) *Update {
	u := &Update{Version: n.Version(), Base: have}
	if n.view == nil || have >= n.Version() {
		return u
	}
	missing := n.Version() - have
	if have == 0 || uint64(len(n.deltas)) < missing {
		u.Snapshot = n.view.Tree
		return u
	}
	u.Deltas = n.deltas[uint64(len(n.deltas))-missing:]
	return u
}

// Tick syncs with the parent, gives up a parent that does not answer and confirms the version in force.
func (n *Node) Tick(now core.Millis, out *core.Effects) {
	n.adoptPending(now, out)
	n.confirm(now)
	if n.parent != "" && now-max(n.answeredAt, n.chosenAt) >= parentTimeout {
		out.Logf("relay", "Parent %s has not answered for %s; trying others first.", n.parent, now-max(n.answeredAt, n.chosenAt))
		n.avoidUntil[n.parent] = now + parentRetryDelay
		n.parent = ""
		n.nextSync = now
	}
	if now < n.nextSync {
		return
	}
	n.nextSync = now + syncInterval
	n.chooseParent(now)
	if n.parent != "" {
		out.Send(n.parent, n.sync(now))
	}
}

// chooseParent keeps the parent while it is among the options. Otherwise it takes the first option that is not
// avoided or dead, or else the first of all.
func (n *Node) chooseParent(now core.Millis) {
	options := n.parents(now)
	if n.parent != "" && slices.Contains(options, n.parent) {
		return
	}
	for _, skipAvoided := range []bool{true, false} {
		for _, name := range options {
			if skipAvoided && (now < n.avoidUntil[name] || n.Health.Liveness(now, name) == core.Dead) {
				continue
			}
			n.parent, n.chosenAt = name, now
			return
		}
	}
	n.parent = ""
}

// parents lists the hosts that this one may sync with, in its order of preference.
func (n *Node) parents(now core.Millis) []string {
	if n.Control {
		leader := n.Leader()
		if leader == "" || leader == n.Self {
			return nil
		}
		return []string{leader}
	}
	relays := n.relays(now)
	if slices.Contains(relays, n.Self) || len(relays) == 0 {
		return rendezvous(n.Self, n.ControlHosts)
	}
	return append(rendezvous(n.Self, relays), rendezvous(n.Self, n.ControlHosts)...)
}

// relays lists the zone's relays: its first hosts, in an order that depends on the zone, that are not known to
// be dead or leaving.
func (n *Node) relays(now core.Millis) []string {
	var out []string
	for _, name := range rendezvous(n.Zone, n.ZoneHosts()) {
		state := n.Health.Liveness(now, name)
		if state == core.Alive || state == core.Unknown {
			out = append(out, name)
		}
		if len(out) == relaysPerZone {
			break
		}
	}
	return out
}

// rendezvous orders names by a hash with the seed (rendezvous hashing), so that different seeds prefer
// different names.
func rendezvous(seed string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		ha, hb := xxhash.Sum64String(seed+"\x00"+a), xxhash.Sum64String(seed+"\x00"+b)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		default:
			return 0
		}
	})
	return out
}

func (n *Node) sync(now core.Millis) *Sync {
	s := &Sync{Have: n.Version(), Confirmations: n.confirmationsFor(now, n.parent), Demands: []Demand{n.demand(now)}}
	if n.plan != nil {
		s.Term, s.Number = n.plan.Term, n.plan.Number
	}
	return s
}

// Receive handles a Sync or an Update.
func (n *Node) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	switch m := message.(type) {
	case *Sync:
		n.onSync(now, from, m, out)
	case *Update:
		n.onUpdate(now, from, m, out)
	}
}

func (n *Node) onSync(now core.Millis, from string, m *Sync, out *core.Effects) {
	update := n.updateFor(m.Have)
	if n.plan.NewerThan(m.Term, m.Number) {
		update.Plan = n.plan
	}
	out.Send(from, update)
	if n.plan.OlderThan(m.Term, m.Number) {
		n.askOnce(now, from, out)
	}
	if m.Once {
		return
	}
	n.children[from] = &child{heardAt: now, have: max(m.Have, n.Version())}
	for _, c := range m.Confirmations {
		n.applyConfirmation(now, c)
	}
	for _, d := range m.Demands {
		n.demands[d.Source] = &receivedDemand{d, now}
	}
}

func (n *Node) onUpdate(now core.Millis, from string, m *Update, out *core.Effects) {
	if from == n.parent {
		n.answeredAt = now
	}
	n.SetPlan(now, m.Plan, out)
	switch {
	case m.Snapshot != nil && m.Snapshot.Version > n.Version():
		n.onSnapshot(now, m.Snapshot, out)
	case len(m.Deltas) > 0 && m.Base <= n.Version() && n.view != nil:
		n.applyDeltas(now, m.Deltas, out)
	case m.Version > n.Version() && m.Version > n.minVersion:
		n.askOnce(now, from, out)
	}
}

func (n *Node) onSnapshot(now core.Millis, snapshot *tree.Tree, out *core.Effects) {
	if snapshot.Nodes == nil || tree.Check(snapshot) != nil {
		out.Logf("relay", "Rejected the tree of version %d from another host: it is not valid.", snapshot.Version)
		return
	}
	if n.pendingTree == nil || snapshot.Version > n.pendingTree.Version {
		n.pendingTree = snapshot
	}
	n.adoptPending(now, out)
}

// adoptPending brings a whole tree into force. After a start it waits up to startTimeout until all peers of
// the zone were heard of, since one of them may have a newer tree that this host had confirmed.
func (n *Node) adoptPending(now core.Millis, out *core.Effects) {
	if n.pendingTree == nil || n.pendingTree.Version < n.minVersion {
		return
	}
	if n.view == nil && !n.PeersHeard() && now-n.started < startTimeout {
		return
	}
	n.adopt(now, tree.NewView(n.pendingTree), Delta{}, out)
	n.pendingTree = nil
}

func (n *Node) applyDeltas(now core.Millis, deltas []Delta, out *core.Effects) {
	for _, d := range deltas {
		if d.Version != n.Version()+1 {
			continue
		}
		next, err := n.view.Tree.With(tree.Changes(d.Differences))
		if err != nil {
			out.Logf("relay", "Rejected the changes of version %d: %v.", d.Version, err)
			return
		}
		n.adopt(now, tree.NewView(next), d, out)
	}
}

// OnPeerVersion asks a host that reports a newer version than this one has, whether or not it is the parent.
func (n *Node) OnPeerVersion(now core.Millis, host string, version uint64, out *core.Effects) {
	if version <= n.Version() || now-n.askedAt < peerAskInterval {
		return
	}
	n.askedAt = now
	n.askOnce(now, host, out)
}

func (n *Node) askOnce(_ core.Millis, host string, out *core.Effects) {
	s := &Sync{Have: n.Version(), Once: true}
	if n.plan != nil {
		s.Term, s.Number = n.plan.Term, n.plan.Number
	}
	out.Send(host, s)
}
