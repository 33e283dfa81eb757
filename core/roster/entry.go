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
