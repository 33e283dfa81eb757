package fleet_test

import (
	"testing"

	"clementinelock/core"
)

// TestLossRightAfterAPlannedReplacement guards against a group that confirms nothing for good: the host that has stopped as planned still
// counts towards the majority beside its successor, as another host loses its disk 1.5 s after the stop.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 4, 5, 6} {
		for seed := range uint64(6) {
			s := newSiteIn(t, seed, controlZones[:hosts], entryZones)
			s.RunFor(8 * core.Second)
			s.publishAt(s.leader())
			names := s.upControls()
			replaced, lost := names[seed%uint64(hosts)], names[(seed+1)%uint64(hosts)]
			s.addControl(s.zones[replaced])
			s.RunFor(4 * core.Second)
			s.Apply(replaced, s.controls[replaced].Stop(s.clock(replaced)))
			s.RunFor(500)
			s.removeHost(replaced)
			s.RunFor(core.Second)
			voters := s.voters()
			s.replaceDisk(lost)
			s.RunFor(core.Second)
			s.startHost(lost)
			s.RunFor(30 * core.Second)
			for _, name := range s.upControls() {
				if took, ok := s.publishAt(name); !ok {
					t.Errorf("%d hosts, seed %d: %s refuses a version after %s, 30 s after the loss of a disk; leader %q, the voters at the loss were %v", hosts, seed, name, took, s.leader(), voters)
				}
			}
		}
	}
}
