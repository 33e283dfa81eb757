package fleet

import (
	"maps"
	"slices"

	"clementinelock/core"
	"clementinelock/core/quorum"
)

func (c *Control) onReport(now core.Millis, from string, m *Report, out *core.Effects) {
	if m.Probe {
		u := &Update{Process: c.Process, ProbeAnswer: true, LeaderHeard: c.leaderHeard(now), Version: c.store.Published().Document.Version}
		c.addControls(m, u)
		out.Send(from, u)
		return
	}
	e := c.entries[from]
	if e != nil && (e.Process > m.Process || e.Process == m.Process && isOlder(m.SentAt, e.SentAt)) {
		return
	}
	if m.Left {
		c.onLeft(now, e, m, out)
		return
	}
	if e == nil {
		e = &entryState{firstAt: now}
		c.entries[from] = e
		out.Logf("entries", "Entry host %s now reports here.", from)
	}
	changed, cutChanged := e.EntryHost != m.EntryHost || e.outdated(), e.Cut != m.Cut
	if e.Process != m.Process {
		e.sentVersion, e.sentListNumber = 0, 0
		e.firstAt = now
	}
	e.Report, e.heardAt = *m, now
	// The sender's name is that of the connection, not that in the message.
	e.Name = from
	if changed {
		c.entriesNumber++
		c.readyCached = false
		c.shareAt = min(c.shareAt, now+shareBatchDelay)
		if cutChanged {
			c.shareAt = min(c.shareAt, now+cutBatchDelay)
		}
	}
	c.relayReports(now, m, out)
	c.sendUpdate(now, e, out)
}

// isOlder reports whether a message that a process sent at one time is older than one that it sent at another, by its clock. A time
// of 0, of older builds, is not known.
func isOlder(sentAt, latest core.Millis) bool {
	return sentAt != 0 && sentAt < latest
}

// onLeft stops updates to an entry host that reports elsewhere. A ready one stays listed for callers until the
// other control host has announced it. What is known here of one that was not ready is kept only against older reports.
func (c *Control) onLeft(now core.Millis, e *entryState, m *Report, out *core.Effects) {
	if e == nil {
		return
	}
	e.Left, e.SentAt = true, m.SentAt
	if !e.Ready {
		out.Logf("entries", "Entry host %s, which is not ready, reports to another control host.", e.Name)
		c.entriesNumber++
		c.readyCached = false
		c.shareAt = min(c.shareAt, now+shareBatchDelay)
	}
}

// outdated reports whether the state would hide that the entry host has become ready elsewhere.
func (e *entryState) outdated() bool {
	return e.Left && !e.Ready
}

// removeEntry removes an entry host that no longer reports here.
func (c *Control) removeEntry(e *entryState, out *core.Effects) {
	delete(c.entries, e.Name)
	c.entriesNumber++
	c.readyCached = false
	if e.Left {
		out.Logf("entries", "Entry host %s reports to another control host.", e.Name)
		return
	}
	out.Logf("entries", "Entry host %s removed: not heard for more than %s.", e.Name, entryTimeout)
}

// sendUpdate sends an entry host what it lacks, or an empty update that shows that this host is alive.
func (c *Control) sendUpdate(now core.Millis, e *entryState, out *core.Effects) {
	if e.Left {
		return
	}
	published := c.store.Published()
	u := &Update{
		Process: c.Process, LeaderHeard: c.leaderHeard(now), Index: published.Index, Version: published.Document.Version,
		Evacuated: published.Evacuated,
	}
	c.addControls(&e.Report, u)
	c.addDocument(now, e, u)
	c.addList(now, e, u)
	c.addQuarantines(e, u)
	u.Returned, u.MajorityAge = c.returnedZones(now), c.majorityAge(now)
	u.LeaderAge, u.ReportSentAt, u.PingInterval = c.leaderAge(now), e.SentAt, c.pingInterval()
	c.addPeers(e, u)
	u.Ended = c.ended.Ended(now)
	u.Entries, u.CountsPending = c.countEntries(now, e.EntryHost)
	out.Send(e.Name, u)
}

// addControls adds the control hosts unless the entry host holds the same list.
func (c *Control) addControls(r *Report, u *Update) {
	u.ControlsNumber = c.controlsNumber
	if r.ControlsProcess != c.Process || r.ControlsNumber != c.controlsNumber {
		u.Controls = c.controlHosts()
	}
}

// addDocument adds the document to an update unless the entry host has it or it is in transit.
func (c *Control) addDocument(now core.Millis, e *entryState, u *Update) {
	document := c.store.Published().Document
	inTransit := e.sentVersion == document.Version && now-e.versionSentAt < transferTimeout(len(document.Text))
	if document.Version <= e.Version || inTransit {
		return
	}
	u.Document = &document
	e.sentVersion, e.versionSentAt = document.Version, now
}

// minLinkBytesPerMilli is what the smallest host's link of 2 Mbit/s can carry in addition to its requests.
const minLinkBytesPerMilli = 100

// transferTimeout returns how long a message of that many bytes may be in transit before it counts as lost.
// Resending it sooner would congest a small link permanently.
func transferTimeout(size int) core.Millis {
	return resendTimeout + core.Millis(size/minLinkBytesPerMilli)
}

// resend repeats updates whose document an entry host has not confirmed in time.
func (c *Control) resend(now core.Millis, out *core.Effects) {
	published := c.store.Published()
	for _, name := range sortedNames(c.entries) {
		e := c.entries[name]
		if e.Version < published.Document.Version && now-e.versionSentAt > transferTimeout(len(published.Document.Text)) {
			c.sendUpdate(now, e, out)
		}
	}
}

func (c *Control) controlHosts() []ControlHost {
	hosts := []ControlHost{c.ControlHost}
	for _, name := range sortedNames(c.controls) {
		hosts = append(hosts, c.controls[name].ControlHost)
	}
	return hosts
}

// sendShares sends the other control hosts this one's entry hosts and list.
func (c *Control) sendShares(now core.Millis, out *core.Effects) {
	c.shareAt = now + shareInterval
	if c.readsList && c.quorum.IsLeader() || !c.leaderHeard(now) {
		c.shareAt = now + listShareInterval
	}
	if c.relay.HasNewCrash(now, crashSharePeriod) {
		c.shareAt = min(c.shareAt, now+crashShareInterval)
	}
	names := map[string]bool{}
	for _, name := range c.currentSeeds {
		names[name] = true
	}
	for _, member := range c.quorum.Members() {
		names[member.Name] = true
	}
	for name := range c.controls {
		names[name] = true
	}
	delete(names, c.Name)
	for _, name := range sortedNames(names) {
		c.sendShare(now, name, out)
	}
}

func (c *Control) sendShare(now core.Millis, name string, out *core.Effects) {
	s := &Share{ControlHost: c.ControlHost, Process: c.Process, SentAt: now, Number: c.entriesNumber, Loads: c.zoneLoads()}
	s.Crashes, s.Served = c.relay.Reports(now)
	s.Ended = c.relay.Ended(now)
	if other := c.controls[name]; other != nil {
		s.AckProcess, s.AckNumber = other.process, other.entriesNumber
		s.ListProcess, s.ListNumber = other.list.Process(), other.list.Number()
		s.Full = other.ackNumber != c.entriesNumber
		if c.sharesList() {
			s.ListInterval = c.readInterval()
			s.Endpoints = c.list.Since(now, other.deltaBase[0], other.deltaBase[1])
			if s.Endpoints != nil && s.Endpoints.From != s.Endpoints.Number {
				other.listDueAt = max(other.listDueAt, now+transferTimeout(s.Endpoints.Size()))
			}
			// A lost message shows by the acknowledged number in a later message, once the transfer is overdue.
			other.deltaBase = [2]uint64{c.Process, c.list.Number()}
		}
	} else {
		s.Full = true
	}
	if s.Full {
		s.Peaks = c.zonePeaks(now)
		for _, entry := range sortedNames(c.entries) {
			if e := c.entries[entry]; !e.outdated() {
				s.Entries = append(s.Entries, e.EntryHost)
			}
		}
	}
	out.Send(name, s)
}

func (c *Control) onShare(now core.Millis, from string, m *Share, out *core.Effects) {
	other := c.controls[from]
	if other == nil {
		other = &controlState{}
		c.controls[from] = other
		out.Logf("controls", "Found control host %s in availability zone %s.", from, m.Zone)
	}
	if other.process > m.Process || other.process == m.Process && isOlder(m.SentAt, other.sentAt) {
		return
	}
	if other.process != m.Process {
		*other = controlState{process: m.Process}
		c.readyCached = false
	}
	if other.ControlHost != m.ControlHost {
		c.controlsNumber++
	}
	other.ControlHost, other.heardAt, other.sentAt, other.loads = m.ControlHost, now, m.SentAt, m.Loads
	c.places[from] = quorum.Place{Region: m.Region, Zone: m.Zone}
	c.applyPeaks(now, m.Peaks)
	c.applyReports(now, m, out)
	if m.Full {
		other.entries, other.entriesNumber = m.Entries, m.Number
		c.readyCached = false
	} else if other.entriesNumber != m.Number {
		other.entriesNumber = 0
	}
	other.ackNumber = 0
	if m.AckProcess == c.Process {
		other.ackNumber = m.AckNumber
	}
	if now >= other.listDueAt {
		other.deltaBase = [2]uint64{m.ListProcess, m.ListNumber}
	}
	if m.Endpoints == nil {
		return
	}
	if err := m.Endpoints.Unpack(); err != nil {
		out.Logf("list", "Cannot unpack the list from %s: %v.", from, err)
		return
	}
	if other.list.Apply(now, m.Endpoints) {
		c.adoptList(now, other, m.ListInterval)
	}
}

// expireHosts removes hosts that have timed out.
func (c *Control) expireHosts(now core.Millis, out *core.Effects) {
	for _, name := range sortedNames(c.entries) {
		if e := c.entries[name]; now-e.heardAt > entryTimeout {
			c.removeEntry(e, out)
		}
	}
	for _, name := range sortedNames(c.controls) {
		if now-c.controls[name].heardAt > controlTimeout {
			delete(c.controls, name)
			c.controlsNumber++
			c.readyCached = false
			out.Logf("controls", "Control host %s removed: not heard for more than %s.", name, controlTimeout)
			c.expirePlaces()
		}
	}
}

// expirePlaces forgets where hosts stand that are neither heard nor members.
func (c *Control) expirePlaces() {
	members := c.quorum.Members()
	maps.DeleteFunc(c.places, func(name string, _ quorum.Place) bool {
		isMember := slices.ContainsFunc(members, func(member quorum.Member) bool { return member.Name == name })
		return !isMember && c.controls[name] == nil && name != c.Name
	})
}

// readyEntries lists the entry hosts that serve, by name. Of a host that is known twice the later process
// counts.
func (c *Control) readyEntries() []EntryHost {
	if !c.readyCached {
		c.ready, c.readyCached = c.findReady(), true
		c.readyVersion++
	}
	return c.ready
}

// findReady merges the entry hosts that report here with those that other control hosts share, and returns the
// ready ones sorted by name.
func (c *Control) findReady() []EntryHost {
	byName := map[string]EntryHost{}
	take := func(e EntryHost) {
		if old, known := byName[e.Name]; !known || old.Process < e.Process || old.Process == e.Process && old.Ready {
			byName[e.Name] = e
		}
	}
	for _, e := range c.entries {
		if !e.outdated() {
			take(e.EntryHost)
		}
	}
	for _, other := range c.controls {
		for _, e := range other.entries {
			take(e)
		}
	}
	var out []EntryHost
	for _, name := range sortedNames(byName) {
		if byName[name].Ready {
			out = append(out, byName[name])
		}
	}
	return out
}
