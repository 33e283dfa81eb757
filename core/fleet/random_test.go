package fleet_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"clementinelock/core"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// faults lists what may happen in a random run; a disk is lost only while all others are intact.
var faults = []struct {
	name   string
	inject func(s *site)
}{
	{"kill", func(s *site) { s.restartAfter(s.anyHost("control", 6), false, 500) }},
	{"kill an entry host", func(s *site) { s.restartAfter(s.anyHost("entry", 9), false, 500) }},
	{"power loss", func(s *site) { s.restartAfter(s.anyHost("control", 6), true, 3000) }},
	{"power loss of all", func(s *site) {
		for i := range 6 {
			s.restartAfter(fmt.Sprintf("control-%d", i), true, 900)
		}
	}},
	{"freeze", func(s *site) {
		name := s.anyHost("control", 6)
		s.Freeze(name, true)
		s.At(s.Now+core.Millis(s.Rand.IntN(6000)), func() { s.Freeze(name, false) })
	}},
	{"cut one off", func(s *site) {
		name := s.anyHost("control", 6)
		s.Isolate(name, s.others(name), true)
		s.At(s.Now+core.Millis(s.Rand.IntN(6000)), s.Heal)
	}},
	{"cut in halves", func(s *site) {
		for _, a := range []string{"control-0", "control-1", "control-3"} {
			for _, b := range []string{"control-2", "control-4", "control-5"} {
				s.Cut(a, b, true)
				s.Cut(b, a, true)
			}
		}
		s.At(s.Now+core.Millis(s.Rand.IntN(6000)), s.Heal)
	}},
	{"cut one way", func(s *site) {
		name := s.anyHost("control", 6)
		for _, other := range s.others(name) {
			s.Cut(name, other, true)
		}
		s.At(s.Now+core.Millis(s.Rand.IntN(4000)), s.Heal)
	}},
	{"lost messages", func(s *site) { s.LossRate = 0.05 }},
	{"no lost messages", func(s *site) { s.LossRate = 0 }},
	{"list changes", func(s *site) {
		s.list = append(s.list[max(0, len(s.list)-5):], roster.Entry{ID: fmt.Sprintf("i-%d", s.Now), Service: "s", Zone: "r0-a", Address: "a", Slots: 3, Draining: s.Rand.IntN(2) == 0})
	}},
	{"evacuate", func(s *site) { s.evacuate("r1-b", true) }},
	{"take back", func(s *site) { s.evacuate("r1-b", false) }},
}

// anyHost returns a random host of a kind.
func (s *site) anyHost(kind string, count int) string {
	return fmt.Sprintf("%s-%d", kind, s.Rand.IntN(count))
}

func (s *site) others(name string) []string {
	var others []string
	for i := range 6 {
		if other := fmt.Sprintf("control-%d", i); other != name {
			others = append(others, other)
		}
	}
	return others
}

func (s *site) restartAfter(name string, powerLoss bool, maxDelay int) {
	if !s.Up(name) {
		return
	}
	s.crash(name, powerLoss)
	s.At(s.Now+core.Millis(100+s.Rand.IntN(maxDelay)), func() { s.startHost(name) })
}

// run runs one seed: rounds of random faults with orders and reads among them. After each round the faults are
// healed, and all that was confirmed must hold.
func run(t *testing.T, seed uint64) {
	s := newSite(t, seed)
	// Traffic starts 8 s after the hosts; the first version has to be accepted before.
	s.RunFor(500)
	s.publish()
	s.RunFor(7500)
	if s.acked == 0 {
		t.Fatal("the first version was not accepted within 8 s")
	}
	for range 3 {
		for range 12 {
			fault := faults[s.Rand.IntN(len(faults))]
			fault.inject(s)
			s.publish()
			s.RunFor(core.Millis(s.Rand.IntN(1500)))
			s.read(1, func(routes.Document) {})
		}
		s.settle()
		if s.Rand.IntN(2) == 0 {
			// One disk may be lost right after an acknowledgement while all others are intact.
			s.replaceDisk(s.anyHost("control", 6))
			s.RunFor(core.Second)
			s.settle()
			s.RunFor(5 * core.Second)
		}
	}
}

// TestRandomFaults runs seeds of random faults; FLEET_SEEDS sets how many, FLEET_SEED the first.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	first, count := envNumber("FLEET_SEED", 1), envNumber("FLEET_SEEDS", 25)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { run(t, seed) })
	}
}

func envNumber(name string, otherwise uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return value
}
