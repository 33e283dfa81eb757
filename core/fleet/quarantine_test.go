package fleet_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/core/fleet"
)

var crashing = crash.NewDigest([]byte("crashing"))

// crashUnder lets an endpoint end while it holds a request of an entry host.
func (s *site) crashUnder(entry, endpoint string, digest crash.Digest) {
	s.Apply(entry, s.entries[entry].RecordCrashes(s.Now, []crash.Report{{Digest: digest, Endpoint: endpoint}}))
}

// holds reports whether an entry host keeps the request from endpoints.
func (s *site) holds(entry string, digest crash.Digest) bool {
	return slices.ContainsFunc(s.entries[entry].View(s.Now).Quarantined, func(q crash.Quarantine) bool {
		return q.Digest == digest && q.Holds(s.Now)
	})
}

// expectHeld fails unless all entry hosts that are up keep the request from endpoints.
func (s *site) expectHeld(when string) {
	s.t.Helper()
	for name := range s.entries {
		if s.Up(name) && !s.holds(name, crashing) {
			s.t.Errorf("%s entry host %s still sends the request", when, name)
		}
	}
}

// crashThree lets three endpoints end under the request, each at another entry host.
func (s *site) crashThree() {
	for i := range 3 {
		s.crashUnder(fmt.Sprintf("entry-%d", 3*i), fmt.Sprint("i-", i), crashing)
		s.RunFor(200)
	}
}

// TestAllHostsKeepACrashingRequest guards against hosts that still send a request which has crashed three endpoints, each
// seen by another host: hosts that only hear of it, that lose messages, that were restarted or cut off meanwhile, and all
// hosts after every process was killed.
func TestAllHostsKeepACrashingRequest(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		strike func(s *site)
	}{
		{"calm", func(*site) {}},
		{"messages lost", func(s *site) { s.LossRate = 0.1 }},
		{"entry host restarts", func(s *site) {
			s.crash("entry-4", false)
			s.At(s.Now+2*core.Second, func() { s.startHost("entry-4") })
		}},
		{"entry host cut off", func(s *site) {
			s.Isolate("entry-5", s.upControls(), true)
			s.At(s.Now+4*core.Second, s.Heal)
		}},
		{"control host restarts", func(s *site) {
			s.crash("control-0", true)
			s.At(s.Now+core.Second, func() { s.startHost("control-0") })
		}},
	} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				s := newSite(t, seed)
				s.publish()
				s.RunFor(10 * core.Second)
				s.crashThree()
				c.strike(s)
				s.RunFor(contactWindow)
				if c.name == "calm" || c.name == "messages lost" {
					s.expectHeld("after the contact window")
				}
				s.LossRate = 0
				s.RunFor(2*core.Second + contactWindow)
				s.expectHeld("after the disturbance")
				for name := range s.zones {
					s.crash(name, true)
				}
				s.RunFor(core.Second)
				for name := range s.zones {
					s.startHost(name)
				}
				s.RunFor(2 * contactWindow)
				s.expectHeld("after all processes were killed")
			})
		}
	}
}

// TestAnswersEndAQuarantine guards against a quarantine of a request that an endpoint answers elsewhere, and against one
// that goes on after an answer.
func TestAnswersEndAQuarantine(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.RunFor(10 * core.Second)
	watch := crash.Watch{}
	for i := range 3 {
		s.crashUnder(fmt.Sprintf("entry-%d", 3*i), fmt.Sprint("i-", i), crashing)
		// Another host's endpoints answer the request all the time.
		for range 20 {
			s.RunFor(10)
			watch.RecordAnswer(s.Now, crashing)
			watch.Set(nil, s.entries["entry-8"].View(s.Now).Suspects)
			s.entries["entry-8"].RecordServed(s.Now, watch.TakeServed(s.Now))
		}
	}
	s.RunFor(contactWindow)
	if s.holds("entry-0", crashing) {
		t.Fatal("a request that endpoints answer is quarantined")
	}
	s.RunFor(10 * core.Second)
	s.crashThree()
	s.RunFor(contactWindow)
	s.expectHeld("after three crashes without an answer")
	s.entries["entry-7"].RecordServed(s.Now, []crash.Served{{Digest: crashing}})
	s.RunFor(contactWindow)
	for name := range s.entries {
		if s.holds(name, crashing) {
			t.Errorf("entry host %s still refuses a request that an endpoint has answered", name)
		}
	}
}

// TestIsolatedHostDecidesAlone guards against a host that crashes endpoints on and on while it reaches no control host,
// and against decisions that it keeps after its return.
func TestIsolatedHostDecidesAlone(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.RunFor(10 * core.Second)
	s.Isolate("entry-5", s.upControls(), true)
	s.RunFor(3 * core.Second)
	e := s.entries["entry-5"]
	step := func(length core.Millis) {
		for range length / fleet.EntryTickInterval {
			s.RunFor(fleet.EntryTickInterval)
			_, effects := e.DecideAlone(s.Now)
			s.Apply("entry-5", effects)
		}
	}
	alone := crash.NewDigest([]byte("alone"))
	for i := range 3 {
		s.crashUnder("entry-5", fmt.Sprint("i-", i), alone)
		step(200)
	}
	step(core.Second)
	if !s.holds("entry-5", alone) {
		t.Fatal("an isolated host still sends a request that has crashed three endpoints")
	}
	step(10 * core.Second)
	s.Heal()
	step(2 * contactWindow)
	for name := range s.entries {
		if !s.holds(name, alone) {
			t.Errorf("entry host %s has not learned of the crashes that the isolated one saw", name)
		}
	}
	if got := len(e.View(s.Now).Quarantined); got != 1 {
		t.Errorf("the host holds %d quarantines after its return, expected the leader's alone", got)
	}
}

// TestManyHostsKeepACrashingRequest guards against news of a crashing request that reach some of 290 entry hosts too late,
// or that overload control hosts: each end is seen by another entry host, which reports it with all that the endpoint held.
func TestManyHostsKeepACrashingRequest(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		s := newLargeSite(t, seed)
		s.list = longList()
		s.RunFor(500)
		s.publish()
		s.RunFor(10 * core.Second)
		start := s.Now
		for i := range 8 {
			entry := fmt.Sprintf("entry-%d", s.Rand.IntN(len(s.entries)))
			reports := []crash.Report{{Digest: crashing, Endpoint: fmt.Sprint("i-", i)}}
			for j := range 6 {
				reports = append(reports, crash.Report{Digest: crash.NewDigest([]byte{byte(i), byte(j)}), Endpoint: fmt.Sprint("i-", i)})
			}
			s.Apply(entry, s.entries[entry].RecordCrashes(s.Now, reports))
			s.RunFor(150)
		}
		s.RunFor(contactWindow + 2*150 - (s.Now - start))
		s.expectHeld(fmt.Sprintf("seed %d: three seconds after the third end", seed))
		for name, e := range s.entries {
			if got := len(e.View(s.Now).Quarantined); got != 1 {
				t.Errorf("seed %d: entry host %s keeps %d requests from endpoints, expected the crashing one alone", seed, name, got)
			}
		}
		s.checkUsage(start, s.Now, coreMicros/2, math.MaxInt)
	}
}

// TestQuarantineBesideLostMessages guards against an entry host that still sends a request after the contact window since the
// message that told it of the quarantine was lost, and so were some of its reports, each of which takes 0.8 s to come again.
func TestQuarantineBesideLostMessages(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		s := newSite(t, 10000+seed)
		s.publish()
		s.RunFor(10 * core.Second)
		s.crashThree()
		s.LossRate = 0.1
		s.RunFor(contactWindow)
		for name := range s.entries {
			if !s.holds(name, crashing) {
				t.Errorf("seed %d: entry host %s still sends the request", 10000+seed, name)
			}
		}
	}
}

// TestQuarantineBesideManyEnds guards against a crashing request whose reports are lost among those of requests that were at
// endpoints which ended at about the same time for another reason, such as a third of a service that starts again.
func TestQuarantineBesideManyEnds(t *testing.T) {
	t.Parallel()
	const others = 200
	for _, entry := range []string{"entry-0", "entry-4", "entry-7"} {
		s := newSite(t, 1)
		s.RunFor(8 * core.Second)
		for i := range 3 {
			reports := []crash.Report{{Digest: crashing, Endpoint: fmt.Sprint("i-", i)}}
			for j := range others {
				reports = append(reports, crash.Report{Digest: crash.NewDigest(fmt.Append(nil, "sound", i, j)), Endpoint: fmt.Sprint("j-", i, j/8)})
			}
			s.Apply(entry, s.entries[entry].RecordCrashes(s.Now, reports))
			s.RunFor(400)
		}
		s.RunFor(3 * core.Second)
		s.expectHeld("seen by " + entry + ", ")
	}
}
