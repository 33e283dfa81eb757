package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"clementinelock/core"
)

// zonesOf lists the availability zones of a deployment's control hosts: as many in each zone as given, in random order, so that the
// first three, the initial voters, stand anywhere.
func zonesOf(seed uint64, counts map[string]int) []string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		for range counts[zone] {
			zones = append(zones, zone)
		}
	}
	rand.New(rand.NewPCG(seed, 48)).Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	return zones
}

// evenly returns how many of the control hosts each of three regions with three availability zones has.
func evenly(hosts int) map[string]int {
	zones := []string{"r0-a", "r1-a", "r2-a", "r0-b", "r1-b", "r2-b", "r0-c", "r1-c", "r2-c"}
	counts := map[string]int{}
	for i := range hosts {
		counts[zones[i%len(zones)]]++
	}
	return counts
}

// spreadCases are deployments with more control hosts than may vote, of which an even choice of voters bears the loss of any region.
var spreadCases = []struct {
	name   string
	counts map[string]int
}{
	{"10 hosts", evenly(10)},
	{"12 hosts", evenly(12)},
	{"14 hosts", evenly(14)},
	{"27 hosts", evenly(27)},
	{"12 hosts, half of them in one region", map[string]int{"r0-a": 2, "r0-b": 2, "r0-c": 2, "r1-a": 3, "r2-a": 2, "r2-b": 1}},
	{"14 hosts, most of a region in one zone", map[string]int{"r0-a": 7, "r0-b": 1, "r1-a": 2, "r1-b": 1, "r2-a": 2, "r2-b": 1}},
}

// votersIn counts the voters by a part of the deployment, and returns the part with the most.
func (s *site) votersIn(part func(zone string) string) (most string, counts map[string]int) {
	counts = map[string]int{}
	for _, name := range s.voters() {
		counts[part(s.zones[name])]++
	}
	for _, each := range slices.Sorted(maps.Keys(counts)) {
		if counts[each] > counts[most] {
			most = each
		}
	}
	return most, counts
}

// loseMostVoters ends all hosts of the region or availability zone with the most voters, and returns them; the others must have a
// leader and confirm a version within 3 s, the time that a leader may be missing.
func (s *site) loseMostVoters(part func(zone string) string) (lost []string, ok bool) {
	most, _ := s.votersIn(part)
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		if part(s.zones[name]) == most && s.Up(name) {
			s.crash(name, true)
			lost = append(lost, name)
		}
	}
	s.At(s.Now+2*core.Second, s.publish)
	s.RunFor(3 * core.Second)
	return lost, s.leader() != "" && s.acked == s.published
}

// TestVotersAreSpread guards against a group that the loss of one region or availability zone leaves without a leader for good: with
// more control hosts than may vote, those that were heard first voted, also where most of them stood in one region.
// FLEET_SEEDS sets the number of seeds, FLEET_SEED the first.
func TestVotersAreSpread(t *testing.T) {
	t.Parallel()
	for _, part := range []struct {
		name string
		of   func(zone string) string
	}{{"region", region}, {"zone", func(zone string) string { return zone }}} {
		for _, c := range spreadCases {
			t.Run(part.name+" of "+c.name, func(t *testing.T) {
				first, count := envNumber("FLEET_SEED", 1), envNumber("FLEET_SEEDS", 3)
				for seed := first; seed < first+count; seed++ {
					t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { loseRegions(t, seed, c.counts, part.of) })
				}
			})
		}
	}
}

func loseRegions(t *testing.T, seed uint64, counts map[string]int, part func(zone string) string) {
	t.Helper()
	s := newSiteIn(t, seed, zonesOf(seed, counts), entryZones)
	s.RunFor(500)
	s.publish()
	s.RunFor(9500)
	expectSpread := func(when string) {
		t.Helper()
		most, counts := s.votersIn(part)
		voters := len(s.voters())
		if voters-counts[most] < voters/2+1 {
			t.Errorf("%s: %d of %d voters stand in %s: %v", when, counts[most], voters, most, counts)
		}
	}
	expectSpread("after the start")
	for range 3 {
		names := s.upControls()
		victim := names[s.Rand.IntN(len(names))]
		zone := s.zones[victim]
		s.removeHost(victim)
		s.At(s.Now+core.Second, func() { s.addControl(zone) })
		s.RunFor(7 * core.Second)
	}
	expectSpread("after three replacements")
	for turn := range 3 {
		lost, ok := s.loseMostVoters(part)
		if !ok {
			s.RunFor(core.Minute)
			t.Fatalf("loss %d: the other hosts have no leader, or confirm no version, 3 s after %v were lost; a minute later the leader is %q", turn+1, lost, s.leader())
		}
		s.RunFor(core.Millis(s.Rand.IntN(20000)))
		for _, name := range lost {
			s.startHost(name)
		}
		// The time after which hosts that are back must bear the next loss.
		s.RunFor(6 * core.Second)
		expectSpread(fmt.Sprintf("6 s after the end of loss %d", turn+1))
	}
}

// TestSpreadVotersStay guards against a membership that changes all the time: voters that are spread stay, also while one after the
// other is briefly out of reach.
func TestSpreadVotersStay(t *testing.T) {
	t.Parallel()
	for _, c := range spreadCases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newSiteIn(t, seed, zonesOf(seed, c.counts), entryZones)
				s.RunFor(15 * core.Second)
				voters := s.voters()
				for range 6 {
					freezeFor(800*core.Millisecond)(s, voters[s.Rand.IntN(len(voters))])
					s.RunFor(5 * core.Second)
				}
				if got := s.voters(); !slices.Equal(got, voters) {
					t.Errorf("seed %d: the voters changed from %v to %v", seed, voters, got)
				}
			}
		})
	}
}
