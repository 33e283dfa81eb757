package fleet

import "clementinelock/core"

// recordContact records what a control host has told of its knowledge, and logs the end of a time without contact.
func (e *Entry) recordContact(now core.Millis, from string, k knowledge, out *core.Effects) {
	at, ok := k.asOf(now)
	if !ok {
		return
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
