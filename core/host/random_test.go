package host_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/ctrl"
	"clementinelock/core/host"
	"clementinelock/core/member"
	"clementinelock/core/tree"
)

// faults is the table of what may happen in a random run.
var faults = []struct {
	name  string
	cause func(s *site)
}{
	{"crash", func(s *site) { s.crash(s.anyHost()) }},
	{"restart", func(s *site) {
		if name := s.anyHost(); !s.Up(name) {
			s.start(name)
		}
	}},
	{"restart at once", func(s *site) {
		name := s.anyHost()
		s.crash(name)
		s.At(s.Now+core.Millis(s.Rand.IntN(300)), func() {
			if !s.Up(name) {
				s.start(name)
			}
		})
	}},
	{"freeze", func(s *site) {
		name := s.anyHost()
		s.Freeze(name, true)
		s.At(s.Now+core.Millis(s.Rand.IntN(4000)), func() { s.Freeze(name, false) })
	}},
	{"cut a zone off", func(s *site) { s.cutZone(s.view.Zones[s.Rand.IntN(len(s.view.Zones))].Name, true) }},
	{"silent connection", func(s *site) {
		from, to := s.anyHost(), s.anyHost()
		if s.zoneOf(from) == s.zoneOf(to) {
			s.Cut(from, to, true)
			s.At(s.Now+1200, func() { s.Cut(from, to, false) })
		}
	}},
	{"heal", func(s *site) { s.Heal() }},
	{"heal again", func(s *site) { s.Heal() }},
	{"endpoint dies", func(s *site) { s.anyEndpoint().dead = true }},
	{"endpoint lives", func(s *site) { s.anyEndpoint().dead = false }},
	{"endpoint slow", func(s *site) { s.anyEndpoint().slow = core.Millis(s.Rand.IntN(400)) }},
	{"endpoint fast", func(s *site) { s.anyEndpoint().slow = 0 }},
	{"lost messages", func(s *site) { s.Loss = 0.05 }},
	{"no lost messages", func(s *site) { s.Loss = 0 }},
	{"repeated messages", func(s *site) { s.Repeat = 0.1 }},
	{"planned stop", func(s *site) {
		s.step(s.anyHost(), func(m *host.Machine) core.Effects { return m.Stop(s.Now) })
	}},
	{"leaving endpoint", func(s *site) {
		for endpoint := range s.ups {
			since := s.Now
			s.step(s.anyHost(), func(m *host.Machine) core.Effects {
				return m.TakeFeed(since, host.Feed{Notices: []member.Notice{{Endpoint: endpoint, Leaving: s.Rand.IntN(2) == 0, Since: since}}})
			})
			return
		}
	}},
	{"edit", func(s *site) {
		s.tickets++
		edit := &tree.Edit{ID: "e" + strconv.FormatUint(s.tickets, 10), Base: s.force[s.control[0]], Changes: []tree.Change{
			{Path: "/", Setting: "QueueLimit", Value: strconv.Itoa(100 + s.Rand.IntN(100))},
		}}
		s.ask(s.anyHost(), ctrl.Ask{Question: ctrl.AskEdit, Edit: edit}, func(*ctrl.Body, *core.Refusal) {})
	}},
}

// callers makes requests of all sorts for a while: some keys come twice, at once or later, to the same host or others.
func (s *site) callers(length core.Millis, each core.Millis) {
	end := s.Now + length
	var next func()
	next = func() {
		if s.Now >= end {
			return
		}
		s.oneCaller()
		s.At(s.Now+1+core.Millis(s.Rand.IntN(int(2*each))), next)
	}
	next()
}

func (s *site) oneCaller() {
	service := s.view.Services[s.Rand.IntN(len(s.view.Services))]
	remaining := 50 + core.Millis(s.Rand.IntN(1500))
	switch s.Rand.IntN(4) {
	case 0:
		s.call(s.anyHost(), service, "", false, remaining)
	case 1:
		s.call(s.anyHost(), service, "", true, remaining)
	default:
		key := s.issuedKey()
		if s.Rand.IntN(2) == 0 {
			key = "k" + strconv.FormatUint(s.Rand.Uint64(), 36)
		}
		s.call(s.anyHost(), service, key, true, remaining)
		for range s.Rand.IntN(3) {
			s.At(s.Now+core.Millis(s.Rand.IntN(3000)), func() { s.call(s.anyHost(), service, key, true, remaining) })
		}
	}
}

func runSite(t testing.TB, seed uint64) *site {
	s := newSite(t, seed, []string{"instituto", "yildirim"}[seed%2])
	s.putTree()
	s.callers(12*core.Second, 15)
	for range 20 {
		s.For(core.Millis(s.Rand.IntN(1000)))
		faults[s.Rand.IntN(len(faults))].cause(s)
	}
	s.Heal()
	s.For(12 * core.Second)
	s.noDoubles()
	s.allAnswered()
	return s
}

// seeds returns how many seeds a test runs: the standard, or as many as SEEDS says.
func seeds(standard uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 64); err == nil {
		return n
	}
	return standard
}

func TestRandomFaults(t *testing.T) {
	const parts = 8
	first, _ := strconv.ParseUint(os.Getenv("FIRST"), 10, 64)
	for part := range uint64(parts) {
		t.Run(strconv.FormatUint(part, 10), func(t *testing.T) {
			t.Parallel()
			for seed := first + part + 1; seed <= first+seeds(160); seed += parts {
				runSite(t, seed)
			}
		})
	}
}

// TestSoak runs seeds from SOAK_SEED on for SOAK_TIME.
func TestSoak(t *testing.T) {
	length, err := time.ParseDuration(os.Getenv("SOAK_TIME"))
	if err != nil {
		t.Skip("SOAK_TIME is not set")
	}
	seed, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	if err != nil {
		t.Fatalf("SOAK_SEED: %v", err)
	}
	began, first := time.Now(), seed
	for ; time.Since(began) < length; seed++ {
		runSite(t, seed)
	}
	t.Logf("seeds %d to %d held", first, seed-1)
}

// TestRandomRunsServe checks that random runs are not empty: most requests are answered.
func TestRandomRunsServe(t *testing.T) {
	s := runSite(t, 1)
	t.Logf("answers %v, %d requests", s.answers, len(s.told))
	if s.answers["Answered"]*2 < len(s.told) {
		t.Fatalf("only %d of %d requests were answered: %v", s.answers["Answered"], len(s.told), s.answers)
	}
}
