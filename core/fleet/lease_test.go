package fleet_test

import (
	"slices"
	"testing"

	"clementinelock/core"
)

// worstOverrun runs the site for a time and returns by how much any entry host's contact was older than its lease, and for how
// long at most.
func (s *site) worstOverrun(length core.Millis, skip map[string]bool) (most, longest core.Millis) {
	const step = 10
	since := map[string]core.Millis{}
	for until := s.Now + length; s.Now < until; {
		s.RunFor(step)
		for name, e := range s.entries {
			if skip[name] || !s.Up(name) {
				continue
			}
			over := s.Now - e.ContactAt() - e.ContactLease()
			if over <= 0 {
				since[name] = 0
				continue
			}
			since[name] += step
			most, longest = max(most, over), max(longest, since[name])
		}
	}
	return most, longest
}

// TestContactLeaseInCalm guards against hosts that count as isolated, and use endpoints less, while nothing is wrong.
func TestContactLeaseInCalm(t *testing.T) {
	t.Parallel()
	for _, repeat := range []int{1, 5, 10, 32} {
		entries := slices.Repeat(entryZones, repeat)
		for seed := range uint64(4) {
			s := newSiteIn(t, 900+seed, controlZones, entries)
			s.RunFor(12 * core.Second)
			if most, longest := s.worstOverrun(20*core.Second, nil); most > 0 {
				t.Errorf("%d entry hosts, seed %d: contact was older than its lease by up to %s, for %s at a time", len(entries), seed, most, longest)
			}
		}
	}
}

// TestContactLeaseAcrossTheLossOfAControlHost guards against hosts that count as isolated since the control host that they report
// to is down, though others answer.
func TestContactLeaseAcrossTheLossOfAControlHost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSite(t, 900+seed)
		s.RunFor(10*core.Second + core.Millis(seed)*70)
		leader := s.leader()
		lost := s.upControls()[int(seed)%len(s.upControls())]
		if lost == leader {
			lost = s.upControls()[(int(seed)+1)%len(s.upControls())]
		}
		s.crash(lost, false)
		if most, longest := s.worstOverrun(8*core.Second, nil); most > 0 {
			t.Errorf("seed %d: contact was older than its lease by up to %s, for %s at a time", seed, most, longest)
		}
	}
}

// TestContactLeaseWhileALeaderIsElected guards against hosts that count as isolated in each change of the leader.
func TestContactLeaseWhileALeaderIsElected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSite(t, 900+seed)
		s.RunFor(10 * core.Second)
		leader := s.leader()
		skip := map[string]bool{}
		for name, e := range s.entries {
			skip[name] = e.CurrentControl() == leader
		}
		s.Freeze(leader, true)
		if most, longest := s.worstOverrun(6*core.Second, skip); most > 0 {
			t.Errorf("seed %d: contact was older than its lease by up to %s, for %s at a time", seed, most, longest)
		}
	}
}
