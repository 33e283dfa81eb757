package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// Timing of an entry host. It allows for two switches of the control host within the 2.5 s in which a
// configuration has to be in force.
const (
	// EntryTickInterval is how often the driver calls Tick.
	EntryTickInterval = 50 * core.Millisecond
	// reportInterval keeps a control host with 66 entry hosts, its part of 1,200, within 1.2% of a core and 30
	// KB/s; changes are sent at once.
	reportInterval = 800 * core.Millisecond
	// maxReportJitter keeps the reports of many hosts that heard of a change at the same time from staying in step.
	maxReportJitter = 100 * core.Millisecond
	// maxUpdateTimeout is more than two report intervals.
	maxUpdateTimeout = 2 * core.Second
	// contactTimeout is the time without an update after which a host may have missed a change.
	contactTimeout = maxUpdateTimeout
	// initialUpdateTimeout applies until a control host has answered: a few round trips between regions, with a
	// new connection.
	initialUpdateTimeout = 500 * core.Millisecond
	// controlRetryDelay keeps a control host that failed from being tried again at once.
	controlRetryDelay   = 3 * core.Second
	nearerProbeInterval = 3 * core.Second
	// maxNearerProbeDelay spreads the probes of hosts that learn of the control hosts at the same time.
	maxNearerProbeDelay = 300 * core.Millisecond
	// initialLeaderProbeDelay is the delay from the first probe for a leader to the second. It doubles with
	// each further probe: a leader that no host hears is no reason for new connections.
	initialLeaderProbeDelay = 500 * core.Millisecond
	maxLeaderProbeDelay     = 5 * core.Second
	// leaderProbeFanout is how many hosts are probed at once. In a partition into halves, two of them are both
	// on the side of the current one in at most one case of six.
	leaderProbeFanout = 3
	// zoneReturnPeriod is longer than the time for which a returning availability zone counts as cold.
	zoneReturnPeriod = 5 * core.Second
	// staleRowPeriod is longer than the list goes on to show an endpoint that has ended as it was before.
	staleRowPeriod = 10 * core.Second
)

// Entry is the state machine by which an entry host follows the state in force. Set the exported fields before
// Start; calls must not overlap.
type Entry struct {
	EntryHost
	Rand *rand.Rand
	// Seeds names the control hosts that are known at the start.
	Seeds []string
	// RequestCapacity and ByteCapacity are the traffic per second that the host should have at most in order to bear a
	// burst; 0 means that it is not known.
	RequestCapacity float64
	ByteCapacity    float64
	// Traffic is what callers and this host have sent each other so far; the driver updates it.
	Traffic Traffic

	// load is the load between the latest reports, measuredAt and measured are the time and the traffic at the latest
	// one.
	load       uint32
	measuredAt core.Millis
	measured   Traffic
	controls   []ControlHost
	// currentSeeds are the seeds of the current settings.
	currentSeeds []string
	// controlsProcess and controlsNumber identify the list of control hosts that is held: its sender's process,
	// and its number.
	controlsProcess uint64
	controlsNumber  uint64
	currentControl  string
	heardAt         core.Millis
	// contactAt is when a control host could last know of all changes and has told this host so.
	contactAt core.Millis
	// pingInterval is how often this host sends pings, 0 while its control host answers none; the next one is due at pingAt.
	pingInterval core.Millis
	pingAt       core.Millis
	// askedAt is when this host last sent its control host a report or ping, answeredAt when it sent the latest one that was
	// answered, and otherAskedAt when it last sent another control host a ping.
	askedAt, answeredAt, otherAskedAt core.Millis
	// returned holds the evacuations that ended lately, as of the latest update, which came at returnedAt.
	returned   []ZoneReturn
	returnedAt core.Millis
	// updateTimeout is how long the current control host may be silent.
	updateTimeout core.Millis
	// leaderless is set while the current control host hears no leader. Others are probed at leaderProbeAt, and
	// again after leaderProbeDelay.
	leaderless bool
	// leaderSeen is set once this process has learned of a leader.
	leaderSeen       bool
	leaderProbeAt    core.Millis
	leaderProbeDelay core.Millis
	retryAt          map[string]core.Millis
	reportAt         core.Millis
	// reportedAt is when this host last reported to its control host.
	reportedAt    core.Millis
	nearerProbeAt core.Millis
	index         uint64
	document      routes.Document
	evacuated     []string
	// evacuationEndedAt is when the latest evacuation ended.
	evacuationEndedAt core.Millis
	list              roster.Replica
	counts            EntryCounts
	// zonePeak is the largest number of entry hosts of the zone that this process was told, 0 while none is known.
	zonePeak int
	// quarantined and suspects are those of the control hosts; quarantineIndex identifies the former.
	quarantined     []crash.Quarantine
	quarantineIndex uint64
	suspects        []crash.Digest
	// ended holds the ends of endpoints that this host or others saw.
	ended crash.Relay
	// latestEndAt is when the latest of them was seen.
	latestEndAt core.Millis
	// peers is what this host knows of other entry hosts.
	peers Peers
	// relay holds the reports of crashes and answers that are sent, ownCrashes this host's crashes, and ownQuarantined
	// what this host decided by them while it reached no control host.
	relay          crash.Relay
	ownCrashes     crash.Table
	ownQuarantined []crash.Quarantine
}

// Start selects the first control host.
func (e *Entry) Start(now core.Millis) {
	e.retryAt = map[string]core.Millis{}
	e.currentSeeds = e.Seeds
	e.restoreSeeds()
	e.ReportsLoad = e.RequestCapacity > 0 && e.ByteCapacity > 0
	e.measuredAt = now
	e.nearerProbeAt = now + nearerProbeInterval
	e.updateTimeout = initialUpdateTimeout
	e.selectControl(now, "")
}

// distance returns the distance to a control host: 0 in the same availability zone, 1 in the same region, 2 in
// another region, 3 if unknown.
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

// selectControl selects another control host: the nearest that has not failed recently.
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
		e.currentControl = all[0].Name
	}
	e.heardAt, e.leaderless = now, false
	e.reportAt = now
}

// Tick does what is due; the driver calls it every EntryTickInterval.
func (e *Entry) Tick(now core.Millis) core.Effects {
	out := &core.Effects{}
	if now-e.heardAt > e.updateTimeout {
		failed := e.currentControl
		e.restoreSeeds()
		e.selectControl(now, failed)
		out.Logf("control", "Control host %s not heard for more than %s; now reporting to %s.", failed, e.updateTimeout, e.currentControl)
		e.updateTimeout = min(2*e.updateTimeout, maxUpdateTimeout)
	}
	if e.leaderless && now >= e.leaderProbeAt {
		e.probeOthers(now, out)
	}
	if now >= e.reportAt {
		e.report(now, e.currentControl, false, out)
	}
	if e.pingInterval > 0 && now >= e.pingAt {
		e.sendPing(now, out)
	}
	if e.pingInterval > 0 && e.isUnanswered(now) {
		e.pingOther(now, out)
	}
	if now >= e.nearerProbeAt {
		e.probeNearer(now, out)
	}
	return *out
}

// report sends a control host a report of this host and of the state that it holds.
func (e *Entry) report(now core.Millis, to string, probe bool, out *core.Effects) {
	if !probe {
		e.reportAt = now + reportInterval - core.Millis(e.Rand.Int64N(int64(maxReportJitter)))
		e.pingAt, e.askedAt, e.reportedAt = now+e.pingInterval, now, now
	}
	if to == "" {
		return
	}
	r := &Report{
		EntryHost: e.EntryHost, Index: e.index, Version: e.document.Version,
		ListProcess: e.list.Process(), ListNumber: e.list.Number(), ControlsProcess: e.controlsProcess, ControlsNumber: e.controlsNumber, Probe: probe,
		Load: e.currentLoad(now), QuarantineIndex: e.quarantineIndex, PeersNumber: e.peers.Number, SentAt: now,
	}
	if !probe {
		r.Crashes, r.Served = e.relay.Reports(now)
		r.Ended = e.relay.Ended(now)
	}
	out.Send(to, r)
}

// probeNearer probes a nearer control host, which becomes the current one when it answers.
func (e *Entry) probeNearer(now core.Millis, out *core.Effects) {
	e.nearerProbeAt = now + nearerProbeInterval
	if best := e.nearest(now); e.distance(best) < e.distance(e.controlByName(e.currentControl)) {
		e.report(now, best.Name, true, out)
	}
}

// nearest returns the nearest control host that has not failed recently.
func (e *Entry) nearest(now core.Millis) (best ControlHost) {
	for _, c := range e.controls {
		if e.retryAt[c.Name] <= now && (best.Name == "" || e.distance(c) < e.distance(best)) {
			best = c
		}
	}
	return best
}

// controlByName returns the control host of that name; its region and zone are empty until they are known.
func (e *Entry) controlByName(name string) ControlHost {
	for _, c := range e.controls {
		if c.Name == name {
			return c
		}
	}
	return ControlHost{Name: name}
}

// Receive handles a message from a control host. It reports whether the host's View may have changed.
func (e *Entry) Receive(now core.Millis, from string, message core.Message) (changed bool, effects core.Effects) {
	out := &core.Effects{}
	if m, ok := message.(*Ping); ok {
		e.onPing(now, from, m, out)
		return false, *out
	}
	u, ok := message.(*Update)
	if !ok {
		return false, effects
	}
	e.leaderSeen = e.leaderSeen || u.LeaderHeard
	e.applyControls(now, u)
	if from != e.currentControl {
		e.considerSwitch(now, from, u, out)
	}
	if from == e.currentControl {
		e.heardAt, e.updateTimeout = now, maxUpdateTimeout
		if !u.ProbeAnswer {
			e.recordContact(now, from, knowledge{u.ReportSentAt, u.LeaderHeard, u.LeaderAge, u.MajorityAge}, out)
			e.pingInterval = u.PingInterval
			e.recordAnswer(from, u.ReportSentAt)
		}
		e.recordLeader(now, u)
	}
	if u.ProbeAnswer {
		return false, *out
	}
	return e.apply(now, from, u, out), *out
}

// accepts reports whether an update is accepted: one from a control host that hears the leader, or any until a
// leader is known.
func (e *Entry) accepts(u *Update) bool {
	return u.LeaderHeard || !e.leaderSeen
}

// applyControls stores the control hosts of an update, and schedules a probe when one of them is nearer than
// the current one.
func (e *Entry) applyControls(now core.Millis, u *Update) {
	if len(u.Controls) == 0 || !e.accepts(u) {
		return
	}
	e.controls, e.controlsProcess, e.controlsNumber = u.Controls, u.Process, u.ControlsNumber
	if e.distance(e.nearest(now)) < e.distance(e.controlByName(e.currentControl)) {
		e.nearerProbeAt = min(e.nearerProbeAt, now+core.Millis(e.Rand.Int64N(int64(maxNearerProbeDelay))))
	}
}

// considerSwitch switches to a control host that hears the leader when it is nearer than the current one, or
// when the current one hears no leader. Until a leader is known, a nearer one that has lost its disk is not
// preferred.
func (e *Entry) considerSwitch(now core.Millis, from string, u *Update, out *core.Effects) {
	nearer := e.distance(e.controlByName(from)) < e.distance(e.controlByName(e.currentControl))
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
		e.retryAt[e.currentControl] = now + controlRetryDelay
	}
	out.Logf("control", "Now reporting to %s, which %s, instead of %s.", from, reason, e.currentControl)
	out.Send(e.currentControl, &Report{EntryHost: e.EntryHost, Left: true, SentAt: now})
	e.currentControl, e.leaderless = from, false
	e.heardAt, e.reportAt = now, now
}

// recordLeader records whether the current control host hears the leader, and schedules probes of others when it
// no longer does.
func (e *Entry) recordLeader(now core.Millis, u *Update) {
	if !u.LeaderHeard && !e.leaderless {
		e.leaderProbeAt, e.leaderProbeDelay = now, initialLeaderProbeDelay
		if e.index == 0 {
			// A deployment that starts has no leader yet, and all its hosts know the same few control hosts.
			e.leaderProbeAt = now + initialUpdateTimeout
		}
	}
	e.leaderless = !u.LeaderHeard
}

// probeOthers probes some other control hosts: whether they hear the leader, and which version they hold.
func (e *Entry) probeOthers(now core.Millis, out *core.Effects) {
	if e.leaderProbeDelay > initialLeaderProbeDelay {
		e.restoreSeeds()
	}
	e.leaderProbeAt = now + e.leaderProbeDelay
	e.leaderProbeDelay = min(2*e.leaderProbeDelay, maxLeaderProbeDelay)
	probed := 0
	for _, i := range e.Rand.Perm(len(e.controls)) {
		if name := e.controls[i].Name; name != e.currentControl && probed < leaderProbeFanout {
			e.report(now, name, true, out)
			probed++
		}
	}
	out.Logf("control", "Control host %s has no contact with a leader; probing %d others.", e.currentControl, probed)
}

// apply applies the parts of an update that are newer than the state held here, and reports whether the View may
// have changed. Versions and indexes never go back.
func (e *Entry) apply(now core.Millis, from string, u *Update, out *core.Effects) bool {
	changed := e.applyQuarantines(u)
	ended := e.applyEnded(now, u)
	changed = e.applyPeers(u) || changed
	if u.Document != nil && u.Document.Version > e.document.Version {
		e.document = *u.Document
		changed = true
	}
	if len(u.Evacuated) < len(e.evacuated) {
		e.evacuationEndedAt = now
	}
	e.applyReturned(now, u)
	if u.Index > e.index && u.Version <= e.document.Version {
		e.index, e.evacuated = u.Index, u.Evacuated
		changed = true
		out.Logf("config", "Applied version %d, evacuated %v, index %d from %s.", e.document.Version, e.evacuated, e.index, from)
	}
	e.applyCounts(u)
	if u.Endpoints == nil {
		return changed || ended
	}
	if err := u.Endpoints.Unpack(); err != nil {
		out.Logf("list", "Cannot unpack the list from %s: %v.", from, err)
		return changed || ended
	}
	newer := u.Endpoints.Process == e.list.Process() || u.Endpoints.Age < e.list.Age(now) || e.list.Process() == 0
	number, readAt := e.list.Number(), now-e.list.Age(now)
	if newer && e.list.Apply(now, u.Endpoints) && (u.Endpoints.From == 0 || e.list.Number() != number) {
		changed = true
	}
	if changed {
		e.reportAt = now
	}
	// While a zone returns from its evacuation or an endpoint has ended, the decisions also depend on the age of the list.
	return changed || ended || now-e.evacuationEndedAt < zoneReturnPeriod || readAt <= e.latestEndAt+staleRowPeriod
}

// SetReady sets whether this host serves, and reports a change to the control host at once.
func (e *Entry) SetReady(now core.Millis, ready bool) core.Effects {
	out := &core.Effects{}
	if e.Ready != ready {
		e.Ready = ready
		e.report(now, e.currentControl, false, out)
	}
	return *out
}

// CurrentControl returns the name of the control host that this host reports to.
func (e *Entry) CurrentControl() string {
	return e.currentControl
}
