package fleet_test

import (
	"slices"
	"testing"

	"clementinelock/core"
)

// TestFullDisksInTurn guards against changes that are refused, or stay unanswered, after the disks of control hosts were full
// one after another, never two at once: also the leader's, for longer than a silent member is kept, during restarts,
// and while a replaced disk's host joins.
func TestFullDisksInTurn(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// full is how long each disk is full; leader lets it be that of the leader each time.
		full   core.Millis
		leader bool
		// meanwhile is done to another control host, or to the same one, while a disk is full.
		meanwhile func(s *site, full, other string)
	}{
		{"some seconds", 4 * core.Second, false, nil},
		{"the leader's", 4 * core.Second, true, nil},
		{"longer than a silent member is kept", 20 * core.Second, false, nil},
		{"the leader's for long", 20 * core.Second, true, nil},
		{"a restart of the host", 6 * core.Second, false, func(s *site, full, _ string) { s.crash(full, false); s.startHost(full) }},
		{"a restart of another", 6 * core.Second, false, func(s *site, _, other string) { s.crash(other, false); s.startHost(other) }},
		{"another disk is replaced", 6 * core.Second, false, func(s *site, _, other string) { s.replaceDisk(other); s.startHost(other) }},
		{"another disk is replaced while the leader's is full", 6 * core.Second, true, func(s *site, _, other string) { s.replaceDisk(other); s.startHost(other) }},
		{"the host is cut off", 8 * core.Second, false, cutOffFor(3 * core.Second)},
		{"the host is cut off for longer than a silent member is kept", 20 * core.Second, false, cutOffFor(18 * core.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				s := newSite(t, 700+seed)
				s.RunFor(8 * core.Second)
				names := s.upControls()
				for turn := range 8 {
					full := names[turn%len(names)]
					if leader := s.leader(); c.leader && leader != "" {
						full = leader
					}
					s.full[full] = true
					s.publish()
					s.RunFor(core.Second)
					s.evacuate("r1-b", turn%2 == 0)
					if c.meanwhile != nil {
						other := names[(turn+1+s.Rand.IntN(len(names)-1))%len(names)]
						if other == full {
							other = names[(slices.Index(names, full)+1)%len(names)]
						}
						c.meanwhile(s, full, other)
					}
					s.RunFor(c.full - core.Second)
					s.full[full] = false
					s.RunFor(core.Second)
				}
				s.RunFor(10 * core.Second)
				before := s.acked
				s.publish()
				s.RunFor(4 * core.Second)
				if s.acked == before {
					t.Errorf("seed %d: a version that was published 10 s after the last disk had room was not confirmed within 4 s", seed)
				}
				s.settle()
				voters := 0
				for _, member := range s.controls[s.leader()].Dump(s.Now).Quorum.Members {
					if member.Voter {
						voters++
					}
				}
				if voters < len(names) {
					t.Errorf("seed %d: %d of %d control hosts vote in the end", seed, voters, len(names))
				}
			}
		})
	}
}

// cutOffFor cuts the host whose disk is full off from all others for some time.
func cutOffFor(length core.Millis) func(s *site, full, other string) {
	return func(s *site, full, _ string) { cutFor(length)(s, full) }
}

// TestFullDiskForGood guards against a group that confirms nothing for good: a voter whose disk is full for good is heard, so that it
// stays a voter, and counts towards the majority as two other hosts are lost.
func TestFullDiskForGood(t *testing.T) {
	t.Parallel()
	for _, leading := range []bool{false, true} {
		for seed := range uint64(6) {
			s := newSite(t, seed)
			s.RunFor(8 * core.Second)
			s.publishAt(s.leader())
			names := slices.DeleteFunc(s.upControls(), func(name string) bool { return name == s.leader() })
			full := names[seed%5]
			if leading {
				full = s.leader()
			}
			s.full[full] = true
			for turn := range 100 {
				if turn%10 == 0 {
					s.publish()
				}
				s.RunFor(250)
			}
			voters := s.voters()
			for _, lost := range []string{names[(seed+1)%5], names[(seed+2)%5]} {
				s.removeHost(lost)
			}
			s.RunFor(20 * core.Second)
			confirmed := false
			for _, name := range s.upControls() {
				if _, ok := s.publishAt(name); ok {
					confirmed = true
				}
			}
			if !confirmed {
				t.Errorf("seed %d: no version is confirmed 20 s after two hosts were lost, leader %q; the disk of %s (leading is %t) was full for 25 s before that, the voters were %v",
					seed, s.leader(), full, leading, voters)
			}
		}
	}
}
