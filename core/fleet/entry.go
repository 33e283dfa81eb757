package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// Lengths of time of an entry host. They leave time for two changes of the control host within the 2.5 s in which a configuration has to be in force.
const (
	// EntryTickInterval is how often the driver calls Tick.
	EntryTickInterval = 50 * core.Millisecond
	// reportInterval keeps a control host with 66 entry hosts, a share of 1,200, within 1.2% of a core and 30 KB/s; what changes is sent at once.
	reportInterval = 800 * core.Millisecond
	// maxUpdateTimeout is more than two reports without an update.
	maxUpdateTimeout = 2 * core.Second
	// initialUpdateTimeout is for a host that no control host has answered yet: some ways between regions, with a new connection.
	initialUpdateTimeout = 500 * core.Millisecond
	// controlRetryDelay keeps a control host that failed from being tried again at once.
	controlRetryDelay   = 3 * core.Second
	nearerProbeInterval = 3 * core.Second
	// maxNearerProbeDelay spreads the turns of hosts that learn of the control hosts at the same time.
	maxNearerProbeDelay = 300 * core.Millisecond
	// initialLeaderProbeDelay is how long after the first question others are asked again whether they hear a leader; each further time waits twice as long, since a leader that no host hears is no reason for new connections.
	initialLeaderProbeDelay = 500 * core.Millisecond
	maxLeaderProbeDelay     = 5 * core.Second
	// leaderProbeFanout is how many are asked at once: with a cut in halves, two of them are on the side of the current one in one case of six or less.
	leaderProbeFanout = 3
	// zoneReturnPeriod is longer than a zone that returns counts as cold.
	zoneReturnPeriod = 5 * core.Second
)

// Entry is an entry host's knowledge of what is in force. Set the exported fields before Start; calls must not overlap.
type Entry struct {
	EntryHost
	Rand *rand.Rand
	// Seeds names the control hosts that are known at the start.
	Seeds []string

	controls []ControlHost
	// controlsOf and controlsNumber are those of the list of control hosts that is held.
	controlsOf     uint64
	controlsNumber uint64
	current        string
	heard          core.Millis
	// updateTimeout is how long the current control host may be silent.
	updateTimeout core.Millis
	// leaderless tells that the current control host hears no leader; others are asked again at askAt, and then after askWait.
	leaderless bool
	// leaderSeen tells that this process has heard of a leader.
	leaderSeen       bool
	leaderProbeAt    core.Millis
	leaderProbeDelay core.Millis
	retryAt          map[string]core.Millis
	reportAt         core.Millis
	nearerProbeAt    core.Millis
	index            uint64
	document         routes.Document
	evacuated        []string
	// evacuationEndedAt is when an evacuation ended last.
	evacuationEndedAt core.Millis
	list              roster.Copy
	counts            EntryCounts
}

// Start begins to look for a control host.
func (e *Entry) Start(now core.Millis) {
	e.retryAt = map[string]core.Millis{}
	for _, name := range e.Seeds {
		e.controls = append(e.controls, ControlHost{Name: name})
	}
	e.nearerProbeAt = now + nearerProbeInterval
	e.updateTimeout = initialUpdateTimeout
	e.selectControl(now, "")
}

// distance orders control hosts by their distance.
func (e *Entry) distance(c ControlHost) int {
	switch {
	case c.Zone == e.Zone:
		return 0
	case c.Region == e.Region:
		return 1
	case c.Zone != "":
		return 2
	}
	return 3
}

// selectControl picks another control host: the nearest that did not fail a moment ago.
func (e *Entry) selectControl(now core.Millis, failed string) {
	if failed != "" {
		e.retryAt[failed] = now + controlRetryDelay
	}
	all := slices.Clone(e.controls)
	e.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b ControlHost) int {
		avoidA, avoidB := e.retryAt[a.Name] > now, e.retryAt[b.Name] > now
		if avoidA != avoidB {
			if avoidA {
				return 1
			}
			return -1
		}
		return cmp.Compare(e.distance(a), e.distance(b))
	})
	if len(all) > 0 {
		e.current = all[0].Name
	}
	e.heard, e.leaderless = now, false
	e.reportAt = now
}

// Tick carries out what is due; the driver calls it every EntryTick.
func (e *Entry) Tick(now core.Millis) core.Effects {
	out := &core.Effects{}
	if now-e.heard > e.updateTimeout {
		failed := e.current
		e.selectControl(now, failed)
		out.Logf("control", "Host %s was not heard for %s; reports to %s.", failed, e.updateTimeout, e.current)
		e.updateTimeout = min(2*e.updateTimeout, maxUpdateTimeout)
	}
	if e.leaderless && now >= e.leaderProbeAt {
		e.probeOthers(now, out)
	}
	if now >= e.reportAt {
		e.report(now, e.current, false, out)
	}
	if now >= e.nearerProbeAt {
		e.probeNearer(now, out)
	}
	return *out
}

// report tells a control host what this host is and holds.
func (e *Entry) report(now core.Millis, to string, probe bool, out *core.Effects) {
	if !probe {
		e.reportAt = now + reportInterval
	}
	if to == "" {
		return
	}
	out.Send(to, &Report{
		EntryHost: e.EntryHost, Index: e.index, Version: e.document.Version,
		ListProcess: e.list.Process(), ListNumber: e.list.Number(), ControlsProcess: e.controlsOf, ControlsNumber: e.controlsNumber, Probe: probe,
	})
}

// probeNearer reports to a nearer control host too, which becomes the current one when it answers.
func (e *Entry) probeNearer(now core.Millis, out *core.Effects) {
	e.nearerProbeAt = now + nearerProbeInterval
	if best := e.nearest(now); e.distance(best) < e.distance(e.controlByName(e.current)) {
		e.report(now, best.Name, true, out)
	}
}

// nearest returns the nearest control host that did not fail a moment ago.
func (e *Entry) nearest(now core.Millis) (best ControlHost) {
	for _, c := range e.controls {
		if e.retryAt[c.Name] <= now && (best.Name == "" || e.distance(c) < e.distance(best)) {
			best = c
		}
	}
	return best
}

// controlByName returns a control host with its place, which is empty before it is known.
func (e *Entry) controlByName(name string) ControlHost {
	for _, c := range e.controls {
		if c.Name == name {
			return c
		}
	}
	return ControlHost{Name: name}
}

// Receive takes a message from a control host; it returns whether what is in force may have changed.
func (e *Entry) Receive(now core.Millis, from string, message core.Message) (changed bool, effects core.Effects) {
	u, ok := message.(*Update)
	if !ok {
		return false, effects
	}
	out := &core.Effects{}
	e.leaderSeen = e.leaderSeen || u.LeaderHeard
	e.applyControls(now, u)
	if from != e.current {
		e.considerSwitch(now, from, u, out)
	}
	if from == e.current {
		e.heard, e.updateTimeout = now, maxUpdateTimeout
		e.noteLeader(now, u)
	}
	if u.ProbeAnswer {
		return false, *out
	}
	return e.apply(now, from, u, out), *out
}

// accepts tells whether to go by an update: one of a control host that hears the leader, or any as long as no leader was heard of.
func (e *Entry) accepts(u *Update) bool {
	return u.LeaderHeard || !e.leaderSeen
}

// applyControls takes the control hosts that a host knows, and soon turns to a nearer one.
func (e *Entry) applyControls(now core.Millis, u *Update) {
	if len(u.Controls) == 0 || !e.accepts(u) {
		return
	}
	e.controls, e.controlsOf, e.controlsNumber = u.Controls, u.Process, u.ControlsNumber
	if e.distance(e.nearest(now)) < e.distance(e.controlByName(e.current)) {
		e.nearerProbeAt = min(e.nearerProbeAt, now+core.Millis(e.Rand.Int64N(int64(maxNearerProbeDelay))))
	}
}

// considerSwitch changes to a control host that hears the leader when it is nearer than the current one, or when that hears none. Before there is a leader, one that has lost its disk is no better for being near.
func (e *Entry) considerSwitch(now core.Millis, from string, u *Update, out *core.Effects) {
	nearer := e.distance(e.controlByName(from)) < e.distance(e.controlByName(e.current))
	reason := ""
	switch {
	case nearer && (u.LeaderHeard || !e.leaderSeen && u.Version >= e.document.Version):
		reason = "is nearer"
	case e.leaderless && u.LeaderHeard:
		reason = "hears the leader"
	case !e.leaderSeen && u.Version > e.document.Version:
		reason = "holds a newer version"
	default:
		return
	}
	if !nearer {
		e.retryAt[e.current] = now + controlRetryDelay
	}
	out.Logf("control", "Reports to %s, which %s, in place of %s.", from, reason, e.current)
	out.Send(e.current, &Report{EntryHost: e.EntryHost, Left: true})
	e.current, e.leaderless = from, false
	e.heard, e.reportAt = now, now
}

// noteLeader takes whether the current control host hears the leader; when it no longer does, others are asked.
func (e *Entry) noteLeader(now core.Millis, u *Update) {
	if !u.LeaderHeard && !e.leaderless {
		e.leaderProbeAt, e.leaderProbeDelay = now, initialLeaderProbeDelay
		if e.index == 0 {
			// A deployment that starts has no leader yet, and all its hosts know the same few control hosts.
			e.leaderProbeAt = now + initialUpdateTimeout
		}
	}
	e.leaderless = !u.LeaderHeard
}

// probeOthers asks some other control hosts whether they hear the leader, and which version they hold.
func (e *Entry) probeOthers(now core.Millis, out *core.Effects) {
	e.leaderProbeAt = now + e.leaderProbeDelay
	e.leaderProbeDelay = min(2*e.leaderProbeDelay, maxLeaderProbeDelay)
	asked := 0
	for _, i := range e.Rand.Perm(len(e.controls)) {
		if name := e.controls[i].Name; name != e.current && asked < leaderProbeFanout {
			e.report(now, name, true, out)
			asked++
		}
	}
	out.Logf("control", "Host %s hears no leader; asks %d others.", e.current, asked)
}

// apply brings into force what an update holds beyond what is held; nothing ever goes back.
func (e *Entry) apply(now core.Millis, from string, u *Update, out *core.Effects) bool {
	changed := false
	if u.Document != nil && u.Document.Version > e.document.Version {
		e.document = *u.Document
		changed = true
	}
	if len(u.Evacuated) < len(e.evacuated) {
		e.evacuationEndedAt = now
	}
	if u.Index > e.index && u.Version <= e.document.Version {
		e.index, e.evacuated = u.Index, u.Evacuated
		changed = true
		out.Logf("config", "Takes version %d, evacuated %v, index %d from %s.", e.document.Version, e.evacuated, e.index, from)
	}
	e.counts = u.Entries
	if u.Endpoints == nil {
		return changed
	}
	if err := u.Endpoints.Unpack(); err != nil {
		out.Logf("list", "The list from %s can't be read: %v.", from, err)
		return changed
	}
	newer := u.Endpoints.Process == e.list.Process() || u.Endpoints.Age < e.list.Age(now) || e.list.Process() == 0
	number := e.list.Number()
	if newer && e.list.Apply(now, u.Endpoints) && (u.Endpoints.From == 0 || e.list.Number() != number) {
		changed = true
	}
	if changed {
		e.reportAt = now
	}
	// While a zone returns from its evacuation, the age of the list decides too.
	return changed || now-e.evacuationEndedAt < zoneReturnPeriod
}

// View is what an entry host's requests are decided by.
type View struct {
	Index     uint64
	Document  routes.Document
	Evacuated []string
	Endpoints []roster.Entry
	// ListKnown is false before the first list.
	ListKnown bool
	ListAge   core.Millis
	Entries   EntryCounts
}

// View returns what is in force here.
func (e *Entry) View(now core.Millis) View {
	return View{
		Index: e.index, Document: e.document, Evacuated: e.evacuated, Endpoints: e.list.Entries(),
		ListKnown: e.list.Process() != 0, ListAge: e.list.Age(now),
		Entries: EntryCounts{Zone: max(1, e.counts.Zone), Region: max(1, e.counts.Region), All: max(1, e.counts.All)},
	}
}

// AddSeeds takes further control hosts, which changed settings name.
func (e *Entry) AddSeeds(_ core.Millis, names []string) core.Effects {
	out := &core.Effects{}
	for _, name := range names {
		if !slices.ContainsFunc(e.controls, func(c ControlHost) bool { return c.Name == name }) {
			e.controls = append(slices.Clone(e.controls), ControlHost{Name: name})
		}
	}
	out.Logf("host", "Reloads its settings: seeds %v.", names)
	return *out
}

// SetReady tells the control hosts at once whether this host serves.
func (e *Entry) SetReady(now core.Millis, ready bool) core.Effects {
	out := &core.Effects{}
	if e.Ready != ready {
		e.Ready = ready
		e.report(now, e.current, false, out)
	}
	return *out
}

// CurrentControl returns the control host that this one reports to.
func (e *Entry) CurrentControl() string {
	return e.current
}
