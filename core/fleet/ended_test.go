package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/crash"
	"clementinelock/core/fake"
	"clementinelock/core/fleet"
)

// TestEndsOfEndpointsAreKnownEverywhere guards against hosts that flock to an endpoint which starts again, cold, under its
// id: what one entry host has seen must reach all others before it is up again.
func TestEndsOfEndpointsAreKnownEverywhere(t *testing.T) {
	t.Parallel()
	const newsDelay = 300 * core.Millisecond
	for seed := range uint64(20) {
		s := newSite(t, seed)
		s.RunFor(8 * core.Second)
		s.Apply("entry-4", s.entries["entry-4"].RecordEnded(s.Now, []crash.Ended{{Endpoint: "i-1"}}))
		s.RunFor(newsDelay)
		for name, e := range s.entries {
			known := slices.ContainsFunc(e.View(s.Now).Ended, func(each crash.Ended) bool { return each.Endpoint == "i-1" && each.Age <= newsDelay+10 })
			if name != "entry-4" && !known {
				t.Errorf("seed %d: entry host %s in %s has %v after %s", seed, name, s.zones[name], e.View(s.Now).Ended, newsDelay)
			}
		}
		s.RunFor(9 * core.Second)
		for name, e := range s.entries {
			if len(e.View(s.Now).Ended) == 0 {
				t.Errorf("seed %d: entry host %s is no longer told of the end after 9.3 s", seed, name)
			}
		}
		s.RunFor(1200)
		for name, e := range s.entries {
			if ended := e.View(s.Now).Ended; len(ended) > 0 {
				t.Errorf("seed %d: entry host %s is still told of %v", seed, name, ended)
			}
		}
	}
}

// watchEntries lets a function see each update that an entry host handles, and whether it changes the host's view.
func (s *site) watchEntries(seen func(e *entryHost, changed bool)) {
	s.OnEntry = func(e *entryHost) fake.Process { return watchedEntry{e, seen} }
}

type watchedEntry struct {
	*entryHost
	seen func(e *entryHost, changed bool)
}

func (w watchedEntry) Receive(now core.Millis, from string, message core.Message) core.Effects {
	changed, effects := w.Entry.Receive(now, from, message)
	w.seen(w.entryHost, changed)
	return effects
}

// TestKnownEndsCauseNoReports guards against entry hosts that take each repetition of an end for news, and report and rebuild
// their view of all endpoints at each update.
func TestKnownEndsCauseNoReports(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	reports, changes := 0, 0
	s.OnEffects = func(host string, e core.Effects) {
		for _, send := range e.Sends {
			if _, ok := send.Message.(*fleet.Report); ok {
				reports++
			}
		}
		s.carry(host, e)
	}
	s.watchEntries(func(_ *entryHost, changed bool) {
		if changed {
			changes++
		}
	})
	s.RunFor(8 * core.Second)
	reports = 0
	s.RunFor(4 * core.Second)
	calm := reports
	reports, changes = 0, 0
	s.Apply("entry-4", s.entries["entry-4"].RecordEnded(s.Now, []crash.Ended{{Endpoint: "i-1"}}))
	s.RunFor(4 * core.Second)
	// Each host confirms what it was told, at two updates at most.
	if bound := calm + 2*len(s.entries); reports > bound || changes > bound {
		t.Errorf("%d hosts sent %d reports and had %d changes of their view after the end of one endpoint; %d reports in calm", len(s.entries), reports, changes, calm)
	}
}

// TestReadingAfterAnEnd guards against entry hosts that decide by the reading of the list from before an endpoint's end, since
// later ones show the same rows: the doubt about the endpoint ends with a reading.
func TestReadingAfterAnEnd(t *testing.T) {
	t.Parallel()
	const staleRow = 10 * core.Second
	s := newSite(t, 1)
	readAt := map[string]core.Millis{}
	s.watchEntries(func(e *entryHost, changed bool) {
		if changed {
			readAt[e.Name] = s.Now - e.View(s.Now).ListAge
		}
	})
	s.RunFor(8 * core.Second)
	ended := s.Now
	s.Apply("entry-4", s.entries["entry-4"].RecordEnded(ended, []crash.Ended{{Endpoint: "i-1"}}))
	s.RunFor(staleRow + 4*core.Second)
	for name := range s.entries {
		if readAt[name] <= ended+staleRow {
			t.Errorf("entry host %s decides by a list that was read %s after the end, %s ago", name, readAt[name]-ended, s.Now-readAt[name])
		}
	}
}

// TestEndsBesideCuts guards against hosts that don't learn of an end since they, the host that saw it or the control host that
// it reports to was cut off at that time: the endpoint may start again after the cut.
func TestEndsBesideCuts(t *testing.T) {
	t.Parallel()
	const (
		cutTime   = 5 * core.Second
		newsDelay = 2 * core.Second
	)
	for _, c := range []struct {
		name string
		// isolated returns the host that is cut off, from all control hosts.
		isolated func(s *site) string
	}{
		{"the host that saw it", func(*site) string { return "entry-4" }},
		{"a host that is to be told", func(*site) string { return "entry-7" }},
		{"the control host", func(s *site) string { return s.entries["entry-4"].CurrentControl() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				s := newSite(t, seed)
				told := map[string]bool{"entry-4": true}
				s.watchEntries(func(e *entryHost, _ bool) { told[e.Name] = told[e.Name] || len(e.View(s.Now).Ended) > 0 })
				s.RunFor(8 * core.Second)
				cut := c.isolated(s)
				s.Isolate(cut, s.others(cut), true)
				s.RunFor(100)
				s.Apply("entry-4", s.entries["entry-4"].RecordEnded(s.Now, []crash.Ended{{Endpoint: "i-1"}}))
				s.RunFor(cutTime)
				s.Heal()
				s.RunFor(newsDelay)
				for name := range s.entries {
					if !told[name] {
						t.Errorf("seed %d: entry host %s was not told of the end within %s after the cut", seed, name, newsDelay)
					}
				}
			}
		})
	}
}

// TestEndsOfAZone guards against messages with the ends of many endpoints that fill the link of a small host: an availability
// zone is lost, all hosts see its endpoints end one after the other, and each message repeats the ends from before.
func TestEndsOfAZone(t *testing.T) {
	t.Parallel()
	const (
		count = 400
		// linkBytesPerSecond is what the smallest host's link of 2 Mbit/s carries.
		linkBytesPerSecond = 250_000
	)
	s := newSite(t, 1)
	sent := map[string]int{}
	s.OnEffects = func(host string, e core.Effects) {
		for _, send := range e.Sends {
			if s.entries[host] != nil {
				sent["from "+host] += len(codec.Encode(send.Message))
			} else if s.entries[send.To] != nil {
				sent["to "+send.To] += len(codec.Encode(send.Message))
			}
		}
		s.carry(host, e)
	}
	s.RunFor(8 * core.Second)
	for i := range count {
		for name, e := range s.entries {
			s.At(s.Now+core.Millis(s.Rand.IntN(1000)), func() {
				s.Apply(name, e.RecordEnded(s.Now, []crash.Ended{{Endpoint: fmt.Sprintf("i-%08x", i)}}))
			})
		}
	}
	for second := range 3 {
		clear(sent)
		s.RunFor(core.Second)
		for way, bytes := range sent {
			if bytes > linkBytesPerSecond/2 {
				t.Errorf("%d bytes %s in second %d, half of the link are %d", bytes, way, second, linkBytesPerSecond/2)
			}
		}
	}
	for name, e := range s.entries {
		if known := len(e.View(s.Now).Ended); known != count {
			t.Errorf("entry host %s knows of %d ends of %d", name, known, count)
		}
	}
}
