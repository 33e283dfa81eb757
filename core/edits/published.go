package edits

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/routes"
)

// Evacuation starts or ends the evacuation of an availability zone, during which its endpoints get no new requests.
type Evacuation struct {
	Zone   string
	Active bool
	// At is the leader's time when it accepted the change.
	At core.Millis
}

// ZoneReturn is the end of an availability zone's evacuation.
type ZoneReturn struct {
	Zone string
	At   core.Millis
}

// returnRetention is how long the end of an evacuation is kept, for hosts that have missed it.
const returnRetention = core.Minute

// Published holds what is in force outside the tree: the document of routes and the evacuated availability zones that
// operators publish, and the requests that are kept from endpoints.
type Published struct {
	// Index is the index of the log record that changed this last.
	Index     uint64
	Document  routes.Document
	Evacuated []string
	// Returned holds the ends of evacuations of late.
	Returned []ZoneReturn
	// Quarantined holds the requests that crash endpoints, and QuarantineIndex the index of the log record that changed
	// it last.
	Quarantined     []crash.Quarantine
	QuarantineIndex uint64
}

// Published returns what is in force outside the tree.
func (s *Store) Published() Published {
	return s.published
}

// publish stores a document if its version is higher than the stored one's.
func (p *Published) publish(index uint64, document routes.Document) {
	if document.Version <= p.Document.Version {
		return
	}
	p.Document, p.Index = document, index
}

func (p *Published) evacuate(index uint64, e Evacuation) {
	if slices.Contains(p.Evacuated, e.Zone) == e.Active {
		return
	}
	next := slices.DeleteFunc(slices.Clone(p.Evacuated), func(zone string) bool { return zone == e.Zone })
	if e.Active {
		next = append(next, e.Zone)
		slices.Sort(next)
	}
	p.Evacuated, p.Index = next, index
	p.Returned = slices.DeleteFunc(slices.Clone(p.Returned), func(r ZoneReturn) bool { return r.Zone == e.Zone || e.At-r.At > returnRetention })
	if !e.Active {
		p.Returned = append(p.Returned, ZoneReturn{e.Zone, e.At})
	}
}
