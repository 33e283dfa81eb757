package fleet

import (
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/edits"
	"clementinelock/core/quorum"
	"clementinelock/core/roster"
)

// Lengths of time of a control host. They follow from a bound of 2.5 s for a configuration in force and of 3 s for an endpoint that leaves.
const (
	// ControlTick is how often the driver calls Tick.
	ControlTick = 50 * core.Millisecond
	shareEvery  = core.Second
	// shareSoon gathers the entry hosts that begin to report at about the same time into one message.
	shareSoon = 250 * core.Millisecond
	// listShareEvery tells the other control hosts that the reader lives before they read the list themselves.
	listShareEvery = 500 * core.Millisecond
	listEvery      = 800 * core.Millisecond
	// listPerCall keeps the reading of a long list, whose pages take 0.2 ms of a core each, within 1% of a core.
	listPerCall = 20 * core.Millisecond
	// listEveryMost leaves half of the 3 s in which an endpoint that leaves has to be known.
	listEveryMost = 1500 * core.Millisecond
	// listLate is by how much another reader's list may be late before it no longer spares the own reading.
	listLate = 900 * core.Millisecond
	// entryGone is three reports; look-ups must not name a host for longer than 6 s after its end.
	entryGone   = 2500 * core.Millisecond
	controlGone = 4 * core.Second
	// leaderSilent is some heartbeats; entry hosts then turn to another control host.
	leaderSilent = 1200 * core.Millisecond
	resendAfter  = 400 * core.Millisecond
	// mostVoters bounds what a commit waits for.
	mostVoters = 9
	// removeAfter is longer than any outage in which the host is expected back.
	removeAfter = 15 * core.Second
	// Pace keeps a group whose replicas are 20 ms apart well under the 3 s in which it has to find a new leader.
	heartbeat    = 250 * core.Millisecond
	electionLow  = 900 * core.Millisecond
	electionHigh = 1400 * core.Millisecond
)

// Control is one control host. Set the exported fields before Start; calls must not overlap.
type Control struct {
	ControlHost
	// Process is greater than that of every earlier process of this host.
	Process uint64
	Rand    *rand.Rand
	// Seeds names the control hosts that are known at the start.
	Seeds []string
	// ListCallsPerSecond is how many calls a second the platform's list takes from all hosts together.
	ListCallsPerSecond float64

	quorum   *quorum.Replica
	book     *edits.Store
	entries  map[string]*entryState
	controls map[string]*controlState
	number   uint64
	// ready lists the entry hosts that serve, as long as readyKnown tells that nothing has changed.
	ready      []EntryHost
	readyKnown bool
	// controlsNumber is that of the list of control hosts, which starts anew with each process.
	controlsNumber uint64
	// ledSince is when this host last began to hear a leader, 0 while it hears none.
	ledSince core.Millis
	list     roster.Journal
	listAt   core.Millis
	reading  bool
	// listCalls is how many calls the last reading took.
	listCalls int
	// readerEvery is how often the host reads the list whose list is held here.
	readerEvery core.Millis
	shareAt     core.Millis
	orders      orderBook
	// contacts are the seeds of the settings, as they are now.
	contacts []string
}

// entryState is an entry host that reports here.
type entryState struct {
	Report
	heard core.Millis
	// firstAt is when the entry host's process reported here first.
	firstAt core.Millis
	// What was sent last, and when or until when it may be on its way; it is sent again when it is not confirmed in time.
	sentVersion   uint64
	versionSentAt core.Millis
	sentNumber    uint64
	numberDueAt   core.Millis
}

// controlState is another control host.
type controlState struct {
	ControlHost
	heard   core.Millis
	process uint64
	number  uint64
	entries []EntryHost
	// have is what the other one holds of this host's entry hosts.
	have uint64
	list roster.Copy
	// theyList is what the other one holds of this host's list, listDueAt until when a part of it may be on its way.
	theyList  [2]uint64
	listDueAt core.Millis
}

// Start brings the host up with what its disk holds; it errs when that can't be read.
func (c *Control) Start(now core.Millis, stored core.Stored) (core.Effects, error) {
	out := &core.Effects{}
	c.entries = map[string]*entryState{}
	c.controls = map[string]*controlState{}
	c.number, c.controlsNumber = 1, 1
	c.contacts = c.Seeds
	c.list.Process = c.Process
	c.orders = orderBook{pending: map[uint64]*order{}, proposed: map[uint64]proposal{}}
	c.book = edits.NewStore()
	c.quorum = &quorum.Replica{
		Self: c.Name, Rand: c.Rand, StateMachine: c.book, InitialVoters: c.Seeds, OnRead: c.onRead,
		OtherHosts: func() []string { return sortedNames(c.controls) },
		Timing:     quorum.Timing{HeartbeatInterval: heartbeat, MinElectionTimeout: electionLow, MaxElectionTimeout: electionHigh},
	}
	err := c.quorum.Start(now, stored, out)
	return *out, err
}

// Tick carries out what is due; the driver calls it every ControlTick.
func (c *Control) Tick(now core.Millis) core.Effects {
	return c.step(now, func(out *core.Effects) {
		c.quorum.Tick(now, out)
		c.noteLeader(now, out)
		c.dropGone(now, out)
		c.tickOrders(now, out)
		c.retireMember(now, out)
		if now >= c.shareAt {
			c.share(now, out)
		}
		c.resend(now, out)
	})
}

// step runs one input and passes on what it changed.
func (c *Control) step(now core.Millis, input func(out *core.Effects)) core.Effects {
	out := &core.Effects{}
	index, number := c.book.Published().Index, c.list.Number()
	input(out)
	c.finishOrders(now, out)
	if c.book.Published().Index != index {
		out.Logf("config", "Version %d with %v evacuated is applied at index %d.", c.book.Published().Document.Version, c.book.Published().Evacuated, c.book.Published().Index)
	}
	if c.book.Published().Index != index || c.list.Number() != number {
		for _, name := range sortedNames(c.entries) {
			c.update(now, c.entries[name], out)
		}
	}
	return *out
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Receive takes a message that another host sent.
func (c *Control) Receive(now core.Millis, from string, message core.Message) core.Effects {
	return c.step(now, func(out *core.Effects) {
		switch m := message.(type) {
		case *Report:
			c.onReport(now, from, m, out)
		case *Share:
			c.onShare(now, from, m, out)
		case *Order:
			c.onOrder(now, from, m, out)
		case *OrderAnswer:
			c.onOrderAnswer(now, m, out)
		case *quorum.Hello:
			c.expect(from)
			c.quorum.Receive(now, from, message, out)
		default:
			c.quorum.Receive(now, from, message, out)
		}
	})
}

// Synced tells that all writes up to the sequence number are on disk.
func (c *Control) Synced(now core.Millis, seq uint64) core.Effects {
	return c.step(now, func(out *core.Effects) { c.quorum.Synced(now, seq, out) })
}

// AddSeeds takes further control hosts, which changed settings name.
func (c *Control) AddSeeds(now core.Millis, names []string) core.Effects {
	return c.step(now, func(out *core.Effects) {
		c.contacts = append(slices.Clone(c.contacts), names...)
		out.Logf("host", "Reloads its settings: seeds %v.", names)
	})
}

// Stop hands leadership over before a planned stop.
func (c *Control) Stop(now core.Millis) core.Effects {
	return c.step(now, func(out *core.Effects) {
		handed := c.quorum.Transfer(now, out)
		out.Logf("host", "Stops; leadership needs nobody or is handed over: %t.", handed)
	})
}

// Fenced tells whether this host's disk was found older than what it promised.
func (c *Control) Fenced() bool {
	return c.quorum.Fenced()
}

// expect lets the leader take in a control host that is not a member yet, as long as the group is not full.
func (c *Control) expect(name string) {
	if !c.quorum.IsLeader() {
		return
	}
	members := c.quorum.Members()
	if len(members) < mostVoters || slices.ContainsFunc(members, func(m quorum.Member) bool { return m.Name == name }) {
		// The replica leads, so that nothing is refused here.
		_ = c.quorum.AllowJoin(name)
	}
}

// retireMember takes out a voter that was not heard for long while every other member is, so that a replaced host does not weigh on the majority.
func (c *Control) retireMember(now core.Millis, out *core.Effects) {
	if !c.quorum.IsLeader() {
		return
	}
	silent, heard := "", 0
	report := c.quorum.Report(now)
	for _, member := range report.Members {
		switch {
		case member.Name == c.Name || member.HeardAgo >= 0 && member.HeardAgo < entryGone:
			heard++
		case member.HeardAgo > removeAfter:
			silent = member.Name
		}
	}
	if silent == "" || heard < len(report.Members)-1 || heard < 3 {
		return
	}
	if refusal := c.quorum.Remove(now, silent, out); refusal == nil {
		out.Logf("quorum", "Takes %s out, which was not heard for %s.", silent, removeAfter)
	}
}

// leaderHeard tells whether this host follows a leader now.
func (c *Control) leaderHeard(now core.Millis) bool {
	return c.quorum.SinceLeaderContact(now) < leaderSilent
}

// noteLeader keeps since when this host hears a leader, and tells its entry hosts when it no longer does.
func (c *Control) noteLeader(now core.Millis, out *core.Effects) {
	heard := c.leaderHeard(now)
	switch {
	case heard && c.ledSince == 0:
		c.ledSince = now
	case !heard && c.ledSince != 0:
		c.ledSince = 0
		out.Logf("quorum", "Hears no leader; tells its %d entry hosts.", len(c.entries))
		for _, name := range sortedNames(c.entries) {
			c.update(now, c.entries[name], out)
		}
	}
}

// Ready tells whether the host has a configuration to pass on.
func (c *Control) Ready() bool {
	return c.book.Published().Document.Version > 0
}
