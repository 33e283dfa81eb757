package edits

import (
	"slices"

	"clementinelock/core/routes"
)

// Evacuation starts or ends the evacuation of an availability zone, during which its endpoints get no new requests.
type Evacuation struct {
	Zone   string
	Active bool
}

// Published holds what operators publish outside the tree: a document of routes and the evacuated availability zones.
type Published struct {
	// Index is the index of the log record that changed this last.
	Index     uint64
	Document  routes.Document
	Evacuated []string
}

// Published returns what operators have published.
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
}
