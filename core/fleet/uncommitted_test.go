package fleet_test

import (
	"slices"
	"testing"

	"clementinelock/core"
)

// TestContactBesideAnEvacuationInLogsOnly guards against hosts that count as in contact though they don't know of an evacuation which
// was acknowledged: the leader was lost before it told the others that the evacuation is committed, so that only a majority's logs
// have it until the next leader has committed a record of its own.
func TestContactBesideAnEvacuationInLogsOnly(t *testing.T) {
	t.Parallel()
	// slack is the delay of a message between regions and a tick: what a leader has sent counts from its arrival on.
	const slack = 70 * core.Millisecond
	for _, lost := range []string{"frozen", "crashed", "cut off"} {
		for seed := range uint64(20) {
			s := newSite(t, 900+seed)
			s.RunFor(10*core.Second + core.Millis(seed)*70)
			leader := s.leader()
			s.evacuate("r0-a", true)
			for s.unconfirmed["r0-a"] {
				s.RunFor(1)
			}
			switch lost {
			case "frozen":
				s.Freeze(leader, true)
			case "crashed":
				s.crash(leader, false)
			case "cut off":
				s.Isolate(leader, slices.DeleteFunc(s.upControls(), func(name string) bool { return name == leader }), true)
			}
			at := s.Now
			worst, held := core.Millis(0), 0
			for range 400 {
				s.RunFor(10)
				held = 0
				for name, e := range s.entries {
					if slices.Contains(e.View(s.Now).Evacuated, "r0-a") {
						held++
						continue
					}
					if over := e.ContactAt() - at; over > worst {
						worst = over
						t.Logf("%s, seed %d: at %s %s through %s", lost, seed, s.Now-at, name, e.CurrentControl())
					}
				}
			}
			if worst > slack {
				t.Errorf("%s, seed %d: a host that does not know of the evacuation takes itself to know all changes until %s after it", lost, seed, worst)
			}
			if held == 0 {
				t.Errorf("%s, seed %d: no host knows of the evacuation in the end, so that nothing was tested", lost, seed)
			}
		}
	}
}
