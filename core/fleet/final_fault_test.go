package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
)

// readsAfterFault holds when the first control host, and each one that runs, answered a read after a final fault, counted from their
// restart; 0 if not at all.
type readsAfterFault struct {
	first, all core.Millis
}

// replaceHostsBeforeFault replaces control hosts beside orders, lets a fault strike and reads at each control host once all are back.
func replaceHostsBeforeFault(t testing.TB, seed uint64, replaced int, victim, fault string, planned bool, interval core.Millis) readsAfterFault {
	s := newSiteIn(t, seed, controlZones, entryZones)
	s.RunFor(8 * core.Second)
	var names []string
	for i := range controlZones {
		names = append(names, fmt.Sprintf("control-%d", i))
	}
	calm := func(length core.Millis) {
		for end := s.Now + length; s.Now < end; {
			s.publish()
			s.RunFor(900)
		}
	}
	calm(3600)
	for range replaced {
		name := names[s.Rand.IntN(len(names))]
		switch leader := s.leader(); {
		case victim == "oldest":
			name = names[0]
		case victim == "leader" && slices.Contains(names, leader):
			name = leader
		}
		i := slices.Index(names, name)
		names = slices.Delete(names, i, i+1)
		zone := s.zones[name]
		if planned {
			names = append(names, s.addControl(zone))
			s.At(s.Now+2*core.Second, func() {
				s.Apply(name, s.controls[name].Stop(s.Now))
				s.At(s.Now+100, func() { s.removeHost(name) })
			})
		} else {
			s.removeHost(name)
			s.At(s.Now+core.Second, func() { names = append(names, s.addControl(zone)) })
		}
		calm(interval)
	}
	var o readsAfterFault
	lost := names[s.Rand.IntN(len(names))]
	if leader := s.leader(); leader != "" && s.Rand.IntN(2) == 0 {
		lost = leader
	}
	switch fault {
	case "one disk":
		s.replaceDisk(lost)
	case "one disk, all lose power":
		for _, name := range names {
			s.crash(name, true)
		}
		s.replaceDisk(lost)
	}
	s.RunFor(core.Second)
	for _, name := range names {
		s.startHost(name)
	}
	back, acked := s.Now, s.acked
	read := map[string]bool{}
	for s.Now < back+20*core.Second && o.all == 0 {
		for _, name := range names {
			if !s.Up(name) {
				continue
			}
			s.ticket++
			s.replies[s.ticket] = func(r core.Reply) {
				if r.Refusal != nil {
					return
				}
				if got := r.Body.(*fleet.OrderResult).Document.Version; got < acked {
					t.Errorf("seed %d: %s answered a read with version %d after version %d was confirmed", seed, name, got, acked)
				}
				if read[name] = true; o.first == 0 {
					o.first = s.Now - back
				}
				if len(read) == len(names) && o.all == 0 {
					o.all = s.Now - back
				}
			}
			s.Apply(name, s.controls[name].Read(s.clock(name), s.ticket))
		}
		s.RunFor(250)
	}
	return o
}

// TestFinalFaultAfterReplacements guards against control hosts that refuse reads and orders for good (issue 48): replaced hosts
// counted towards the majority, newcomers did not, and one lost disk more took the majority.
func TestFinalFaultAfterReplacements(t *testing.T) {
	t.Parallel()
	// recovery is the time that a host with an empty disk has to catch up.
	const recovery = 4 * core.Second
	for _, replaced := range []int{2, 3, 4} {
		for _, victim := range []string{"oldest", "leader", "any", "planned"} {
			for _, fault := range []string{"one disk", "one disk, all lose power"} {
				t.Run(fmt.Sprintf("%d, %s, %s", replaced, victim, fault), func(t *testing.T) {
					for _, seed := range []uint64{500, 501, 504, 505} {
						o := replaceHostsBeforeFault(t, seed, replaced, victim, fault, victim == "planned", 9*core.Second)
						switch {
						case o.first == 0:
							t.Errorf("seed %d: no control host answered a read within 20 s of the restart", seed)
						case o.all == 0:
							t.Errorf("seed %d: the first read was answered after %s, but not at each control host within 20 s", seed, o.first)
						case o.all > recovery:
							t.Errorf("seed %d: each control host answered a read only after %s, expected within %s", seed, o.all, recovery)
						}
					}
				})
			}
		}
	}
}
