package fleet

import "clementinelock/core"

// recordContact records an update of the current control host, and logs the end of a time without. One that hears neither a
// leader nor a majority may have missed changes. An update tells what its sender knew when this host's latest report had come,
// however long it was on its way.
func (e *Entry) recordContact(now core.Millis, from string, u *Update, out *core.Effects) {
	at := now
	if u.ReportSentAt != 0 {
		at = min(at, u.ReportSentAt)
	}
	switch {
	case u.LeaderHeard:
		at -= u.LeaderAge
	case u.MajorityAge == 0:
		return
	default:
		at -= u.MajorityAge
	}
	if e.contactAt != 0 && at-e.contactAt > e.ContactLease() {
		out.Logf("control", "In contact again through %s after %s. Holds index %d, evacuated %v, a list of age %s.", from, at-e.contactAt, e.index, e.evacuated, e.list.Age(now))
	}
	e.contactAt = max(e.contactAt, at)
}

// ContactAt returns when the control host that this host reports to could last know of all changes, as far as it has told.
func (e *Entry) ContactAt() core.Millis {
	return e.contactAt
}
