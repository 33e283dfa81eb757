package model_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/model"
)

// Bounds on a request that crashes endpoints, as the users' pages state them.
const (
	crashContactWindow = 3 * core.Second
	maxCrashRetries    = 3
	// minServedBeside is the share of another request that is served while endpoints recover and a host restarts.
	minServedBeside = 0.75
)

// repeatAt sends a request with the same content about every interval to random hosts until the time is over; it returns
// the requests.
func repeatAt(s *model.Deployment, content string, crashing bool, interval, until core.Millis) *[]*model.Request {
	sent := &[]*model.Request{}
	var next func()
	next = func() {
		if s.Now >= until {
			return
		}
		if r := s.Repeat(s.AnyHost(), "kapora", content, crashing, 2*core.Second); r != nil {
			*sent = append(*sent, r)
		}
		s.At(s.Now+interval/2+core.Millis(s.Rand.Int64N(int64(interval))), next)
	}
	next()
	return sent
}

// crashes counts the endpoints that ended.
func crashes(s *model.Deployment) (n int) {
	for _, up := range s.Upstream {
		n += up.Crashes
	}
	return n
}

// servedShare returns the share of requests that an endpoint answered.
func servedShare(sent []*model.Request) float64 {
	served := 0
	for _, r := range sent {
		if r.Answered && r.Answer.Refusal == nil {
			served++
		}
	}
	return float64(served) / float64(max(1, len(sent)))
}

// TestCrashingRequestInATree guards against a request that ends endpoint after endpoint of a tree's deployment: hosts and
// the keepers of all zones stop it together, as first, queued, second and hedged attempts, and a host that starts anew
// learns of it.
func TestCrashingRequestInATree(t *testing.T) {
	for seed := range uint64(8) {
		s, load := busyDeployment(t, seed)
		s.ServiceTime = func() core.Millis { return 30 + core.Millis(s.Rand.IntN(40)) }
		end := s.Now + 24*core.Second
		repeatAt(s, "crashing", true, 120, end)
		for end := s.Now + 5*core.Second; crashes(s) < 3; s.RunFor(10) {
			if s.Now > end {
				t.Fatalf("seed %d: %d endpoints crashed in 5 s", seed, crashes(s))
			}
		}
		s.RunFor(crashContactWindow)
		stopped := crashes(s)
		// The endpoints that crashed are gone for a while, and take few requests when they are back.
		s.RunFor(crashContactWindow)
		other := repeatAt(s, "another", false, 60, end)
		hosts := s.View.HostNames()
		restarted := hosts[int(seed)%len(hosts)]
		s.Kill(restarted)
		s.At(s.Now+core.Second, func() { s.StartHost(restarted) })
		s.RunFor(end - s.Now)
		if got := crashes(s) - stopped; got > maxCrashRetries {
			t.Errorf("seed %d: the request crashed %d endpoints after it had crashed the third, %d allowed", seed, got, maxCrashRetries)
		}
		t.Logf("seed %d: %d endpoints crashed in all, %.2f of the other request served", seed, crashes(s), servedShare(*other))
		// Keepers eject endpoints that ended for up to 30 s, and let them warm up then.
		if share := servedShare(*other); share < minServedBeside {
			t.Errorf("seed %d: %.2f of another request are served, at least %.2f expected", seed, share, minServedBeside)
		}
		for _, r := range *other {
			if r.Answered && r.Answer.Refusal != nil && r.Answer.Refusal.Kind == core.Quarantined {
				t.Fatalf("seed %d: another request is refused: %v", seed, r.Answer.Refusal)
			}
		}
		load.Stop()
		s.RunFor(6 * core.Second)
		s.CheckNoDuplicateRuns()
		s.CheckAnswered()
	}
}

// TestRepeatedRequestInATree guards against a request that is refused since callers repeat it while endpoints end for
// other reasons.
func TestRepeatedRequestInATree(t *testing.T) {
	for seed := range uint64(4) {
		s, load := busyDeployment(t, seed)
		s.ServiceTime = func() core.Millis { return 100 + core.Millis(s.Rand.IntN(100)) }
		until := s.Now + 20*core.Second
		var sent []*[]*model.Request
		for i := range 3 {
			sent = append(sent, repeatAt(s, fmt.Sprint("popular ", i), false, 20, until))
		}
		for s.Now < until {
			s.RunFor(400)
			s.CrashUpstream(s.AnyEndpoint())
		}
		load.Stop()
		s.RunFor(6 * core.Second)
		if got := s.Answers[core.Quarantined]; got > 0 {
			t.Errorf("seed %d: %d requests were refused as crashing endpoints", seed, got)
		}
		for i, each := range sent {
			t.Logf("seed %d: %.2f of request %d served", seed, servedShare(*each), i)
		}
	}
}
