package fleet_test

import (
	"testing"

	"clementinelock/core"
)

// TestLossAfterAPlannedReplacement guards against a group that the next loss leaves without a majority for good, since hosts that have
// stopped as planned still vote: their successors run and vote as well by then, and have had their time.
func TestLossAfterAPlannedReplacement(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name         string
		hosts, count int
		// stopAfter is the time from the successors' start to the stop, lossAfter to the loss of as many hosts again.
		stopAfter, lossAfter core.Millis
		// unheard is set if the announcement of the stop is lost.
		unheard bool
	}{
		{"three hosts", 3, 1, 2 * core.Second, 4 * core.Second, false},
		{"three hosts, a late stop", 3, 1, 6 * core.Second, 6500, false},
		{"four hosts, a late stop", 4, 1, 6 * core.Second, 6500, false},
		{"five hosts, a late stop", 5, 1, 6 * core.Second, 6500, false},
		{"six hosts, two at a time", 6, 2, 2 * core.Second, 6 * core.Second, false},
		{"six hosts, two at a time, a late stop", 6, 2, 7 * core.Second, 9 * core.Second, false},
		{"nine hosts, two at a time, a late stop", 9, 2, 7 * core.Second, 9 * core.Second, false},
		{"three hosts, the announcement is lost", 3, 1, 2 * core.Second, 5500, true},
		{"six hosts, two at a time, the announcements are lost", 6, 2, 2 * core.Second, 6 * core.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range envNumber("FLEET_SEEDS", 10) {
				var zones []string
				for i := range c.hosts {
					zones = append(zones, controlZones[i%len(controlZones)])
				}
				s := newSiteIn(t, 500+seed, zones, entryZones)
				s.RunFor(8 * core.Second)
				names := s.upControls()
				s.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
				started, stopped := s.Now, names[:c.count]
				for _, name := range stopped {
					s.addControl(s.zones[name])
				}
				s.RunUntil(started + c.stopAfter)
				for _, name := range stopped {
					effects := s.controls[name].Stop(s.clock(name))
					if !c.unheard {
						s.Apply(name, effects)
					}
					s.At(s.Now+100, func() { s.removeHost(name) })
				}
				s.RunUntil(started + c.lossAfter)
				voters := s.voters()
				for _, name := range names[c.count : 2*c.count] {
					s.removeHost(name)
				}
				s.At(s.Now+2*core.Second, s.publish)
				s.RunFor(3 * core.Second)
				if s.acked != s.published || s.leader() == "" {
					s.RunFor(core.Minute)
					t.Errorf("seed %d: no version is confirmed 3 s after the loss of %v; %v had stopped, the voters were %v; a minute later the leader is %q",
						seed, names[c.count:2*c.count], stopped, voters, s.leader())
				}
			}
		})
	}
}
