package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
)

// replacement is one pattern of control hosts that are replaced by hosts with other addresses and empty disks.
type replacement struct {
	name string
	// hosts is the number of control hosts, count how many are replaced at a time, interval the time between replacements.
	hosts, count int
	interval     core.Millis
	// victim chooses a host among the names, oldest first; nil chooses at random.
	victim func(s *site, names []string) string
	// planned starts the successor before the host stops.
	planned bool
	// meanwhile is done to another host at each replacement; it may be nil.
	meanwhile func(s *site, other string)
}

func oldestHost(_ *site, names []string) string { return names[0] }

func leadingHost(s *site, names []string) string {
	if leader := s.leader(); slices.Contains(names, leader) {
		return leader
	}
	return names[0]
}

// cutFor, freezeFor and fullFor disturb a host for some time.
func cutFor(length core.Millis) func(s *site, other string) {
	return func(s *site, other string) {
		var others []string
		for name := range s.zones {
			if name != other {
				others = append(others, name)
			}
		}
		s.Isolate(other, others, true)
		s.At(s.Now+length, s.Heal)
	}
}

func freezeFor(length core.Millis) func(s *site, other string) {
	return func(s *site, other string) {
		s.Freeze(other, true)
		s.At(s.Now+length, func() { s.Freeze(other, false) })
	}
}

func fullFor(length core.Millis) func(s *site, other string) {
	return func(s *site, other string) {
		s.full[other] = true
		s.At(s.Now+length, func() { s.full[other] = false })
	}
}

// removeHost ends a control host for good.
func (s *site) removeHost(name string) {
	s.crash(name, true)
	delete(s.disks, name)
	delete(s.controls, name)
	s.gone[name] = true
}

// addControl starts a control host with an empty disk; its settings name three hosts, of which at least two run.
func (s *site) addControl(zone string) string {
	s.process++
	name := fmt.Sprintf("control-new-%d", s.process)
	up := s.upControls()
	s.Rand.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	s.seeds = slices.Concat(up, []string{name})[:3]
	s.zones[name] = zone
	s.disks[name] = fake.NewDisk(s.Rand.Uint64N(1<<62) + 2)
	s.startControl(name)
	return name
}

// voters returns the names of the voters as the leader knows them.
func (s *site) voters() []string {
	var names []string
	if leader := s.leader(); leader != "" {
		for _, member := range s.controls[leader].Dump(s.clock(leader)).Quorum.Members {
			if member.Voter {
				names = append(names, member.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// TestReplacedControlHosts guards against control hosts without a majority for good after several were replaced, each once the
// successor of the last one had its time to catch up: lost voters counted on, and took the room of newcomers.
func TestReplacedControlHosts(t *testing.T) {
	t.Parallel()
	// The time that a successor has after its start, 1 s after the loss, is 4 s for one host at a time and 6 s for two.
	const one, two = 5 * core.Second, 7 * core.Second
	for _, c := range []replacement{
		{name: "three hosts", hosts: 3, count: 1, interval: one},
		{name: "four hosts", hosts: 4, count: 1, interval: one},
		{name: "five hosts", hosts: 5, count: 1, interval: one},
		{name: "six hosts", hosts: 6, count: 1, interval: one},
		{name: "six hosts, slowly", hosts: 6, count: 1, interval: 8 * core.Second},
		{name: "seven hosts, two at a time", hosts: 7, count: 2, interval: two},
		{name: "nine hosts", hosts: 9, count: 1, interval: one},
		{name: "nine hosts, two at a time", hosts: 9, count: 2, interval: two},
		{name: "six hosts, two at a time", hosts: 6, count: 2, interval: two},
		{name: "the oldest", hosts: 6, count: 1, interval: one, victim: oldestHost},
		{name: "the leader", hosts: 6, count: 1, interval: one, victim: leadingHost},
		{name: "the leader of three", hosts: 3, count: 1, interval: one, victim: leadingHost},
		{name: "planned", hosts: 6, count: 1, interval: one, planned: true},
		{name: "planned, two at a time", hosts: 6, count: 2, interval: two, planned: true},
		{name: "planned, the leader", hosts: 5, count: 1, interval: one, planned: true, victim: leadingHost},
		{name: "beside a cut host", hosts: 6, count: 1, interval: 8 * core.Second, meanwhile: cutFor(4 * core.Second)},
		{name: "beside a host that is cut for long", hosts: 7, count: 1, interval: 24 * core.Second, meanwhile: cutFor(20 * core.Second)},
		{name: "beside a frozen host", hosts: 6, count: 1, interval: 8 * core.Second, meanwhile: freezeFor(4 * core.Second)},
		{name: "beside a full disk", hosts: 6, count: 1, interval: 8 * core.Second, meanwhile: fullFor(5 * core.Second)},
		{name: "beside restarts", hosts: 6, count: 1, interval: 6 * core.Second, meanwhile: func(s *site, other string) { s.restartAfter(other, true, 1500) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				replaceHosts(t, 300+seed, c)
			}
		})
	}
}

// TestReplacedControlHostsBeyondTheGroup plays the same with more control hosts than may vote. It guards against look-ups of a new host
// that name too few entry hosts: one that is no member hears only of those that report to its seeds.
func TestReplacedControlHostsBeyondTheGroup(t *testing.T) {
	t.Parallel()
	for _, c := range []replacement{
		{name: "one at a time", hosts: 12, count: 1, interval: 5 * core.Second},
		{name: "two at a time", hosts: 14, count: 2, interval: 7 * core.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				replaceHosts(t, 300+seed, c)
			}
		})
	}
}

// TestControlHostsBeyondTheVoters starts more control hosts than may vote. It guards against hosts that no leader talks to: orders given
// to them are not confirmed, and their entry hosts hear of no change.
func TestControlHostsBeyondTheVoters(t *testing.T) {
	t.Parallel()
	const voters = 9
	for _, hosts := range []int{9, 10, 14, 27} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d hosts/%d", hosts, seed), func(t *testing.T) {
				var zones []string
				for i := range hosts {
					zones = append(zones, controlZones[i%len(controlZones)])
				}
				s := newSiteIn(t, seed, zones, entryZones)
				s.RunFor(10 * core.Second)
				s.expectAllUsable(t, "after the start", voters)
				// A voter ends for good. It is removed after 15 s at the latest, and one of the others votes in its place.
				s.removeHost(s.voters()[s.Rand.IntN(voters)])
				s.RunFor(18 * core.Second)
				s.expectAllUsable(t, "after the loss of a voter", min(voters, hosts-1))
				// A host that was cut off for longer than it stays a member comes back.
				names := s.upControls()
				cutFor(20*core.Second)(s, names[s.Rand.IntN(len(names))])
				s.RunFor(24 * core.Second)
				s.expectAllUsable(t, "after a cut", min(voters, hosts-1))
			})
		}
	}
}

// expectAllUsable checks that as many hosts vote as expected, and that each control host hears a leader, confirms an order and
// holds what the others confirmed.
func (s *site) expectAllUsable(t *testing.T, when string, voters int) {
	t.Helper()
	if got := s.voters(); len(got) != voters {
		t.Fatalf("%s: %d hosts vote, expected %d: %v", when, len(got), voters, got)
	}
	for i, name := range s.upControls() {
		if !s.controls[name].Dump(s.clock(name)).LeaderHeard {
			t.Errorf("%s: %s hears no leader", when, name)
		}
		if !s.orderAt(name, i%2 == 0) {
			t.Errorf("%s: %s does not confirm an order", when, name)
		}
	}
	s.RunFor(core.Second)
	leader := s.leader()
	index := s.controls[leader].Dump(s.clock(leader)).Index
	for _, name := range s.upControls() {
		if got := s.controls[name].Dump(s.clock(name)).Index; got != index {
			t.Errorf("%s: %s holds index %d, expected %d", when, name, got, index)
		}
	}
}

// TestReplacedControlHostsAtRandom plays the same with random patterns; FLEET_SEEDS sets how many, FLEET_SEED the first.
func TestReplacedControlHostsAtRandom(t *testing.T) {
	t.Parallel()
	first, count := envNumber("FLEET_SEED", 1), envNumber("FLEET_SEEDS", 30)
	for seed := first; seed < first+count; seed++ {
		r := rand.New(rand.NewPCG(seed, 45))
		c := replacement{hosts: 3 + r.IntN(7), count: 1, planned: r.IntN(4) == 0}
		c.interval = 5*core.Second + core.Millis(r.IntN(4000))
		c.victim = []func(*site, []string) string{nil, oldestHost, leadingHost}[r.IntN(3)]
		switch {
		case c.hosts >= 6 && r.IntN(3) == 0:
			c.count, c.interval = 2, c.interval+2*core.Second
		case c.hosts >= 5:
			// The other disruption ends 4 s before the next replacement.
			length := core.Millis(500 + r.IntN(4000))
			c.interval = max(c.interval, length+4*core.Second)
			c.meanwhile = []func(*site, string){
				nil, cutFor(length), freezeFor(length), fullFor(length),
				func(s *site, other string) { s.restartAfter(other, true, int(length)) },
			}[r.IntN(5)]
		}
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { replaceHosts(t, seed, c) })
	}
}

func replaceHosts(t *testing.T, seed uint64, c replacement) {
	t.Helper()
	var zones []string
	for i := range c.hosts {
		zones = append(zones, controlZones[i%len(controlZones)])
	}
	s := newSiteIn(t, seed, zones, entryZones)
	s.RunFor(8 * core.Second)
	var names []string
	for i := range c.hosts {
		names = append(names, fmt.Sprintf("control-%d", i))
	}
	for turn := range 8 {
		for range c.count {
			victim := names[s.Rand.IntN(len(names))]
			if c.victim != nil {
				victim = c.victim(s, names)
			}
			zone := s.zones[victim]
			i := slices.Index(names, victim)
			names = slices.Delete(names, i, i+1)
			if c.planned {
				names = append(names, s.addControl(zone))
				s.At(s.Now+2*core.Second, func() {
					s.Apply(victim, s.controls[victim].Stop(s.clock(victim)))
					s.At(s.Now+100, func() { s.removeHost(victim) })
				})
				continue
			}
			s.removeHost(victim)
			s.At(s.Now+core.Second, func() { names = append(names, s.addControl(zone)) })
		}
		if c.meanwhile != nil {
			c.meanwhile(s, names[s.Rand.IntN(len(names))])
		}
		s.publish()
		s.RunFor(c.interval)
		if s.acked < s.published {
			t.Fatalf("seed %d: version %d was not confirmed within %s of replacement %d; the leader is %q, the voters are %v", seed, s.published, c.interval, turn+1, s.leader(), s.voters())
		}
	}
	s.Heal()
	s.RunFor(6 * core.Second)
	voters := s.voters()
	lost := slices.DeleteFunc(slices.Clone(voters), func(name string) bool { return slices.Contains(names, name) })
	if want := min(len(names), 9); len(voters)-len(lost) != want {
		t.Errorf("seed %d: %d of %d control hosts that run vote 6 s after the last replacement, expected %d: %v", seed, len(voters)-len(lost), len(names), want, voters)
	}
	// A host that was replaced in the last seconds may still count; the group must bear the loss of as many hosts again.
	if left := len(voters) - len(lost) - c.count; left < len(voters)/2+1 {
		t.Errorf("seed %d: of the voters %v, %v are lost: the loss of %d more would leave no majority", seed, voters, lost, c.count)
	}
	s.settle()
}

// TestCutHostsJoinAgain guards against control hosts that stay out of the group for good after they were taken out while they were
// merely cut off, and against a group that gives up members beyond what it can spare.
func TestCutHostsJoinAgain(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		hosts, cut int
		length     core.Millis
		// kept is the number of voters that the group must have at the end of the cut.
		kept int
	}{
		{"one of three", 3, 1, 20 * core.Second, 3},
		{"one of five", 5, 1, 20 * core.Second, 4},
		{"two of five", 5, 2, 20 * core.Second, 5},
		{"two of six", 6, 2, 20 * core.Second, 6},
		{"two of six, shortly", 6, 2, 8 * core.Second, 6},
		{"two of nine", 9, 2, 20 * core.Second, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				var zones []string
				for i := range c.hosts {
					zones = append(zones, controlZones[i%len(controlZones)])
				}
				s := newSiteIn(t, 400+seed, zones, entryZones)
				s.RunFor(8 * core.Second)
				for i := range c.cut {
					name := fmt.Sprintf("control-%d", (i+int(seed))%c.hosts)
					s.Isolate(name, s.upControls(), true)
				}
				s.publish()
				s.RunFor(c.length)
				if got := len(s.voters()); got < c.kept {
					t.Errorf("seed %d: %d voters are left at the end of the cut, expected %d", seed, got, c.kept)
				}
				s.Heal()
				s.RunFor(6 * core.Second)
				if got := len(s.voters()); got != c.hosts {
					t.Errorf("seed %d: %d of %d control hosts vote 6 s after the cut", seed, got, c.hosts)
				}
				s.settle()
			}
		})
	}
}
