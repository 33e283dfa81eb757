package fleet_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"clementinelock/core"
	"clementinelock/core/quorum"
)

// contactWindow and inForceTimeout are the users' bounds: how long a host must have had contact, and how long a
// confirmed version may then take to be in force.
const (
	contactWindow  = 3 * core.Second
	inForceTimeout = 2500 * core.Millisecond
)

// leader returns the control host that leads, or an empty name.
func (s *site) leader() string {
	for _, name := range s.upControls() {
		if s.controls[name].Dump(s.clock(name)).Quorum.Role == quorum.Leader {
			return name
		}
	}
	return ""
}

// TestEntryHostsLeaveMinority partitions the leader and another control host from the rest. Entry hosts that
// reach both sides must follow the majority, which elects a leader and confirms a version, within the bounds.
func TestEntryHostsLeaveMinority(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newSite(t, seed)
			s.RunFor(500)
			s.publish()
			s.RunFor(8 * core.Second)
			leader := s.leader()
			others := slices.DeleteFunc(s.upControls(), func(name string) bool { return name == leader })
			near := others[s.Rand.IntN(len(others))]
			for _, other := range others {
				if other != near {
					s.Isolate(other, []string{leader, near}, true)
				}
			}
			cut := s.Now
			for before := s.acked; s.acked == before; s.RunFor(300) {
				s.publish()
			}
			version := s.acked
			s.RunFor(max(cut+contactWindow, s.Now+inForceTimeout) - s.Now)
			for name, e := range s.entries {
				if view := e.View(s.Now); view.Document.Version < version {
					t.Errorf("entry host %s at %s has version %d, expected %d which was confirmed %s before", name, e.CurrentControl(), view.Document.Version, version, inForceTimeout)
				}
			}
		})
	}
}

// TestStartWithDeadSeed starts entry hosts while one of their three seeds is down. They must have the
// configuration and the list within a second.
func TestStartWithDeadSeed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newSite(t, 100+seed)
			s.RunFor(500)
			s.publish()
			s.RunFor(8 * core.Second)
			s.crash(s.seeds[seed%3], false)
			s.RunFor(4 * core.Second)
			for name := range s.entries {
				s.crash(name, false)
				s.startHost(name)
			}
			s.RunFor(core.Second)
			for name, e := range s.entries {
				if view := e.View(s.Now); view.Document.Version == 0 || !view.ListKnown {
					t.Errorf("entry host %s has version %d and list known %t a second after its start; it reports to %s", name, view.Document.Version, view.ListKnown, e.CurrentControl())
				}
			}
		})
	}
}

// TestStartAtMinority guards against entry hosts that start at a control host without a quorum and stay there. A
// control host is cut off from the others, and entry hosts start once that one has removed the others from its list.
// They must have the version that the others confirm within the bounds.
func TestStartAtMinority(t *testing.T) {
	t.Parallel()
	for _, variant := range []string{"keeps its disk", "loses its disk", "ends soon after"} {
		for seed := range uint64(20) {
			t.Run(variant+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				s := newSite(t, 300+seed)
				s.RunFor(500)
				s.publish()
				s.RunFor(8 * core.Second)
				alone := s.seeds[seed%3]
				for _, other := range s.upControls() {
					if other != alone {
						s.Isolate(other, []string{alone}, true)
					}
				}
				if variant == "loses its disk" {
					s.replaceDisk(alone)
					s.startHost(alone)
				}
				s.RunFor(5 * core.Second)
				for before := s.acked; s.acked == before; s.RunFor(300) {
					s.publish()
				}
				for _, name := range slices.Sorted(maps.Keys(s.entries)) {
					s.crash(name, false)
					s.startHost(name)
				}
				if variant == "ends soon after" {
					s.At(s.Now+200, func() { s.crash(alone, false) })
				}
				s.RunFor(contactWindow)
				for name, e := range s.entries {
					if view := e.View(s.Now); view.Document.Version < s.acked {
						t.Errorf("entry host %s at %s has version %d %s after its start, expected %d", name, e.CurrentControl(), view.Document.Version, contactWindow, s.acked)
					}
				}
			})
		}
	}
}

// TestRestartWithLostDisk restarts all hosts at once, one control host with an empty disk. Entry hosts must get
// the configuration from the others before that one is admitted again.
func TestRestartWithLostDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newSite(t, 200+seed)
			s.RunFor(500)
			s.publish()
			s.RunFor(8 * core.Second)
			for name := range s.zones {
				s.crash(name, true)
			}
			s.replaceDisk(s.seeds[seed%3])
			s.RunFor(700)
			for _, name := range slices.Sorted(maps.Keys(s.zones)) {
				s.startHost(name)
			}
			// The same bound as with a control host that is down.
			s.RunFor(core.Second)
			for name, e := range s.entries {
				if view := e.View(s.Now); view.Document.Version == 0 || !view.ListKnown {
					t.Errorf("entry host %s has version %d and list known %t a second after its start; it reports to %s", name, view.Document.Version, view.ListKnown, e.CurrentControl())
				}
			}
		})
	}
}
