package pick_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/pick"
)

// TestTimeNeeded guards against a host that stops and passes on requests which it can't finish, since runs turned slow or their
// length is not known, and against one that refuses those that it could.
func TestTimeNeeded(t *testing.T) {
	const left = 8 * core.Second
	for _, c := range []struct {
		name       string
		runs       []core.Millis
		outcome    pick.Outcome
		later      core.Millis
		idempotent bool
		left       core.Millis
		want       core.Millis
	}{
		{"nothing is known", nil, pick.Good, 0, true, left, left},
		{"must not run twice", []core.Millis{100}, pick.Good, 0, false, left, left},
		{"short runs", []core.Millis{80, 100, 60}, pick.Good, 0, true, left, 150},
		{"one long run among short ones", []core.Millis{80, 2000, 60, 60}, pick.Good, 0, true, left, 3000},
		{"runs have turned slow", []core.Millis{80, 80, 900}, pick.Good, 0, true, left, 1350},
		{"answers that were lost", []core.Millis{80, 900}, pick.Lost, 0, true, left, 1350},
		{"requests that were turned away", []core.Millis{900}, pick.Shed, 0, true, left, left},
		{"the deadline comes sooner", []core.Millis{900}, pick.Good, 0, true, 200, 200},
		{"a long run is half forgotten", []core.Millis{2000}, pick.Good, 20 * core.Second, true, left, 1500},
	} {
		t.Run(c.name, func(t *testing.T) {
			zone := newColdZone(t, 1, nil)
			table := zone.hosts[0]
			for _, took := range c.runs {
				choice, refusal := table.Choose(zone.now, pick.Request{Service: "s", Remaining: core.Minute})
				if refusal != nil {
					t.Fatal(refusal)
				}
				table.Done(zone.now, choice, c.outcome, took, nil)
			}
			if got := table.TimeNeeded(zone.now+c.later, "s", c.idempotent, c.left); got != c.want {
				t.Errorf("the request may take %s, expected %s", got, c.want)
			}
		})
	}
}
