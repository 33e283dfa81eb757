package fleet_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/routes"
)

// askAt gives a control host a request of an operator, and returns how long the answer took; ok is false if it was refused or did
// not come within a second.
func (s *site) askAt(name string, request func(c *fleet.Control, ticket uint64) core.Effects) (took core.Millis, ok bool) {
	s.ticket++
	ticket, over, start := s.ticket, false, s.Now
	s.replies[ticket] = func(r core.Reply) { ok, over = r.Refusal == nil, true }
	s.Apply(name, request(s.controls[name], ticket))
	for end := s.Now + core.Second; s.Now < end && !over; {
		s.RunFor(10)
	}
	delete(s.replies, ticket)
	return s.Now - start, ok
}

// readAt reads the configuration at a control host.
func (s *site) readAt(name string) (took core.Millis, ok bool) {
	return s.askAt(name, func(c *fleet.Control, ticket uint64) core.Effects { return c.Read(s.clock(name), ticket) })
}

// publishAt gives a control host the next version.
func (s *site) publishAt(name string) (took core.Millis, ok bool) {
	s.published++
	document := routes.Document{Version: s.published, Text: fmt.Appendf(nil, "version %d", s.published)}
	took, ok = s.askAt(name, func(c *fleet.Control, ticket uint64) core.Effects { return c.Publish(s.clock(name), ticket, document) })
	if ok {
		s.acked = document.Version
	}
	return took, ok
}

// pauseAll pauses control hosts for some time, and runs on for up to a tenth of a second.
func (s *site) pauseAll(names []string, length core.Millis) {
	for _, each := range names {
		s.Freeze(each, true)
	}
	s.RunFor(length)
	for _, each := range names {
		s.Freeze(each, false)
	}
	s.RunFor(core.Millis(10 * s.Rand.IntN(10)))
}

// TestReadRightAfterAPause guards against reads and configurations that are refused because the control host was just paused, as a
// process is on a busy machine: unlike an evacuation neither can undo what the operator has given to another host meanwhile.
func TestReadRightAfterAPause(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		length core.Millis
		// leader and all pause the leader and all hosts at once too. That must not be longer than the minimum election
		// timeout less a heartbeat, or a leader is elected meanwhile.
		leader, all bool
	}{{600, true, true}, {800, false, false}} {
		for seed := range uint64(10) {
			s := newSite(t, seed)
			s.RunFor(8 * core.Second)
			s.publishAt(s.leader())
			up := s.upControls()
			groups := [][]string{}
			for _, name := range up {
				if c.leader || name != s.leader() {
					groups = append(groups, []string{name})
				}
			}
			if c.all {
				groups = append(groups, up)
			}
			for turn, paused := range groups {
				asked := paused[turn%len(paused)]
				s.pauseAll(paused, c.length)
				if took, ok := s.readAt(asked); !ok {
					t.Errorf("seed %d: %s refused a read after %s, right after a pause of %s", seed, asked, took, c.length)
				}
				s.RunFor(2 * core.Second)
				s.pauseAll(paused, c.length)
				if took, ok := s.publishAt(asked); !ok {
					t.Errorf("seed %d: %s refused a configuration after %s, right after a pause of %s", seed, asked, took, c.length)
				}
				s.RunFor(2 * core.Second)
			}
		}
	}
}

// TestReadsBesideSlowDisks guards against reads that wait for disks: a follower that answers the leader only once its writes are on
// disk lets reads be refused, and the leader be deposed, as soon as a sync takes longer than a second.
func TestReadsBesideSlowDisks(t *testing.T) {
	t.Parallel()
	for _, delay := range []core.Millis{500, 1000, 2000} {
		for seed := range uint64(10) {
			s := newSite(t, seed)
			s.RunFor(8 * core.Second)
			s.publishAt(s.leader())
			leader := s.leader()
			for turn := range 12 {
				s.syncDelay = delay
				s.publish()
				s.RunFor(core.Millis(100 * s.Rand.IntN(10)))
				asked := s.upControls()[turn%6]
				if took, ok := s.readAt(asked); !ok {
					t.Errorf("seed %d: %s refused a read after %s, beside syncs of %s", seed, asked, took, delay)
				}
			}
			if got := s.leader(); got != leader {
				t.Errorf("seed %d: %s leads after slow syncs in place of %q", seed, got, leader)
			}
		}
	}
}

// TestReadsOnceAHostIsBack guards against control hosts that refuse reads for longer than a machine that is back has to catch up, 4 s: one
// that was removed meanwhile, that has lost its disk, or that was cut off, at it and at all others.
func TestReadsOnceAHostIsBack(t *testing.T) {
	t.Parallel()
	const catchUp = 4 * core.Second
	for _, c := range []struct {
		name    string
		disturb func(s *site, name string, length core.Millis)
	}{
		{"stopped", func(s *site, name string, length core.Millis) {
			s.crash(name, true)
			s.RunFor(length)
			s.startHost(name)
		}},
		{"without its disk", func(s *site, name string, length core.Millis) {
			s.replaceDisk(name)
			s.RunFor(length)
			s.startHost(name)
		}},
		{"frozen", func(s *site, name string, length core.Millis) {
			s.Freeze(name, true)
			s.RunFor(length)
			s.Freeze(name, false)
		}},
		{"cut off", func(s *site, name string, length core.Millis) {
			s.Isolate(name, s.upControls(), true)
			s.RunFor(length)
			s.Heal()
		}},
		{"cut off one way", func(s *site, name string, length core.Millis) {
			for _, other := range s.upControls() {
				s.Cut(name, other, other != name)
			}
			s.RunFor(length)
			s.Heal()
		}},
		{"all stopped", func(s *site, name string, length core.Millis) {
			s.replaceDisk(name)
			for _, other := range s.upControls() {
				s.crash(other, true)
			}
			s.RunFor(min(length, 3*core.Second))
			for other := range s.disks {
				s.startHost(other)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(6) {
				s := newSite(t, 2300+seed)
				s.RunFor(8 * core.Second)
				s.publishAt(s.leader())
				for _, length := range []core.Millis{500, 1500, 4 * core.Second, 20 * core.Second} {
					name := s.anyHost("control", 6)
					if seed%3 == 0 {
						name = s.leader()
					}
					c.disturb(s, name, length)
					s.RunFor(catchUp)
					for _, asked := range s.upControls() {
						if took, ok := s.readAt(asked); !ok {
							t.Errorf("seed %d: %s refused a read after %s, 4s after %s was back from %s", seed, asked, took, name, length)
						}
					}
					s.publish()
					s.RunFor(2 * core.Second)
				}
				s.settle()
			}
		})
	}
}
