package model

import (
	"cmp"
	"slices"
	"strings"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/host"
)

// Upstream is a simulated endpoint.
type Upstream struct {
	Address          string
	Zone             string
	Service          string
	Slots            int
	InFlight         int
	Peak             int
	Served           int
	Dead             bool
	ExtraServiceTime core.Millis
	// ReportsIdle makes the endpoint always report that it is idle.
	ReportsIdle bool
	// Backoff makes the endpoint refuse each request and ask for no further ones for so long; Refused counts these
	// requests.
	Backoff core.Millis
	Refused int
	// Limit is how many requests per second the endpoint takes, as it says in its answers; 0 means that it names none.
	Limit float64
	// Crashes counts how often the endpoint ended.
	Crashes int
	// StartedAt holds when the endpoint started each request.
	StartedAt []core.Millis
}

// attempt is an attempt at a simulated endpoint.
type attempt struct {
	up          *Upstream
	serviceTime core.Millis
	runID       string
	request     *Request
	running     bool
	ended       bool
}

func (s *Deployment) addUpstreams() {
	for _, zone := range s.View.Zones {
		for _, service := range s.View.Services {
			settings := s.View.Service(zone.Name, service)
			for _, address := range settings.Endpoints {
				s.Upstream[address] = &Upstream{Address: address, Zone: zone.Name, Service: service, Slots: settings.Slots}
			}
		}
	}
}

func (s *Deployment) dispatch(name string, d core.Dispatch) {
	r := s.requestsByID[requestID{name, d.Request}]
	up := s.Upstream[d.Endpoint]
	id := attemptID{name, d.Attempt}
	sent := &attempt{up: up, runID: r.RunID, request: r}
	s.attempts[id] = sent
	delay := s.oneWayDelay(s.Zone(name), up.Zone)
	s.At(d.Deadline, func() { s.end(id, call.End{Ending: call.Broken, Detail: "deadline"}) })
	if s.zonesCut(s.Zone(name), up.Zone) {
		return
	}
	if up.Dead {
		s.At(s.Now+2*delay+1, func() { s.end(id, call.End{Ending: call.NotSent, Detail: "refused"}) })
		return
	}
	startedAt := s.Now
	s.At(s.Now+delay, func() { s.run(id, sent, startedAt, delay) })
}

func (s *Deployment) run(id attemptID, sent *attempt, startedAt, delay core.Millis) {
	if sent.ended || s.zonesCut(s.Zone(id.host), sent.up.Zone) {
		return
	}
	up := sent.up
	if up.Backoff > 0 {
		up.Refused++
		s.At(s.Now+delay, func() { s.refuse(id, sent, startedAt) })
		return
	}
	sent.running = true
	up.InFlight++
	up.Served++
	up.StartedAt = append(up.StartedAt, s.Now)
	up.Peak = max(up.Peak, up.InFlight)
	if up.InFlight > up.Slots {
		s.Fail("seed %d: %d requests in flight on an endpoint with %d slots in zone %s at %d ms", s.Seed, up.InFlight, up.Slots, up.Zone, s.Now)
	}
	s.runCounts[sent.runID]++
	if s.refusedUnrun[sent.runID] {
		s.Fail("seed %d: request %s ran after it was refused as not run", s.Seed, sent.runID)
	}
	sent.serviceTime = s.ServiceTime() + up.ExtraServiceTime
	if sent.request.firstServiceTime == 0 {
		sent.request.firstServiceTime = sent.serviceTime
	}
	s.At(s.Now+sent.serviceTime, func() {
		if !sent.running {
			return
		}
		if sent.request.Crashing {
			s.CrashUpstream(up)
			return
		}
		s.stopRun(sent)
		if s.zonesCut(s.Zone(id.host), up.Zone) {
			return
		}
		s.At(s.Now+delay, func() { s.reply(id, sent, startedAt) })
	})
}

// crashDowntime is how long an endpoint that crashed is gone.
const crashDowntime = 2 * core.Second

// CrashUpstream ends an endpoint with all that it holds; it is back after crashDowntime.
func (s *Deployment) CrashUpstream(up *Upstream) {
	up.Crashes++
	up.Dead = true
	s.At(s.Now+crashDowntime, func() { up.Dead = false })
	for _, id := range s.attemptsAt(up) {
		sent := s.attempts[id]
		s.stopRun(sent)
		if !s.zonesCut(s.Zone(id.host), up.Zone) {
			s.At(s.Now+s.oneWayDelay(up.Zone, s.Zone(id.host)), func() {
				s.end(id, call.End{Ending: call.Broken, Detail: "connection reset", EndpointGone: true})
			})
		}
	}
}

// attemptsAt returns the attempts at an endpoint in a fixed order.
func (s *Deployment) attemptsAt(up *Upstream) []attemptID {
	var out []attemptID
	for id, sent := range s.attempts {
		if sent.up == up {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b attemptID) int {
		return cmp.Or(strings.Compare(a.host, b.host), cmp.Compare(a.attempt, b.attempt))
	})
	return out
}

func (s *Deployment) stopRun(sent *attempt) {
	sent.ended = true
	if sent.running {
		sent.running = false
		sent.up.InFlight--
	}
}

func (s *Deployment) reply(id attemptID, sent *attempt, startedAt core.Millis) {
	if s.attempts[id] != sent {
		return
	}
	s.Step(id.host, func(m *host.Machine) core.Effects {
		return m.Head(s.Now, id.attempt, call.Head{Status: 200, Report: sent.up.reported(), Limit: sent.up.Limit, LimitNamed: sent.up.Limit > 0})
	})
	answer := &core.StoredAnswer{Status: 200, Whole: true, Body: []byte(sent.runID)}
	s.end(id, call.End{Ending: call.Whole, Latency: s.Now - startedAt, Answer: answer})
}

func (s *Deployment) refuse(id attemptID, sent *attempt, startedAt core.Millis) {
	if s.attempts[id] != sent {
		return
	}
	s.Step(id.host, func(m *host.Machine) core.Effects {
		return m.Head(s.Now, id.attempt, call.Head{Status: 503, NotRun: true, RetryAfter: sent.up.Backoff})
	})
	s.end(id, call.End{Ending: call.Whole, Latency: s.Now - startedAt, Answer: &core.StoredAnswer{Status: 503, Whole: true}})
}

func (s *Deployment) abort(name string, attempt uint64) {
	id := attemptID{name, attempt}
	sent := s.attempts[id]
	if sent == nil {
		return
	}
	if !s.zonesCut(s.Zone(name), sent.up.Zone) {
		s.At(s.Now+s.oneWayDelay(s.Zone(name), sent.up.Zone), func() { s.stopRun(sent) })
	}
	s.At(s.Now, func() { s.end(id, call.End{Ending: call.Broken, Detail: "cancelled"}) })
}

func (s *Deployment) end(id attemptID, e call.End) {
	sent := s.attempts[id]
	if sent == nil {
		return
	}
	delete(s.attempts, id)
	if e.Ending != call.Whole && !s.zonesCut(s.Zone(id.host), sent.up.Zone) {
		s.At(s.Now+s.oneWayDelay(s.Zone(id.host), sent.up.Zone), func() { s.stopRun(sent) })
	}
	s.Step(id.host, func(m *host.Machine) core.Effects { return m.End(s.Now, id.attempt, e, 8000) })
}

// report returns the load that the endpoint reports.
func (u *Upstream) report() core.Report {
	if u.ReportsIdle {
		return core.Report{}
	}
	return core.Report{InFlight: u.InFlight}
}

func (u *Upstream) reported() *core.Report {
	r := u.report()
	return &r
}

func (s *Deployment) poll(name, endpoint string) {
	up := s.Upstream[endpoint]
	delay := s.oneWayDelay(s.Zone(name), up.Zone)
	failed := up.Dead || s.zonesCut(s.Zone(name), up.Zone)
	s.At(s.Now+delay, func() {
		report := up.report()
		s.At(s.Now+delay, func() {
			s.Step(name, func(m *host.Machine) core.Effects { return m.Report(s.Now, endpoint, report, failed) })
		})
	})
}
