package fleet

import "clementinelock/core"

// recordContact records an update of the current control host, and logs the end of a time without. One that hears neither a
// leader nor a majority may have missed changes.
func (e *Entry) recordContact(now core.Millis, from string, u *Update, out *core.Effects) {
	at := now
	switch {
	case u.LeaderHeard:
	case u.MajorityAge == 0:
		return
	default:
		at = now - u.MajorityAge
	}
	if e.contactAt != 0 && at-e.contactAt > contactTimeout {
		out.Logf("control", "In contact again through %s after %s. Holds index %d, evacuated %v, a list of age %s.", from, at-e.contactAt, e.index, e.evacuated, e.list.Age(now))
	}
	e.contactAt = max(e.contactAt, at)
}

// ContactAt returns when the control host that this host reports to could last know of all changes, as far as it has told.
func (e *Entry) ContactAt() core.Millis {
	return e.contactAt
}
