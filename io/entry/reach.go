package entry

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/core/reach"
	"clementinelock/io/pool"
)

// cutHostRetention is how long requests of a host are taken after it was last known to be cut off: while it goes over to
// its own connections again.
const cutHostRetention = 5 * core.Second

// reachState is what this host knows of its way to endpoints and of other hosts that have none.
type reachState struct {
	watch reach.Watch
	// cutHosts holds when each host was last known to be cut off, by its address.
	cutHosts map[string]core.Millis
	room     reach.Room
	// counts holds how the helpers have dealt with this host's requests, helped the number of requests of other hosts.
	counts [5]uint64
	helped uint64
}

// ReachCounts counts the cuts of this host, how other hosts dealt with the requests that it handed over, and the requests
// that it took from others.
type ReachCounts struct {
	Cuts    uint64
	Handed  map[reach.Result]uint64
	Helped  uint64
	Current bool
}

// ReachCounts returns the counts since the start.
func (s *Server) ReachCounts() ReachCounts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := ReachCounts{Cuts: s.reach.watch.Cuts, Handed: map[reach.Result]uint64{}, Helped: s.reach.helped, Current: s.reach.watch.IsCut()}
	for result, count := range s.reach.counts {
		c.Handed[reach.Result(result)] = count
	}
	return c
}

// SetPeers replaces the helpers, and the hosts that are cut off.
func (s *Server) SetPeers(helpers []reach.Helper, cut []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.Helpers != nil {
		s.Helpers.Set(helpers)
	}
	now := s.Now()
	if s.reach.cutHosts == nil {
		s.reach.cutHosts = map[string]core.Millis{}
	}
	for name, at := range s.reach.cutHosts {
		if at == core.Never {
			s.reach.cutHosts[name] = now
		} else if now-at > cutHostRetention {
			delete(s.reach.cutHosts, name)
		}
	}
	for _, name := range cut {
		s.reach.cutHosts[name] = core.Never
	}
}

// Cut reports whether this host is cut off from all endpoints.
func (s *Server) Cut() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reach.watch.IsCut()
}

// RecordDial records the result of an attempt to open a connection to an endpoint.
func (s *Server) RecordDial(address string, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil {
		s.reach.watch.RecordUnopened(s.Now(), address)
		return
	}
	s.reach.watch.RecordOpened()
}

func (s *Server) recordSent() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reach.watch.RecordSent(s.Now())
}

func (s *Server) recordDone(address string, result pool.Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reach.watch.RecordDone()
	if result.Reset {
		s.reach.watch.RecordBroken(s.Now(), address)
	}
}

func (s *Server) recordAnswer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reach.watch.RecordAnswer(s.Now())
}

// reachProbeTimeout is the timeout of a probe: an endpoint with a free slot answers within a few round trips to the farthest
// region.
const reachProbeTimeout = 400 * time.Millisecond

// Probe begins the probes of endpoints that are due; the driver calls it regularly.
func (s *Server) Probe(ctx context.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	began := s.Now()
	count := s.reach.watch.ProbesDue(began)
	if count == 0 {
		return
	}
	go s.probe(ctx, began, s.Picks.Spread(began, count))
}

// probe asks endpoints for their health, each on a new connection: a border may accept connections that lead nowhere.
func (s *Server) probe(ctx context.Context, began core.Millis, endpoints []pick.Probe) {
	ctx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
	defer cancel()
	results := make([]pool.Result, len(endpoints))
	var group sync.WaitGroup
	for i, e := range endpoints {
		group.Go(func() {
			request := &pool.Request{Method: http.MethodGet, Target: cmp.Or(e.HealthPath, "/"), Host: e.Address, Header: http.Header{}, Idempotent: true}
			results[i] = s.Pool.Do(ctx, request, pool.Target{ID: e.ID, Address: e.Address, Deadline: time.Now().Add(reachProbeTimeout), Fresh: true})
		})
	}
	group.Wait()
	round := reach.Round{Began: began, Probed: len(results)}
	for _, result := range results {
		result.Discard()
		switch {
		case result.Ending == pool.Answered || result.Ending == pool.Spoiled:
			round.Reached++
		case result.Refused || result.Reset:
			round.Refused++
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reach.watch.RecordRound(s.Now(), round)
}

// ReachDump is this host's way to endpoints for operators.
type ReachDump struct {
	Cut bool
	// CutFor is how long the host has been cut off.
	CutFor  core.Millis
	Helpers []reach.Dump
	// CutHosts names the hosts whose requests this one takes, Helping counts those requests now.
	CutHosts []string
	Helping  int
}

// ReachDump returns the state for operators.
func (s *Server) ReachDump() ReachDump {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Now()
	d := ReachDump{Cut: s.reach.watch.IsCut(), CutFor: s.reach.watch.CutFor(now), Helping: s.reach.room.InFlight()}
	if s.Helpers != nil {
		d.Helpers = s.Helpers.Dump(now)
	}
	for name := range s.reach.cutHosts {
		d.CutHosts = append(d.CutHosts, name)
	}
	return d
}
