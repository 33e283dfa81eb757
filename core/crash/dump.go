package crash

import "clementinelock/core"

// QuarantineDump is a quarantine as operators see it.
type QuarantineDump struct {
	Digest Digest
	// Remaining is 0 once the quarantine has ended; one further crash then renews it.
	Remaining core.Millis
	Times     int
}

// Dump returns the quarantines for operators.
func Dump(now core.Millis, quarantines []Quarantine) []QuarantineDump {
	out := make([]QuarantineDump, 0, len(quarantines))
	for _, q := range quarantines {
		out = append(out, QuarantineDump{Digest: q.Digest, Remaining: max(0, q.Until-now), Times: q.Times})
	}
	return out
}
