package fleet

import (
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/edits"
	"clementinelock/core/quorum"
	"clementinelock/core/quota"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// Timing of a control host, derived from two bounds: a configuration is in force within 2.5 s, and an endpoint
// that leaves is known within 3 s.
const (
	// ControlTickInterval is how often the driver calls Tick.
	ControlTickInterval = 50 * core.Millisecond
	shareInterval       = core.Second
	// shareBatchDelay batches the changes of entry hosts that begin to report at about the same time into one
	// message.
	shareBatchDelay = 250 * core.Millisecond
	// listShareInterval is how often the leader shares the list that it reads, so that the other control hosts
	// see that it is alive before they read the list themselves.
	listShareInterval = 500 * core.Millisecond
	minListInterval   = 800 * core.Millisecond
	// listIntervalPerCall keeps reading a long list, whose pages take 0.2 ms of a core each, within 1% of a
	// core.
	listIntervalPerCall = 20 * core.Millisecond
	// maxListInterval leaves half of the 3 s within which an endpoint that leaves has to be known.
	maxListInterval = 1500 * core.Millisecond
	// listGracePeriod is how overdue the list of another reader may be before this host reads the list itself.
	listGracePeriod = 900 * core.Millisecond
	// entryTimeout is three report intervals: look-ups must not name a host for longer than 6 s after its end.
	entryTimeout   = 2500 * core.Millisecond
	controlTimeout = 4 * core.Second
	// leaderTimeout is several heartbeat intervals; entry hosts then switch to another control host.
	leaderTimeout = 1200 * core.Millisecond
	resendTimeout = 400 * core.Millisecond
	// maxVoters bounds the number of replicas that a commit waits for.
	maxVoters = 9
	// removalTimeout is longer than any outage after which the host is expected back. A host that was replaced is removed sooner.
	removalTimeout = 15 * core.Second
	// Timing of the quorum: replicas 20 ms apart elect a new leader well within the required 3 s.
	heartbeatInterval  = 250 * core.Millisecond
	minElectionTimeout = 900 * core.Millisecond
	maxElectionTimeout = 1400 * core.Millisecond
)

// Control is the state machine of a control host. Set the exported fields before Start; calls must not overlap.
type Control struct {
	ControlHost
	// Process is greater than that of every earlier process of this host.
	Process uint64
	Rand    *rand.Rand
	// Seeds names the control hosts that are known at the start.
	Seeds []string
	// QuotaBounds are the deployment's bounds of quotas; Founding is set at its first start.
	QuotaBounds quota.Bounds
	Founding    bool
	// QuotasOf returns the customers' quotas of a document, or an error if it can't be decoded; nil means that there are none.
	QuotasOf func(document routes.Document) (map[string]quota.Limit, error)
	// ListCallsPerSecond is the rate of calls that the platform's list accepts from all hosts together.
	ListCallsPerSecond float64

	quorum   *quorum.Replica
	store    *edits.Store
	entries  map[string]*entryState
	controls map[string]*controlState
	// places holds where control hosts stand that were heard, or are members.
	places map[string]quorum.Place
	// entriesNumber numbers the changes of the entry hosts that report here.
	entriesNumber uint64
	// peaks holds the largest number of entry hosts of each availability zone; peaksHeard is set once another control
	// host has told its own.
	peaks      map[string]peak
	peaksHeard bool
	// crashes holds the crashes that all entry hosts reported, relay the reports that came to this host lately.
	crashes crash.Table
	relay   crash.Relay
	// ended holds the ends of endpoints that entry hosts reported here and other control hosts passed on; endedNews is set
	// when entry hosts have not been told of one, and endedSendAt is from when on they are told.
	ended       crash.Relay
	endedNews   bool
	endedSendAt core.Millis
	// suspects are the requests whose answers entry hosts report, as of the latest update; crashNews is set when there
	// is news for them, and suspectsAt is when they are updated without.
	suspects   []crash.Digest
	crashNews  bool
	suspectsAt core.Millis
	// quarantineProposedAt is when this host last proposed a change of a quarantine.
	quarantineProposedAt core.Millis
	pause                pause
	startedAt            core.Millis
	// cutSent holds the names of the entry hosts that reach no endpoint, as all entry hosts were told last.
	cutSent []string
	// ready caches the entry hosts that serve; readyCached is false after a change.
	ready       []EntryHost
	readyCached bool
	// readyVersion counts the changes of ready.
	readyVersion uint64
	// named holds how many entry hosts of each availability zone look-ups name; it is updated at namedAt.
	named   map[string]namedCount
	namedAt core.Millis
	// controlsNumber numbers the list of control hosts; it starts again with each process.
	controlsNumber uint64
	// leaderSince is the time from which this host has heard a leader without a break, 0 while it hears none.
	leaderSince    core.Millis
	list           roster.Journal
	nextListReadAt core.Millis
	readsList      bool
	// listCalls is how many calls the last read of the list took.
	listCalls int
	// readerInterval is the read interval of the host whose list is held here.
	readerInterval core.Millis
	shareAt        core.Millis
	// askAt is when the voters are asked next while the leader is silent.
	askAt  core.Millis
	orders orderTable
	// currentSeeds are the seeds of the current settings.
	currentSeeds []string
	// pool is this host's part of the customers' quotas, by the routes of version quotaVersion.
	pool         quota.Pool
	quotaVersion uint64
}

// entryState is the state of an entry host that reports here.
type entryState struct {
	Report
	heardAt core.Millis
	// firstAt is when the entry host's process reported here first.
	firstAt core.Millis
	// The document and the list that were sent last. They are sent again unless they are confirmed in time: the
	// document after its transfer timeout from versionSentAt, the list after listDueAt.
	sentVersion    uint64
	versionSentAt  core.Millis
	sentListNumber uint64
	listDueAt      core.Millis
	// peers is what the entry host is told of others, as of the version of the ready hosts.
	peers        *Peers
	peersVersion uint64
}

// controlState is the state of another control host.
type controlState struct {
	ControlHost
	heardAt core.Millis
	process uint64
	// sentAt is when the latest share was sent, by the sender's clock.
	sentAt core.Millis
	// entriesNumber is the other host's number of entries; 0 when entries is outdated.
	entriesNumber uint64
	entries       []EntryHost
	// ackNumber is the number of this host's entry hosts that the other host has acknowledged.
	ackNumber uint64
	// loads holds the load of the other host's entry hosts.
	loads []ZoneLoad
	list  roster.Replica
	// deltaBase is the process and number of this host's list that the other host holds or was sent last;
	// listDueAt is until when a delta may be in transit.
	deltaBase [2]uint64
	listDueAt core.Millis
}

// Start starts the host with what its disk holds. It returns an error when the stored state can't be read.
func (c *Control) Start(now core.Millis, stored core.Stored) (core.Effects, error) {
	out := &core.Effects{}
	c.entries = map[string]*entryState{}
	c.controls = map[string]*controlState{}
	c.places = map[string]quorum.Place{c.Name: {Region: c.Region, Zone: c.Zone}}
	c.peaks, c.startedAt = map[string]peak{}, now
	c.pause = newPause(now)
	c.entriesNumber, c.controlsNumber = 1, 1
	c.currentSeeds = c.Seeds
	c.list.Process = c.Process
	c.orders = orderTable{pending: map[uint64]*order{}, proposed: map[uint64]proposal{}, executed: map[edits.OrderID]executed{}}
	c.pool = quota.Pool{Name: c.Name, Bounds: c.QuotaBounds, Full: c.Founding}
	c.pool.Start(now)
	c.store = edits.NewStore()
	c.store.OnOrder = func(index uint64, id edits.OrderID) { c.orders.recordExecuted(c.pause.inputAt, id, index, 0) }
	c.quorum = &quorum.Replica{
		Self: c.Name, Rand: c.Rand, StateMachine: c.store, InitialVoters: c.Seeds, MaxVoters: maxVoters, OnRead: c.onRead,
		OtherHosts: func() []string { return sortedNames(c.controls) }, PlaceOf: c.placeOf,
		Timing: quorum.Timing{HeartbeatInterval: heartbeatInterval, MinElectionTimeout: minElectionTimeout, MaxElectionTimeout: maxElectionTimeout},
	}
	err := c.quorum.Start(now, stored, out)
	return *out, err
}

// Tick does what is due; the driver calls it every ControlTickInterval.
func (c *Control) Tick(now core.Millis) core.Effects {
	return c.step(now, func(out *core.Effects) {
		c.quorum.Tick(now, out)
		c.recordLeader(now, out)
		c.askVoters(now, out)
		c.expireHosts(now, out)
		c.retryOrders(now, out)
		c.quorum.RemoveSilent(now, removalTimeout, out)
		c.quarantineDue(now, out)
		if now >= c.shareAt {
			c.sendShares(now, out)
		}
		if now >= c.namedAt {
			c.updateNamed(now)
		}
		c.sendEnded(now, out)
		c.sendCut(now, out)
		c.resend(now, out)
		c.pool.Tick(now, out)
	})
}

// step handles one input and sends the changes that it made to the entry hosts.
func (c *Control) step(now core.Millis, input func(out *core.Effects)) core.Effects {
	out := &core.Effects{}
	c.pause.record(now)
	index, quarantineIndex, number := c.store.Published().Index, c.store.Published().QuarantineIndex, c.list.Number()
	input(out)
	c.updateQuotas(now, out)
	c.finishOrders(now, out)
	if c.store.Published().Index != index {
		out.Logf("config", "Applied version %d, evacuated %v, index %d.", c.store.Published().Document.Version, c.store.Published().Evacuated, c.store.Published().Index)
	}
	if c.store.Published().QuarantineIndex != quarantineIndex {
		out.Logf("crashes", "Applied %d quarantines, index %d.", len(c.store.Published().Quarantined), c.store.Published().QuarantineIndex)
		c.explainCrashes()
	}
	suspectsChanged := c.updateSuspects(now)
	if suspectsChanged || c.store.Published().Index != index || c.store.Published().QuarantineIndex != quarantineIndex || c.list.Number() != number {
		for _, name := range sortedNames(c.entries) {
			c.sendUpdate(now, c.entries[name], out)
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

// Receive handles a message from another host.
func (c *Control) Receive(now core.Millis, from string, message core.Message) core.Effects {
	return c.step(now, func(out *core.Effects) {
		switch m := message.(type) {
		case *Report:
			c.onReport(now, from, m, out)
		case *Ping:
			c.onPing(now, from, m, out)
		case *Share:
			c.onShare(now, from, m, out)
		case *Order:
			c.onOrder(now, from, m, out)
		case *OrderAnswer:
			c.onOrderAnswer(now, m, out)
		case *quorum.Hello:
			c.allowJoin(from)
			c.quorum.Receive(now, from, message, out)
		default:
			if !c.pool.Receive(now, from, message, out) {
				c.quorum.Receive(now, from, message, out)
			}
		}
	})
}

// Synced reports that all writes up to the sequence number are on disk.
func (c *Control) Synced(now core.Millis, seq uint64) core.Effects {
	return c.step(now, func(out *core.Effects) { c.quorum.Synced(now, seq, out) })
}

// AddSeeds adds control hosts that changed settings name.
func (c *Control) AddSeeds(now core.Millis, names []string) core.Effects {
	return c.step(now, func(out *core.Effects) {
		c.currentSeeds = append(slices.Clone(c.currentSeeds), names...)
		out.Logf("host", "Settings reloaded: added seeds %v.", names)
	})
}

// Stop transfers leadership before a planned stop and announces the stop.
func (c *Control) Stop(now core.Millis) core.Effects {
	return c.step(now, func(out *core.Effects) {
		handed := c.quorum.Transfer(now, out)
		c.quorum.Stop(out)
		out.Logf("host", "Stopping; leadership not held or transferred: %t.", handed)
	})
}

// Fenced reports whether this host's disk was found to be older than what the host has acknowledged.
func (c *Control) Fenced() bool {
	return c.quorum.Fenced()
}

// allowJoin lets the leader admit a control host that is not a member yet; it follows as a learner if there are enough voters.
func (c *Control) allowJoin(name string) {
	if c.quorum.IsLeader() {
		// AllowJoin refuses only on a replica that does not lead.
		_ = c.quorum.AllowJoin(name)
	}
}

// placeOf returns where a control host stands, as it told itself.
func (c *Control) placeOf(name string) (place quorum.Place, known bool) {
	place, known = c.places[name]
	return place, known
}

// leaderHeard reports whether this host follows a leader now.
func (c *Control) leaderHeard(now core.Millis) bool {
	return c.quorum.SinceLeaderContact(now) < leaderTimeout
}

// recordLeader records since when this host has heard a leader, and updates its entry hosts when it no longer
// does.
func (c *Control) recordLeader(now core.Millis, out *core.Effects) {
	heard := c.leaderHeard(now)
	switch {
	case heard && c.leaderSince == 0:
		c.leaderSince = now
	case !heard && c.leaderSince != 0:
		c.leaderSince = 0
		out.Logf("quorum", "No contact with a leader; notifying %d entry hosts.", len(c.entries))
		for _, name := range sortedNames(c.entries) {
			c.sendUpdate(now, c.entries[name], out)
		}
	}
}

// Ready reports whether the host has a configuration to pass on.
func (c *Control) Ready() bool {
	return c.store.Published().Document.Version > 0
}
