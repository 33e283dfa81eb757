package roster

import "clementinelock/core"

// Entry describes one endpoint as listed by the platform.
type Entry struct {
	// Encoded as an array without field names, since lists are long.
	_ struct{} `cbor:",toarray"`

	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining endpoints finish the requests they have and get no new ones.
	Draining bool
	// ColdFor is the time for which the endpoint stays cold after the list was read.
	ColdFor core.Millis
}
