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
	"clementinelock/core/model"
	"clementinelock/core/tree"
	"clementinelock/io/config"
)

// faults is the table of what may happen in a random run.
var faults = []struct {
	name  string
	cause func(s *model.Site)
}{
	{"crash", func(s *model.Site) { s.Kill(s.AnyHost()) }},
	{"restart", func(s *model.Site) {
		if name := s.AnyHost(); !s.Up(name) {
			s.Begin(name)
		}
	}},
	{"restart at once", func(s *model.Site) {
		name := s.AnyHost()
		s.Kill(name)
		s.At(s.Now+core.Millis(s.Rand.IntN(300)), func() {
			if !s.Up(name) {
				s.Begin(name)
			}
		})
	}},
	{"freeze", func(s *model.Site) {
		name := s.AnyHost()
		s.Freeze(name, true)
		s.At(s.Now+core.Millis(s.Rand.IntN(4000)), func() { s.Freeze(name, false) })
	}},
	{"cut a zone off", func(s *model.Site) { s.CutZone(s.View.Zones[s.Rand.IntN(len(s.View.Zones))].Name, true) }},
	{"silent connection", func(s *model.Site) {
		from, to := s.AnyHost(), s.AnyHost()
		if s.Zone(from) == s.Zone(to) {
			s.Cut(from, to, true)
			s.At(s.Now+1200, func() { s.Cut(from, to, false) })
		}
	}},
	{"heal", func(s *model.Site) { s.Heal() }},
	{"heal again", func(s *model.Site) { s.Heal() }},
	{"endpoint dies", func(s *model.Site) { s.AnyEndpoint().Dead = true }},
	{"endpoint lives", func(s *model.Site) { s.AnyEndpoint().Dead = false }},
	{"endpoint slow", func(s *model.Site) { s.AnyEndpoint().Slow = core.Millis(s.Rand.IntN(400)) }},
	{"endpoint fast", func(s *model.Site) { s.AnyEndpoint().Slow = 0 }},
	{"lost messages", func(s *model.Site) { s.Loss = 0.05 }},
	{"no lost messages", func(s *model.Site) { s.Loss = 0 }},
	{"repeated messages", func(s *model.Site) { s.Repeat = 0.1 }},
	{"planned stop", func(s *model.Site) {
		s.Step(s.AnyHost(), func(m *host.Machine) core.Effects { return m.Stop(s.Now) })
	}},
	{"leaving endpoint", func(s *model.Site) {
		for endpoint := range s.Upstream {
			since := s.Now
			s.Step(s.AnyHost(), func(m *host.Machine) core.Effects {
				return m.TakeFeed(since, host.Feed{Notices: []member.Notice{{Endpoint: endpoint, Leaving: s.Rand.IntN(2) == 0, Since: since}}})
			})
			return
		}
	}},
	{"edit", func(s *model.Site) {
		edit := &tree.Edit{ID: "e" + strconv.FormatUint(s.Rand.Uint64(), 36), Base: s.Confirmed(s.Control[0]), Changes: []tree.Change{
			{Path: "/", Setting: "QueueLimit", Value: strconv.Itoa(100 + s.Rand.IntN(100))},
		}}
		s.Ask(s.AnyHost(), ctrl.Request{Question: ctrl.AskEdit, Edit: edit}, func(*ctrl.Body, *core.Refusal) {})
	}},
}

// callers makes requests of all sorts for a while: some keys come twice, at once or later, to the same host or others.
func callers(s *model.Site, length core.Millis, each core.Millis) {
	end := s.Now + length
	var next func()
	next = func() {
		if s.Now >= end {
			return
		}
		oneCaller(s)
		s.At(s.Now+1+core.Millis(s.Rand.IntN(int(2*each))), next)
	}
	next()
}

func oneCaller(s *model.Site) {
	service := s.View.Services[s.Rand.IntN(len(s.View.Services))]
	remaining := 50 + core.Millis(s.Rand.IntN(1500))
	switch s.Rand.IntN(4) {
	case 0:
		s.Call(s.AnyHost(), service, "", false, remaining)
	case 1:
		s.Call(s.AnyHost(), service, "", true, remaining)
	default:
		key := s.IssuedKey()
		if s.Rand.IntN(2) == 0 {
			key = "k" + strconv.FormatUint(s.Rand.Uint64(), 36)
		}
		s.Call(s.AnyHost(), service, key, true, remaining)
		for range s.Rand.IntN(3) {
			s.At(s.Now+core.Millis(s.Rand.IntN(3000)), func() { s.Call(s.AnyHost(), service, key, true, remaining) })
		}
	}
}

func newSite(t testing.TB, seed uint64, user string) *model.Site {
	t.Helper()
	read, err := config.ReadTree("../../examples/" + user + "/tree.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &model.Site{Seed: seed, Tree: read, Fail: t.Fatalf}
	s.Start()
	return s
}

func runSite(t testing.TB, seed uint64) *model.Site {
	t.Helper()
	s := newSite(t, seed, []string{"instituto", "yildirim"}[seed%2])
	s.PutTree()
	callers(s, 12*core.Second, 15)
	for range 20 {
		s.For(core.Millis(s.Rand.IntN(1000)))
		faults[s.Rand.IntN(len(faults))].cause(s)
	}
	s.Heal()
	s.For(12 * core.Second)
	s.CheckDoubles()
	s.CheckAnswered()
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
	t.Logf("answers %v, %d requests", s.Answers, len(s.Requests))
	if s.Answers[model.Served]*2 < len(s.Requests) {
		t.Fatalf("only %d of %d requests were answered: %v", s.Answers[model.Served], len(s.Requests), s.Answers)
	}
}
