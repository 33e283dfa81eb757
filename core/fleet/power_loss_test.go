package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/fleet"
	"clementinelock/core/quorum"
)

// powerLoss is one pattern of a loss of power at all hosts at once.
type powerLoss struct {
	name  string
	hosts int
	// replaced is how many hosts are replaced one after the other before it.
	replaced int
	// underWay is set when a replacement is under way, planned when the successor was started before the host stopped.
	underWay, planned bool
	// emptyDisk is set when one disk is empty after it.
	emptyDisk bool
}

// TestAllHostsLosePower guards against control hosts that refuse reads after all hosts lost power at once, unsynced writes among it:
// beside a disk that is empty after it, a replacement that is under way, and seeds that name only hosts which are gone. A leader must
// be elected within 3 s, and a read at each control host must return what was confirmed within 5 s. FLEET_SEEDS sets how many seeds
// run, FLEET_SEED the first.
func TestAllHostsLosePower(t *testing.T) {
	t.Parallel()
	for _, c := range []powerLoss{
		{name: "six hosts", hosts: 6},
		{name: "an empty disk", hosts: 6, emptyDisk: true},
		{name: "an empty disk of three", hosts: 3, emptyDisk: true},
		{name: "an empty disk after replacements", hosts: 6, replaced: 6, emptyDisk: true},
		{name: "an empty disk, a replacement under way", hosts: 6, underWay: true, emptyDisk: true},
		{name: "an empty disk, a planned replacement under way", hosts: 6, underWay: true, planned: true, emptyDisk: true},
		{name: "an empty disk, a replacement of five under way", hosts: 5, underWay: true, emptyDisk: true},
		{name: "an empty disk, a replacement under way after others", hosts: 6, replaced: 4, underWay: true, emptyDisk: true},
		{name: "an empty disk of twelve, a replacement under way", hosts: 12, underWay: true, emptyDisk: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var slowestLeader, slowestRead core.Millis
			first, count := envNumber("FLEET_SEED", 1), envNumber("FLEET_SEEDS", 3)
			for seed := first; seed < first+count; seed++ {
				leader, read := losePower(t, seed, c)
				slowestLeader, slowestRead = max(slowestLeader, leader), max(slowestRead, read)
			}
			t.Logf("slowest leader after %s, slowest first read after %s", slowestLeader, slowestRead)
		})
	}
}

func losePower(t *testing.T, seed uint64, c powerLoss) (leaderAfter, readAfter core.Millis) {
	var zones []string
	for i := range c.hosts {
		zones = append(zones, controlZones[i%len(controlZones)])
	}
	s := newSiteIn(t, seed, zones, entryZones)
	// Each host keeps the seeds of its first start. Those of the first hosts are gone after some replacements.
	seeds := map[string][]string{}
	s.OnControl = func(control *fleet.Control) {
		if seeds[control.Name] == nil {
			seeds[control.Name] = control.Seeds
		}
		control.Seeds = seeds[control.Name]
	}
	s.RunFor(8 * core.Second)
	s.publish()
	s.RunFor(core.Second)
	for i := range c.replaced {
		s.replaceControl(fmt.Sprintf("control-%d", i), i%2 == 0)
		s.RunFor(6 * core.Second)
		s.publish()
	}
	if c.underWay {
		s.replaceControl(fmt.Sprintf("control-%d", c.replaced+s.Rand.IntN(c.hosts-c.replaced)), c.planned)
		s.RunFor(core.Millis(s.Rand.IntN(6000)))
	}
	s.publish()
	s.RunFor(core.Millis(s.Rand.IntN(400)))
	names := s.upControls()
	for _, name := range names {
		s.crash(name, true)
	}
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		s.Crash(name)
	}
	acked := s.acked
	if c.emptyDisk {
		s.disks[names[s.Rand.IntN(len(names))]] = fake.NewDisk(s.Rand.Uint64N(1<<62) + 2)
	}
	s.RunFor(core.Second)
	began := s.Now
	for _, name := range slices.Concat(slices.Sorted(maps.Keys(s.disks)), slices.Sorted(maps.Keys(s.entries))) {
		s.startHost(name)
	}
	return s.awaitReads(t, seed, began, acked)
}

// replaceControl replaces a control host by one with another address and an empty disk.
func (s *site) replaceControl(name string, planned bool) {
	zone := s.zones[name]
	if planned {
		s.addControl(zone)
		s.At(s.Now+2*core.Second, func() {
			if s.Up(name) {
				s.Apply(name, s.controls[name].Stop(s.clock(name)))
			}
			s.At(s.Now+400, func() { s.removeHost(name) })
		})
		return
	}
	s.removeHost(name)
	var start func()
	start = func() {
		if len(s.upControls()) == 0 {
			s.At(s.Now+100, start)
			return
		}
		s.addControl(zone)
	}
	s.At(s.Now+core.Second, start)
}

// awaitReads reads at each control host until all have answered, and returns after which time there was a leader and all had.
func (s *site) awaitReads(t *testing.T, seed uint64, began core.Millis, acked uint64) (leaderAfter, readAfter core.Millis) {
	answered := map[string]bool{}
	names := s.upControls()
	for s.Now-began < 20*core.Second {
		// A host that was to be stopped when the power was lost ends after it.
		names = slices.DeleteFunc(names, func(name string) bool { return answered[name] || s.gone[name] })
		if len(names) == 0 {
			break
		}
		for _, name := range names {
			if !s.Up(name) {
				continue
			}
			s.ticket++
			s.replies[s.ticket] = func(r core.Reply) {
				if r.Refusal != nil || answered[name] {
					return
				}
				answered[name] = true
				if got := r.Body.(*fleet.OrderResult).Document.Version; got < acked {
					t.Errorf("seed %d: a read at %s returned version %d, version %d was confirmed", seed, name, got, acked)
				}
			}
			s.Apply(name, s.controls[name].Read(s.clock(name), s.ticket))
		}
		s.RunFor(50)
		if leaderAfter == 0 && s.leader() != "" {
			leaderAfter = s.Now - began
		}
	}
	readAfter = s.Now - began
	if leaderAfter == 0 || leaderAfter > 3*core.Second || readAfter > 5*core.Second {
		t.Errorf("seed %d: a leader after %s, reads after %s; without an answer: %v, voters %v", seed, leaderAfter, readAfter, names, s.voters())
	}
	return leaderAfter, readAfter
}

// TestFencedHostJoinsAgain guards against a fenced control host that stays out of the group, or leaves a learner behind: it has announced
// itself as one incarnation, ends, and comes back as another one on an empty disk. Reads at it must be answered 5 s after its start.
func TestFencedHostJoinsAgain(t *testing.T) {
	t.Parallel()
	var slowestRead, slowestVoter core.Millis
	first, count := envNumber("FLEET_SEED", 1), envNumber("FLEET_SEEDS", 12)
	for seed := first; seed < first+count; seed++ {
		s := newSite(t, seed)
		s.RunFor(8 * core.Second)
		s.publish()
		s.RunFor(core.Second)
		name := fmt.Sprintf("control-%d", s.Rand.IntN(6))
		s.replaceDisk(name)
		s.RunFor(core.Second)
		s.startControl(name)
		s.RunFor(core.Millis(s.Rand.IntN(1000)))
		s.replaceDisk(name)
		s.RunFor(core.Second)
		s.startControl(name)
		began := s.Now
		_, read := s.awaitReads(t, seed, began, s.acked)
		for s.Now-began < 8*core.Second && !s.votes(name) {
			s.RunFor(50)
		}
		slowestRead, slowestVoter = max(slowestRead, read), max(slowestVoter, s.Now-began)
		s.RunFor(8 * core.Second)
		leader := s.leader()
		if members := s.controls[leader].Dump(s.Now).Quorum.Members; len(members) != 6 || !s.votes(name) {
			t.Errorf("seed %d: the members are %v after %s came back, expected 6 voters", seed, members, name)
		}
	}
	t.Logf("slowest first read after %s, slowest voter after %s", slowestRead, slowestVoter)
}

// votes reports whether the control host takes part as a voter.
func (s *site) votes(name string) bool {
	status := s.controls[name].Dump(s.clock(name)).Quorum
	return status.Joined && slices.ContainsFunc(status.Members, func(m quorum.MemberStatus) bool {
		return m.Name == name && m.Incarnation == status.Incarnation && m.Voter
	})
}
