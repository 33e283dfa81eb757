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
	// EntryTick is how often the driver calls Tick.
	EntryTick = 50 * core.Millisecond
	// reportEvery keeps a control host with 66 entry hosts, a share of 1,200, within 1.2% of a core and 30 KB/s; what changes is sent at once.
	reportEvery = 800 * core.Millisecond
	// controlSilent is more than two reports without an update.
	controlSilent = 2 * core.Second
	// strangeSilent is for a host that no control host has answered yet: some ways between regions, with a new connection.
	strangeSilent = 500 * core.Millisecond
	// avoidFor keeps a control host that failed from being tried again at once.
	avoidFor    = 3 * core.Second
	betterEvery = 3 * core.Second
	// betterSoon spreads the turns of hosts that learn of the control hosts at the same time.
	betterSoon = 300 * core.Millisecond
	// unledAskFirst is how long after the first question others are asked again whether they hear a leader; each further time waits twice as long, since a leader that no host hears is no reason for new connections.
	unledAskFirst = 500 * core.Millisecond
	unledAskMost  = 5 * core.Second
	// unledAsked is how many are asked at once: with a cut in halves, two of them are on the side of the current one in one case of six or less.
	unledAsked = 3
	// returningFor is longer than a zone that returns counts as cold.
	returningFor = 5 * core.Second
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
	// silentMost is how long the current control host may be silent.
	silentMost core.Millis
	// unled tells that the current control host hears no leader; others are asked again at askAt, and then after askWait.
	unled bool
	// led tells that this process has heard of a leader.
	led       bool
	askAt     core.Millis
	askWait   core.Millis
	avoid     map[string]core.Millis
	reportAt  core.Millis
	betterAt  core.Millis
	index     uint64
	document  routes.Document
	evacuated []string
	// returnedAt is when an evacuation ended last.
	returnedAt core.Millis
	list       roster.Replica
	counts     EntryCounts
}

// Start begins to look for a control host.
func (e *Entry) Start(now core.Millis) {
	e.avoid = map[string]core.Millis{}
	for _, name := range e.Seeds {
		e.controls = append(e.controls, ControlHost{Name: name})
	}
	e.betterAt = now + betterEvery
	e.silentMost = strangeSilent
	e.change(now, "")
}

// rank orders control hosts by their distance.
func (e *Entry) rank(c ControlHost) int {
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

// change picks another control host: the nearest that did not fail a moment ago.
func (e *Entry) change(now core.Millis, failed string) {
	if failed != "" {
		e.avoid[failed] = now + avoidFor
	}
	all := slices.Clone(e.controls)
	e.Rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b ControlHost) int {
		avoidA, avoidB := e.avoid[a.Name] > now, e.avoid[b.Name] > now
		if avoidA != avoidB {
			if avoidA {
				return 1
			}
			return -1
		}
		return cmp.Compare(e.rank(a), e.rank(b))
	})
	if len(all) > 0 {
		e.current = all[0].Name
	}
	e.heard, e.unled = now, false
	e.reportAt = now
}

// Tick carries out what is due; the driver calls it every EntryTick.
func (e *Entry) Tick(now core.Millis) core.Effects {
	out := &core.Effects{}
	if now-e.heard > e.silentMost {
		failed := e.current
		e.change(now, failed)
		out.Logf("control", "Host %s was not heard for %s; reports to %s.", failed, e.silentMost, e.current)
		e.silentMost = min(2*e.silentMost, controlSilent)
	}
	if e.unled && now >= e.askAt {
		e.askOthers(now, out)
	}
	if now >= e.reportAt {
		e.report(now, e.current, false, out)
	}
	if now >= e.betterAt {
		e.tryBetter(now, out)
	}
	return *out
}

// report tells a control host what this host is and holds.
func (e *Entry) report(now core.Millis, to string, probe bool, out *core.Effects) {
	if !probe {
		e.reportAt = now + reportEvery
	}
	if to == "" {
		return
	}
	out.Send(to, &Report{
		EntryHost: e.EntryHost, Index: e.index, Version: e.document.Version,
		ListProcess: e.list.Process(), ListNumber: e.list.Number(), ControlsOf: e.controlsOf, ControlsNumber: e.controlsNumber, Probe: probe,
	})
}

// tryBetter reports to a nearer control host too, which becomes the current one when it answers.
func (e *Entry) tryBetter(now core.Millis, out *core.Effects) {
	e.betterAt = now + betterEvery
	if best := e.nearest(now); e.rank(best) < e.rank(e.hostNamed(e.current)) {
		e.report(now, best.Name, true, out)
	}
}

// nearest returns the nearest control host that did not fail a moment ago.
func (e *Entry) nearest(now core.Millis) (best ControlHost) {
	for _, c := range e.controls {
		if e.avoid[c.Name] <= now && (best.Name == "" || e.rank(c) < e.rank(best)) {
			best = c
		}
	}
	return best
}

// hostNamed returns a control host with its place, which is empty before it is known.
func (e *Entry) hostNamed(name string) ControlHost {
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
	e.led = e.led || u.LeaderHeard
	e.takeControls(now, u)
	if from != e.current {
		e.considerSwitch(now, from, u, out)
	}
	if from == e.current {
		e.heard, e.silentMost = now, controlSilent
		e.noteLeader(now, u)
	}
	if u.Bare {
		return false, *out
	}
	return e.take(now, from, u, out), *out
}

// follows tells whether to go by an update: one of a control host that hears the leader, or any as long as no leader was heard of.
func (e *Entry) follows(u *Update) bool {
	return u.LeaderHeard || !e.led
}

// takeControls takes the control hosts that a host knows, and soon turns to a nearer one.
func (e *Entry) takeControls(now core.Millis, u *Update) {
	if len(u.Controls) == 0 || !e.follows(u) {
		return
	}
	e.controls, e.controlsOf, e.controlsNumber = u.Controls, u.Process, u.ControlsNumber
	if e.rank(e.nearest(now)) < e.rank(e.hostNamed(e.current)) {
		e.betterAt = min(e.betterAt, now+core.Millis(e.Rand.Int64N(int64(betterSoon))))
	}
}

// considerSwitch changes to a control host that hears the leader when it is nearer than the current one, or when that hears none. Before there is a leader, one that has lost its disk is no better for being near.
func (e *Entry) considerSwitch(now core.Millis, from string, u *Update, out *core.Effects) {
	nearer := e.rank(e.hostNamed(from)) < e.rank(e.hostNamed(e.current))
	reason := ""
	switch {
	case nearer && (u.LeaderHeard || !e.led && u.Version >= e.document.Version):
		reason = "is nearer"
	case e.unled && u.LeaderHeard:
		reason = "hears the leader"
	case !e.led && u.Version > e.document.Version:
		reason = "holds a newer version"
	default:
		return
	}
	if !nearer {
		e.avoid[e.current] = now + avoidFor
	}
	out.Logf("control", "Reports to %s, which %s, in place of %s.", from, reason, e.current)
	out.Send(e.current, &Report{EntryHost: e.EntryHost, Left: true})
	e.current, e.unled = from, false
	e.heard, e.reportAt = now, now
}

// noteLeader takes whether the current control host hears the leader; when it no longer does, others are asked.
func (e *Entry) noteLeader(now core.Millis, u *Update) {
	if !u.LeaderHeard && !e.unled {
		e.askAt, e.askWait = now, unledAskFirst
		if e.index == 0 {
			// A deployment that starts has no leader yet, and all its hosts know the same few control hosts.
			e.askAt = now + strangeSilent
		}
	}
	e.unled = !u.LeaderHeard
}

// askOthers asks some other control hosts whether they hear the leader, and which version they hold.
func (e *Entry) askOthers(now core.Millis, out *core.Effects) {
	e.askAt = now + e.askWait
	e.askWait = min(2*e.askWait, unledAskMost)
	asked := 0
	for _, i := range e.Rand.Perm(len(e.controls)) {
		if name := e.controls[i].Name; name != e.current && asked < unledAsked {
			e.report(now, name, true, out)
			asked++
		}
	}
	out.Logf("control", "Host %s hears no leader; asks %d others.", e.current, asked)
}

// take brings into force what an update holds beyond what is held; nothing ever goes back.
func (e *Entry) take(now core.Millis, from string, u *Update, out *core.Effects) bool {
	changed := false
	if u.Document != nil && u.Document.Version > e.document.Version {
		e.document = *u.Document
		changed = true
	}
	if len(u.Evacuated) < len(e.evacuated) {
		e.returnedAt = now
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
	return changed || now-e.returnedAt < returningFor
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

// Current returns the control host that this one reports to.
func (e *Entry) Current() string {
	return e.current
}
