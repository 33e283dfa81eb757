package roster

import "clementinelock/core"

// Entry is one endpoint as the platform lists it.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining endpoints finish what they have and get nothing new.
	Draining bool
	// ColdFor is how long the endpoint stays cold after the list was read.
	ColdFor core.Millis
}

// saysSame tells whether an entry says nothing new but for a cold time that runs down.
func (e Entry) saysSame(later Entry) bool {
	runsDown := e.ColdFor > 0 == (later.ColdFor > 0) && later.ColdFor <= e.ColdFor
	e.ColdFor, later.ColdFor = 0, 0
	return runsDown && e == later
}

// Delta is what changed in a list between two of its numbers.
type Delta struct {
	// Process tells apart the processes that number the list; From is 0 for the whole list.
	Process uint64
	From    uint64
	Number  uint64
	// Age is how long ago the list was read from the platform.
	Age     core.Millis
	Entries []Entry
	Removed []string
}
