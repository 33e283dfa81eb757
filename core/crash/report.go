package crash

import "clementinelock/core"

// Report tells that an endpoint ended while it held a request.
type Report struct {
	Digest   Digest `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
	// Age is the time since the endpoint ended.
	Age core.Millis `cbor:"3,keyasint,omitempty"`
}

// Served tells that an endpoint has answered a request.
type Served struct {
	Digest Digest `cbor:"1,keyasint"`
	// Age is the time since the answer.
	Age core.Millis `cbor:"2,keyasint,omitempty"`
}

// Ended tells that an endpoint's process has ended, so that it is cold when it starts again.
type Ended struct {
	Endpoint string `cbor:"1,keyasint"`
	// Age is the time since the end was noticed.
	Age core.Millis `cbor:"2,keyasint,omitempty"`
	// ColdFor is how long the endpoint's next process is cold, counted from when the end was noticed, if it has started by
	// then; 0 means that it had not.
	ColdFor core.Millis `cbor:"3,keyasint,omitempty"`
}

// Quarantine is a request that is not sent to endpoints until a time of the wall clock. From then on a single further
// crash renews it, until it is forgotten.
type Quarantine struct {
	Digest Digest      `cbor:"1,keyasint"`
	Until  core.Millis `cbor:"2,keyasint"`
	// Times counts how often the request was quarantined.
	Times int `cbor:"3,keyasint,omitempty"`
}

// Parameters of a quarantine.
const (
	minQuarantine = 10 * core.Minute
	maxQuarantine = core.Hour
	// quarantineRetention is how long a quarantine that has ended is remembered.
	quarantineRetention = core.Hour
)

// Holds reports whether the request is kept from endpoints at this time.
func (q Quarantine) Holds(now core.Millis) bool {
	return now < q.Until
}

// IsForgotten reports whether the quarantine has ended so long ago that it no longer counts.
func (q Quarantine) IsForgotten(now core.Millis) bool {
	return now >= q.Until+quarantineRetention
}

// Renewed returns the quarantine that begins now; each one lasts twice as long as the one before, up to an hour.
func (q Quarantine) Renewed(now core.Millis) Quarantine {
	length := minQuarantine
	for range q.Times {
		length = min(2*length, maxQuarantine)
	}
	return Quarantine{Digest: q.Digest, Until: now + length, Times: q.Times + 1}
}
