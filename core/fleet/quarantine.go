package fleet

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/crash"
	"clementinelock/core/edits"
)

// proposalInterval is the time after which the leader proposes a quarantine again that is not committed yet.
const proposalInterval = core.Second

// Shares come more often while the report of a crash is new: each one that is lost costs a third of the time that hosts have to
// quarantine a request.
const (
	crashShareInterval = 400 * core.Millisecond
	crashSharePeriod   = core.Second
)

// endedBatchDelay batches the ends of several endpoints in one message; an endpoint may start again within a second.
const endedBatchDelay = ControlTickInterval

// reportBytes is the encoded size of the report of a crash; that of an end is smaller.
const reportBytes = 36

// transferTimeOf returns how long the smallest host's link carries a message with that many reports. Each message repeats those
// from before, and a report is answered by an update with the same, so that no other one with news follows sooner.
func transferTimeOf(count int) core.Millis {
	return core.Millis(2 * count * reportBytes / minLinkBytesPerMilli)
}

// suspectsInterval is how often a control host looks for requests that are no longer suspects.
const suspectsInterval = core.Second

// recordCrash takes over a report of a crash, and reports whether it is news.
func (c *Control) recordCrash(now core.Millis, report crash.Report) bool {
	news := c.crashes.Record(now, report)
	c.crashNews = c.crashNews || news
	return news
}

// recordServed takes over a report of an answer.
func (c *Control) recordServed(now core.Millis, served crash.Served, out *core.Effects) {
	c.crashNews = c.crashes.Clear(now, served) || c.crashNews
	c.endQuarantine(now, served, out)
}

// relayReports takes over what an entry host reports, and passes it on to the other control hosts.
func (c *Control) relayReports(now core.Millis, m *Report, out *core.Effects) {
	for _, report := range m.Crashes {
		if c.recordCrash(now, report) {
			c.relay.AddCrash(now, report)
			c.shareAt = min(c.shareAt, now+shareBatchDelay)
		}
	}
	for _, served := range m.Served {
		c.recordServed(now, served, out)
		c.relay.AddServed(now, served)
		c.shareAt = min(c.shareAt, now+shareBatchDelay)
	}
	for _, ended := range m.Ended {
		if c.relay.AddEnded(now, ended) {
			c.shareAt = min(c.shareAt, now+max(endedBatchDelay, transferTimeOf(c.relay.EndedLen())))
		}
		c.endedNews = c.ended.AddEnded(now, ended) || c.endedNews
	}
}

// sendEnded tells the entry hosts of endpoints that have ended, before these start again.
func (c *Control) sendEnded(now core.Millis, out *core.Effects) {
	if !c.endedNews || now < c.endedSendAt {
		return
	}
	c.endedNews = false
	c.endedSendAt = now + transferTimeOf(c.ended.EndedLen())
	for _, name := range sortedNames(c.entries) {
		c.sendUpdate(now, c.entries[name], out)
	}
}

// applyReports takes over what another control host passes on.
func (c *Control) applyReports(now core.Millis, s *Share, out *core.Effects) {
	for _, report := range s.Crashes {
		c.recordCrash(now, report)
	}
	for _, served := range s.Served {
		c.recordServed(now, served, out)
	}
	for _, ended := range s.Ended {
		c.endedNews = c.ended.AddEnded(now, ended) || c.endedNews
	}
}

// updateSuspects brings the suspects up to date, and reports whether they have changed.
func (c *Control) updateSuspects(now core.Millis) bool {
	if !c.crashNews && now < c.suspectsAt {
		return false
	}
	c.crashNews, c.suspectsAt = false, now+suspectsInterval
	before := c.suspects
	c.suspects = c.crashes.Suspects(now)
	return !slices.Equal(c.suspects, before)
}

// addQuarantines adds the suspects, and the quarantines unless the entry host holds them.
func (c *Control) addQuarantines(e *entryState, u *Update) {
	published := c.store.Published()
	u.QuarantineIndex = published.QuarantineIndex
	if e.QuarantineIndex != published.QuarantineIndex {
		u.Quarantined = published.Quarantined
	}
	u.Suspects = c.suspects
}

// quarantineDue proposes, as the leader, the quarantine of a request that has crashed too many endpoints.
func (c *Control) quarantineDue(now core.Millis, out *core.Effects) {
	if !c.quorum.IsLeader() || now-c.quarantineProposedAt < proposalInterval {
		return
	}
	quarantined := c.store.Published().Quarantined
	digest, due := c.crashes.Due(now, quarantined)
	if !due {
		return
	}
	held := crash.Quarantine{Digest: digest}
	if i := slices.IndexFunc(quarantined, func(q crash.Quarantine) bool { return q.Digest == digest }); i >= 0 {
		held = quarantined[i]
	}
	renewed := held.Renewed(now)
	out.Logf("crashes", "Request %s is quarantined until %s: endpoints %v ended under it.", digest, renewed.Until.Time().UTC().Format(timeFormat), c.crashes.Endpoints(digest))
	c.proposeQuarantine(now, renewed, out)
}

// timeFormat is how log lines give a time of day.
const timeFormat = "15:04:05"

// endQuarantine proposes, as the leader, the end of a quarantine of a request that an endpoint has answered since the
// latest crash under it.
func (c *Control) endQuarantine(now core.Millis, served crash.Served, out *core.Effects) {
	holds := slices.ContainsFunc(c.store.Published().Quarantined, func(q crash.Quarantine) bool {
		return q.Digest == served.Digest && q.Holds(now)
	})
	if !holds || !c.quorum.IsLeader() || len(c.crashes.Endpoints(served.Digest)) > 0 {
		return
	}
	out.Logf("crashes", "Request %s is no longer quarantined: an endpoint has answered it.", served.Digest)
	c.proposeQuarantine(now, crash.Quarantine{Digest: served.Digest}, out)
}

func (c *Control) proposeQuarantine(now core.Millis, q crash.Quarantine, out *core.Effects) {
	c.quarantineProposedAt = now
	// Without a quorum nothing is in force; the proposal is repeated while it is due.
	c.quorum.Propose(now, codec.Encode(edits.Command{Quarantine: &edits.QuarantineChange{Quarantine: q, At: now}}), out)
}

// explainCrashes lets the crashes that quarantined requests caused no longer count against others.
func (c *Control) explainCrashes() {
	for _, q := range c.store.Published().Quarantined {
		c.crashes.Explain(q.Digest)
	}
	c.crashNews = true
}
