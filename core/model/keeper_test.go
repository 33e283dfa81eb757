package model_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/host"
	"clementinelock/core/model"
	"clementinelock/io/config"
)

// busyDeployment returns a deployment in which long requests use nearly all slots of one service.
func busyDeployment(t *testing.T, seed uint64) (*model.Deployment, *model.Load) {
	t.Helper()
	read, err := config.ReadTree("../../examples/yildirim/tree.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &model.Deployment{Seed: seed, Tree: read, Fail: t.Fatalf}
	s.Start()
	s.ServiceTime = func() core.Millis { return 100 + core.Millis(s.Rand.IntN(1500)) }
	s.PutTree()
	load := &model.Load{Deployment: s, Service: "kapora", Rates: map[string]float64{}, KeyedShare: 0.5, Deadline: 4 * core.Second}
	for _, region := range s.View.Regions {
		load.Rates[region.Name] = 40
	}
	load.Start()
	s.RunFor(3 * core.Second)
	return s, load
}

// TestSlotsHoldWhenKeepersChange checks that no endpoint runs more requests than it has slots while keepers
// change under load; the model fails the test at the first violation.
func TestSlotsHoldWhenKeepersChange(t *testing.T) {
	cases := []struct {
		name   string
		inject func(s *model.Deployment, keeper string)
	}{
		{"the keeper crashes", func(s *model.Deployment, keeper string) { s.Kill(keeper) }},
		{"the keeper restarts at once", func(s *model.Deployment, keeper string) { s.Kill(keeper); s.StartHost(keeper) }},
		{"the keeper stops as planned", func(s *model.Deployment, keeper string) {
			s.Step(keeper, func(m *host.Machine) core.Effects { return m.Stop(s.Now) })
		}},
		{"the keeper freezes", func(s *model.Deployment, keeper string) {
			s.Freeze(keeper, true)
			s.At(s.Now+3000, func() { s.Freeze(keeper, false) })
		}},
		{"the keeper is cut off from its zone", func(s *model.Deployment, keeper string) {
			s.Isolate(keeper, s.View.HostNames(), true)
			s.At(s.Now+6000, s.Heal)
		}},
		{"the keeper crashes and all are new to it", func(s *model.Deployment, keeper string) {
			for _, name := range s.View.ZoneHosts(s.Zone(keeper)) {
				s.Kill(name)
				s.StartHost(name)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s, load := busyDeployment(t, seed)
				zone := s.View.Zones[0].Name
				for _, name := range s.View.ZoneHosts(zone) {
					for _, lease := range s.Machines[name].Dump(s.Now).Leases {
						if lease == "slots/"+zone+"/kapora" {
							c.inject(s, name)
						}
					}
				}
				s.RunFor(14 * core.Second)
				load.Stop()
				s.RunFor(6 * core.Second)
				s.CheckNoDuplicateRuns()
				s.CheckAnswered()
			}
		})
	}
}

// TestSilentEndpoint checks that a read whose endpoint does not answer is answered by another one in time,
// and that a write is not sent twice.
func TestSilentEndpoint(t *testing.T) {
	s, load := busyDeployment(t, 1)
	load.Stop()
	s.RunFor(8 * core.Second)
	s.ServiceTime = func() core.Millis { return 10 }
	zone := s.View.Zones[0].Name
	endpoints := s.View.Service(zone, "vitrin").Endpoints
	host := s.View.ZoneHosts(zone)[0]
	// Each request adds to the retry budget, which the extra attempt of the read spends.
	for range 40 {
		s.Call(host, "vitrin", "", false, core.Second)
		s.RunFor(30)
	}
	for _, endpoint := range endpoints {
		s.Upstream[endpoint].ExtraServiceTime = 10 * core.Second
	}
	read := s.Call(host, "vitrin", "", false, 2*core.Second)
	write := s.Call(host, "vitrin", "", true, 2*core.Second)
	s.RunFor(4 * core.Second)
	if !read.Answered || read.Answer.Refusal != nil || read.AnsweredAt-read.StartedAt > 1200 {
		t.Fatalf("the read got %+v after %s", read.Answer, read.AnsweredAt-read.StartedAt)
	}
	if !write.Answered || write.Answer.Refusal == nil || write.Answer.Refusal.Ran != core.RanUnknown {
		t.Fatalf("the write got %+v", write.Answer)
	}
	s.CheckNoDuplicateRuns()
}

// TestEndpointAsksForNoRequests lets one endpoint of a busy service refuse a request and ask for no further ones for
// 3 s: it gets none but those that were under way, and the others serve its share.
func TestEndpointAsksForNoRequests(t *testing.T) {
	s, load := busyDeployment(t, 2)
	s.ServiceTime = func() core.Millis { return 40 }
	s.RunFor(4 * core.Second)
	resting := s.Upstream[s.View.Service(s.View.Zones[0].Name, "kapora").Endpoints[0]]
	resting.Backoff = 3 * core.Second
	for end := s.Now + 5*core.Second; resting.Refused == 0; {
		if s.Now > end {
			t.Fatal("the endpoint gets no request at all")
		}
		s.RunFor(10)
	}
	s.RunFor(500)
	underWay := resting.Refused
	s.RunFor(2400)
	if got := resting.Refused - underWay; got > 2 {
		t.Fatalf("the endpoint gets %d requests between 0.5 s and 2.9 s after it asked for none for 3 s, at most 2 are allowed", got)
	}
	resting.Backoff = 0
	served := resting.Served
	s.RunFor(4 * core.Second)
	if resting.Served == served {
		t.Fatal("the endpoint gets no requests after its time is over")
	}
	load.Stop()
	s.RunFor(6 * core.Second)
	s.CheckNoDuplicateRuns()
	s.CheckAnswered()
}

// TestEndpointNamesALimit lets one endpoint of a busy service name a limit of requests per second in its answers: it
// gets no more than that, the others serve its share, and it gets as much as before when it names none.
func TestEndpointNamesALimit(t *testing.T) {
	const (
		window = 4 * core.Second
		limit  = 2.5
	)
	s, load := busyDeployment(t, 3)
	s.ServiceTime = func() core.Millis { return 40 }
	s.RunFor(4 * core.Second)
	limited := s.Upstream[s.View.Service(s.View.Zones[0].Name, "kapora").Endpoints[0]]
	countSince := func(from core.Millis) (n int) {
		for _, at := range limited.StartedAt {
			if at >= from {
				n++
			}
		}
		return n
	}
	before := countSince(s.Now - window)
	limited.Limit = limit
	s.RunFor(core.Second)
	s.RunFor(window)
	if got, allowed := countSince(s.Now-window), limit*window.Duration().Seconds()+1; float64(got) > allowed || got == 0 {
		t.Errorf("the endpoint gets %d requests in 4 s after it named a limit of %v a second, %.0f are allowed", got, limit, allowed)
	}
	limited.Limit = 0
	s.RunFor(2 * core.Second)
	s.RunFor(window)
	if got := countSince(s.Now - window); got < before/2 {
		t.Errorf("the endpoint gets %d requests in 4 s after its limit ended, %d before it", got, before)
	}
	load.Stop()
	s.RunFor(6 * core.Second)
	s.CheckNoDuplicateRuns()
	s.CheckAnswered()
}
