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

// recordReports takes over what an entry host or another control host reports of crashes and answers. It reports whether
// any of it is news.
func (c *Control) recordReports(now core.Millis, crashes []crash.Report, served []crash.Served, out *core.Effects) (news bool) {
	suspects := c.crashes.Suspects(now)
	for _, report := range crashes {
		news = c.crashes.Record(now, report) || news
	}
	for _, each := range served {
		news = c.crashes.Clear(now, each) || news
		c.endQuarantine(now, each, out)
	}
	c.suspectsChanged = c.suspectsChanged || !slices.Equal(c.crashes.Suspects(now), suspects)
	return news
}

// relayReports takes over what an entry host reports, and passes news on to the other control hosts.
func (c *Control) relayReports(now core.Millis, m *Report, out *core.Effects) {
	for _, report := range m.Crashes {
		if c.recordReports(now, []crash.Report{report}, nil, out) {
			c.relay.AddCrash(now, report)
			c.shareAt = min(c.shareAt, now+shareBatchDelay)
		}
	}
	for _, served := range m.Served {
		c.relay.AddServed(now, served)
		c.recordReports(now, nil, []crash.Served{served}, out)
		c.shareAt = min(c.shareAt, now+shareBatchDelay)
	}
}

// addQuarantines adds the suspects, and the quarantines unless the entry host holds them.
func (c *Control) addQuarantines(now core.Millis, e *entryState, u *Update) {
	published := c.store.Published()
	u.QuarantineIndex = published.QuarantineIndex
	if e.QuarantineIndex != published.QuarantineIndex {
		u.Quarantined = published.Quarantined
	}
	u.Suspects = c.crashes.Suspects(now)
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

// explainCrashes forgets the crashes of other requests that the quarantined ones caused.
func (c *Control) explainCrashes() {
	for _, q := range c.store.Published().Quarantined {
		c.crashes.Explain(q.Digest)
	}
}
