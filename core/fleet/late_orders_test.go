package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/edits"
	"clementinelock/core/fleet"
	"clementinelock/core/routes"
)

const evacuatedZone = "r1-b"

// orderAt gives a control host an evacuation's start or end, and returns whether the operator has a confirmation within a second.
func (s *site) orderAt(name string, active bool) (confirmed bool) {
	s.ticket++
	ticket, over := s.ticket, false
	s.replies[ticket] = func(r core.Reply) { confirmed, over = r.Refusal == nil, true }
	s.Apply(name, s.controls[name].Evacuate(s.clock(name), ticket, edits.Evacuation{Zone: evacuatedZone, Active: active}))
	for end := s.Now + core.Second; s.Now < end && !over; {
		s.RunFor(10)
	}
	delete(s.replies, ticket)
	return confirmed
}

// setClocks lets the clocks of control hosts differ by up to half an hour, as the clocks of processes do that count from some moment
// of their own.
func (s *site) setClocks() {
	for i := range 6 {
		s.clocks[fmt.Sprintf("control-%d", i)] = core.Millis(s.Rand.Int64N(int64(core.Hour))) - 30*core.Minute
	}
}

// twoFollowers returns two control hosts that don't lead, others for each seed.
func (s *site) twoFollowers(seed uint64) (first, second string) {
	leader := s.leader()
	names := slices.DeleteFunc(s.upControls(), func(name string) bool { return name == leader })
	return names[seed%uint64(len(names))], names[(seed+1)%uint64(len(names))]
}

// TestOrderToACutOffHost guards against an order that a cut-off control host has refused, and that reaches the leader when the cut
// heals, after the operator has given it to another host and has taken it back there.
func TestOrderToACutOffHost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		for _, late := range []core.Millis{0, 300, 600, 1200, 2000, 5000} {
			s := newSite(t, seed)
			s.setClocks()
			s.RunFor(8 * core.Second)
			cut, other := s.twoFollowers(seed)
			if !s.orderAt(other, true) {
				t.Fatalf("seed %d: the first order is not confirmed", seed)
			}
			// What the host sends waits for the end of the cut.
			s.Late = func(from, to string, _ core.Message) []core.Millis {
				if from == cut || to == cut {
					return []core.Millis{late + 1500}
				}
				return []core.Millis{0}
			}
			if s.orderAt(cut, false) {
				t.Fatalf("seed %d: an order is confirmed by a host that is cut off", seed)
			}
			if !s.orderAt(other, false) || !s.orderAt(other, true) {
				t.Fatalf("seed %d: orders to a host that is not cut off are not confirmed", seed)
			}
			s.RunFor(core.Second)
			s.Late = nil
			s.RunFor(8 * core.Second)
			for _, name := range s.upControls() {
				if !slices.Contains(s.controls[name].Dump(s.clock(name)).Evacuated, evacuatedZone) {
					t.Fatalf("seed %d, %s late: %s holds the zone as not evacuated, although the latest order that was confirmed starts the evacuation", seed, late, name)
				}
			}
		}
	}
}

// TestOrderToAHostWithoutAMajority guards against orders that wait at a control host that can't have them confirmed, a former leader or
// not: the operator could give them to another one meanwhile. While a leader is elected they wait for it.
func TestOrderToAHostWithoutAMajority(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		for _, cutLeader := range []bool{false, true} {
			s := newSite(t, seed)
			s.setClocks()
			s.RunFor(8 * core.Second)
			leader := s.leader()
			cut, other := s.twoFollowers(seed)
			if cutLeader {
				cut = leader
			}
			rest := slices.DeleteFunc(s.upControls(), func(name string) bool { return name == cut })
			s.Isolate(cut, rest, true)
			s.RunFor(2*core.Second + core.Millis(seed)*100)
			start := s.Now
			if s.orderAt(cut, true) {
				t.Fatalf("seed %d: an order is confirmed by a host that is cut off", seed)
			}
			if took := s.Now - start; took > 100 {
				t.Errorf("seed %d, leader %v: a host without a majority refused an order after %s, expected at once", seed, cutLeader, took)
			}
			if !s.orderAt(other, true) {
				t.Errorf("seed %d, leader %v: a host that is not cut off did not confirm the order", seed, cutLeader)
			}
			s.Isolate(cut, rest, false)
			s.RunFor(4 * core.Second)
			if !s.orderAt(cut, false) {
				t.Errorf("seed %d, leader %v: the host did not confirm an order after the cut", seed, cutLeader)
			}

			// The leader ends: others elect one, and an order that comes meanwhile is not refused before its time.
			leader = s.leader()
			s.crash(leader, false)
			s.RunFor(core.Millis(100 * (seed % 15)))
			asked := s.upControls()[seed%uint64(len(s.upControls()))]
			start = s.Now
			if !s.orderAt(asked, true) && s.Now-start < 800 {
				t.Errorf("seed %d: during the election an order was refused after %s", seed, s.Now-start)
			}
		}
	}
}

// TestLateOrders guards against any message of an order that comes late, twice or behind newer ones, also across changes of the
// leader and restarts: between two orders the state is that of the latest one confirmed, and a given order counts once.
func TestLateOrders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, 900+seed)
			s.setClocks()
			s.RunFor(8 * core.Second)
			s.Late = func(_, _ string, m core.Message) []core.Millis {
				switch m.(type) {
				case *fleet.Order, *fleet.OrderAnswer:
				default:
					return []core.Millis{0}
				}
				var copies []core.Millis
				for range 1 + s.Rand.IntN(3) {
					late := core.Millis(0)
					if s.Rand.IntN(2) == 0 {
						late = core.Millis(s.Rand.IntN(5000))
					}
					copies = append(copies, late)
				}
				return copies
			}
			active := false
			for turn := range 30 {
				active = !active
				if s.Rand.IntN(4) == 0 {
					name := s.anyHost("control", 6)
					if s.Rand.IntN(2) == 0 && s.leader() != "" {
						name = s.leader()
					}
					s.restartAfter(name, true, 1500)
				}
				confirmed := false
				for range 8 {
					up := s.upControls()
					if confirmed = s.orderAt(up[s.Rand.IntN(len(up))], active); confirmed {
						break
					}
				}
				if !confirmed {
					t.Fatalf("order %d is not confirmed within 8 s", turn)
				}
				if s.Rand.IntN(3) == 0 {
					continue
				}
				s.RunFor(core.Millis(s.Rand.IntN(6000)))
				leader := s.leader()
				if leader == "" {
					continue
				}
				if got := slices.Contains(s.controls[leader].Dump(s.clock(leader)).Evacuated, evacuatedZone); got != active {
					t.Fatalf("after order %d was confirmed the zone is evacuated: %t, expected %t", turn, got, active)
				}
			}
			s.RunFor(6 * core.Second)
			for _, name := range s.upControls() {
				if got := slices.Contains(s.controls[name].Dump(s.clock(name)).Evacuated, evacuatedZone); got != active {
					t.Errorf("in the end the zone is evacuated at %s: %t, expected %t", name, got, active)
				}
			}
		})
	}
}

// TestLateMessages plays random faults while any message may come late by up to 5 s, twice or behind newer ones: in the end all that was
// confirmed must hold.
func TestLateMessages(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSite(t, 1200+seed)
			s.RunFor(500)
			s.publish()
			s.RunFor(7500)
			for range 3 {
				s.Late = s.RandomlyLate(0.05, 5*core.Second)
				for range 12 {
					faults[s.Rand.IntN(len(faults))].inject(s)
					s.publish()
					s.RunFor(core.Millis(s.Rand.IntN(1500)))
					s.read(1, func(routes.Document) {})
				}
				s.Late = nil
				s.RunFor(5 * core.Second)
				s.settle()
			}
		})
	}
}
