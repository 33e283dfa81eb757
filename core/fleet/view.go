package fleet

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// View is the state by which an entry host decides on its requests.
type View struct {
	Index     uint64
	Document  routes.Document
	Evacuated []string
	// Returned holds the evacuations that ended lately.
	Returned  []ZoneReturn
	Endpoints []roster.Entry
	// ListKnown is false before the first list.
	ListKnown bool
	ListAge   core.Millis
	Entries   EntryCounts
	// Quarantined holds the requests that must not be sent to endpoints, Suspects those whose answers are reported.
	Quarantined []crash.Quarantine
	Suspects    []crash.Digest
	// Ended holds the endpoints whose end any entry host has noticed lately.
	Ended []crash.Ended
	// Peers tells of other entry hosts.
	Peers Peers
}

// applyCounts takes over the numbers of entry hosts. A host that is cut off from its control host divides by the number
// that it was told before, so that the others must not divide by the rest.
func (e *Entry) applyCounts(u *Update) {
	e.counts = u.Entries
	if !u.CountsPending {
		e.zonePeak = max(e.zonePeak, u.Entries.Zone, 1)
	}
}

// View returns the state in force at this host.
func (e *Entry) View(now core.Millis) View {
	return View{
		Index: e.index, Document: e.document, Evacuated: e.evacuated, Returned: e.returnedNow(now), Endpoints: e.list.Entries(),
		ListKnown: e.list.Process() != 0, ListAge: e.list.Age(now),
		Entries:     EntryCounts{Zone: e.zonePeak, Region: max(1, e.counts.Region), All: max(1, e.counts.All), Rank: e.counts.Rank},
		Quarantined: slices.Concat(e.quarantined, e.ownQuarantined), Suspects: e.suspects,
		Ended: e.ended.Ended(now), Peers: e.peers,
	}
}
