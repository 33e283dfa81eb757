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

// faults lists the faults and changes that a random run injects.
var faults = []struct {
	name   string
	inject func(s *model.Deployment)
}{
	{"crash", func(s *model.Deployment) { s.Kill(s.AnyHost()) }},
	{"restart", func(s *model.Deployment) {
		if name := s.AnyHost(); !s.Up(name) {
			s.StartHost(name)
		}
	}},
	{"restart at once", func(s *model.Deployment) {
		name := s.AnyHost()
		s.Kill(name)
		s.At(s.Now+core.Millis(s.Rand.IntN(300)), func() {
			if !s.Up(name) {
				s.StartHost(name)
			}
		})
	}},
	{"freeze", func(s *model.Deployment) {
		name := s.AnyHost()
		s.Freeze(name, true)
		s.At(s.Now+core.Millis(s.Rand.IntN(4000)), func() { s.Freeze(name, false) })
	}},
	{"cut a zone off", func(s *model.Deployment) { s.CutZone(s.View.Zones[s.Rand.IntN(len(s.View.Zones))].Name, true) }},
	{"silent connection", func(s *model.Deployment) {
		from, to := s.AnyHost(), s.AnyHost()
		if s.Zone(from) == s.Zone(to) {
			s.Cut(from, to, true)
			s.At(s.Now+1200, func() { s.Cut(from, to, false) })
		}
	}},
	{"heal", func(s *model.Deployment) { s.Heal() }},
	{"heal again", func(s *model.Deployment) { s.Heal() }},
	{"endpoint dies", func(s *model.Deployment) { s.AnyEndpoint().Dead = true }},
	{"endpoint lives", func(s *model.Deployment) { s.AnyEndpoint().Dead = false }},
	{"endpoint slow", func(s *model.Deployment) { s.AnyEndpoint().ExtraServiceTime = core.Millis(s.Rand.IntN(400)) }},
	{"endpoint fast", func(s *model.Deployment) { s.AnyEndpoint().ExtraServiceTime = 0 }},
	{"lost messages", func(s *model.Deployment) { s.LossRate = 0.05 }},
	{"no lost messages", func(s *model.Deployment) { s.LossRate = 0 }},
	{"repeated messages", func(s *model.Deployment) { s.DuplicateRate = 0.1 }},
	{"planned stop", func(s *model.Deployment) {
		s.Step(s.AnyHost(), func(m *host.Machine) core.Effects { return m.Stop(s.Now) })
	}},
	{"leaving endpoint", func(s *model.Deployment) {
		for endpoint := range s.Upstream {
			since := s.Now
			s.Step(s.AnyHost(), func(m *host.Machine) core.Effects {
				return m.ApplyFeed(since, host.Feed{Notices: []member.Notice{{Endpoint: endpoint, Leaving: s.Rand.IntN(2) == 0, Since: since}}})
			})
			return
		}
	}},
	{"edit", func(s *model.Deployment) {
		edit := &tree.Edit{ID: "e" + strconv.FormatUint(s.Rand.Uint64(), 36), Base: s.Confirmed(s.Control[0]), Changes: []tree.Change{
			{Path: "/", Setting: "QueueLimit", Value: strconv.Itoa(100 + s.Rand.IntN(100))},
		}}
		s.Ask(s.AnyHost(), ctrl.Request{Question: ctrl.AskEdit, Edit: edit}, func(*ctrl.Body, *core.Refusal) {})
	}},
}

// startCallers sends random requests for a length of time, at a mean interval of about each; some keys are sent several
// times, at once or later, to the same host or to others.
func startCallers(s *model.Deployment, length core.Millis, each core.Millis) {
	end := s.Now + length
	var next func()
	next = func() {
		if s.Now >= end {
			return
		}
		callOnce(s)
		s.At(s.Now+1+core.Millis(s.Rand.IntN(int(2*each))), next)
	}
	next()
}

func callOnce(s *model.Deployment) {
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

func newDeployment(t testing.TB, seed uint64, user string) *model.Deployment {
	t.Helper()
	read, err := config.ReadTree("../../examples/" + user + "/tree.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &model.Deployment{Seed: seed, Tree: read, Fail: t.Fatalf}
	s.Start()
	return s
}

func runDeployment(t testing.TB, seed uint64) *model.Deployment {
	t.Helper()
	s := newDeployment(t, seed, []string{"instituto", "yildirim"}[seed%2])
	s.PutTree()
	startCallers(s, 12*core.Second, 15)
	for range 20 {
		s.RunFor(core.Millis(s.Rand.IntN(1000)))
		faults[s.Rand.IntN(len(faults))].inject(s)
	}
	s.Heal()
	s.RunFor(12 * core.Second)
	s.CheckNoDuplicateRuns()
	s.CheckAnswered()
	return s
}

// seeds returns the number of seeds to run: SEEDS if it is set, or else standard.
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
				runDeployment(t, seed)
			}
		})
	}
}

// TestSoak runs consecutive seeds from SOAK_SEED on for the duration SOAK_TIME.
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
		runDeployment(t, seed)
	}
	t.Logf("seeds %d to %d passed", first, seed-1)
}

// TestRandomRunsServe checks that a random run serves at least half of its requests, so that the runs cover more than
// refusals.
func TestRandomRunsServe(t *testing.T) {
	s := runDeployment(t, 1)
	t.Logf("answers %v, %d requests", s.Answers, len(s.Requests))
	if s.Answers[model.Served]*2 < len(s.Requests) {
		t.Fatalf("only %d of %d requests were served: %v", s.Answers[model.Served], len(s.Requests), s.Answers)
	}
}
