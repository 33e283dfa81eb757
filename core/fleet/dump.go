package fleet

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/quorum"
	"clementinelock/core/quota"
)

// ControlDump is a control host's state for operators.
type ControlDump struct {
	ControlHost
	Process     uint64
	Quorum      quorum.Status
	LeaderHeard bool
	// Version, Index and Evacuated are those applied at this host.
	Version   uint64
	Index     uint64
	Evacuated []string
	Entries   []EntryHost
	Controls  []ControlHost
	// ReadsList is set when this host reads the platform's list itself.
	ReadsList  bool
	ListNumber uint64
	ListAge    core.Millis
	Endpoints  int
	// Orders counts the operators' orders that wait for the leader.
	Orders int
	// Quarantined holds the requests that are kept from endpoints, Suspects those that several endpoints ended under.
	Quarantined []crash.QuarantineDump
	Suspects    []crash.Digest
	// Quotas are this host's parts of the customers' quotas.
	Quotas []quota.BucketDump
}

// Dump returns the host's state for operators.
func (c *Control) Dump(now core.Millis) ControlDump {
	published := c.store.Published()
	return ControlDump{
		ControlHost: c.ControlHost, Process: c.Process, Quorum: c.quorum.Report(now), LeaderHeard: c.leaderHeard(now),
		Version: published.Document.Version, Index: published.Index, Evacuated: published.Evacuated,
		Entries: c.readyEntries(), Controls: c.controlHosts(), ReadsList: c.readsList, ListNumber: c.list.Number(),
		ListAge: c.list.Age(now), Endpoints: c.list.Len(), Orders: len(c.orders.pending),
		Quarantined: crash.Dump(now, published.Quarantined), Suspects: c.suspects, Quotas: c.pool.Dump(now),
	}
}

// EntryDump is an entry host's state for operators.
type EntryDump struct {
	EntryHost
	// Control is the control host that this one reports to, heard HeardAgo ago.
	Control  string
	HeardAgo core.Millis
	// ContactAgo is the time since the latest update that counts as contact, -1 before the first.
	ContactAgo core.Millis
	Version    uint64
	Index      uint64
	Evacuated  []string
	Endpoints  int
	ListAge    core.Millis
	Counts     EntryCounts
	// Peers tells of other entry hosts.
	Peers Peers
	// Quarantined holds the requests that this host keeps from endpoints.
	Quarantined []crash.QuarantineDump
}

// Dump returns the host's state for operators.
func (e *Entry) Dump(now core.Millis) EntryDump {
	contactAgo := core.Millis(-1)
	if e.contactAt != 0 {
		contactAgo = now - e.contactAt
	}
	return EntryDump{
		EntryHost: e.EntryHost, Control: e.currentControl, HeardAgo: now - e.heardAt, ContactAgo: contactAgo, Version: e.document.Version, Index: e.index,
		Evacuated: e.evacuated, Endpoints: e.list.Len(), ListAge: e.list.Age(now), Counts: e.counts, Peers: e.peers,
		Quarantined: crash.Dump(now, slices.Concat(e.quarantined, e.ownQuarantined)),
	}
}
