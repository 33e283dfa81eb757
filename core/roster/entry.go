package roster

import "clementinelock/core"

// Entry is one endpoint as the platform lists it.
type Entry struct {
	// The fields travel without their names, since lists are long.
	_ struct{} `cbor:",toarray"`

	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining endpoints finish what they have and get nothing new.
	Draining bool
	// ColdFor is how long the endpoint stays cold after the reading that it came with.
	ColdFor core.Millis
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
