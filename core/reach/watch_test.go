package reach_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/reach"
)

// world is a host with requests and probes, and a way to endpoints that may be cut.
type world struct {
	watch reach.Watch
	now   core.Millis
	// way is how endpoints behave for the host: up, or as one that is cut off sees them.
	way string
	// live lets open connections carry requests although new ones fail.
	live bool
	// probes counts the endpoints that were probed.
	probes int
	round  *reach.Round
	ends   core.Millis
}

// step advances by one tick of the driver, with a request every so often.
func (w *world) step(perTick int) {
	const tick = 50
	w.now += tick
	if w.round != nil && w.now >= w.ends {
		w.watch.RecordRound(w.now, *w.round)
		w.round = nil
	}
	for range perTick {
		w.request()
	}
	if n := w.watch.ProbesDue(w.now); n > 0 {
		w.probes += n
		w.round = &reach.Round{Began: w.now, Probed: n}
		w.ends = w.now + 50
		switch w.way {
		case "up":
			w.round.Reached = n
		case "refused":
			w.round.Refused = n
		case "one service down":
			w.round.Reached, w.round.Refused = n-1, 1
		default:
			w.ends = w.now + 400
		}
	}
}

func (w *world) request() {
	w.watch.RecordSent(w.now)
	switch {
	case w.way == "up" || w.live:
		w.watch.RecordAnswer(w.now)
		w.watch.RecordDone()
	case w.way == "refused":
		w.watch.RecordUnopened(w.now, "a")
		w.watch.RecordUnopened(w.now, "b")
		w.watch.RecordDone()
	case w.way == "reset":
		w.watch.RecordOpened()
		w.watch.RecordBroken(w.now, "a")
		w.watch.RecordOpened()
		w.watch.RecordBroken(w.now, "b")
		w.watch.RecordDone()
	case w.way == "one service down":
		w.watch.RecordUnopened(w.now, "a")
		w.watch.RecordUnopened(w.now, "b")
		w.watch.RecordDone()
		w.watch.RecordAnswer(w.now)
	}
}

// recognitionTimeout leaves a second of the users' 3 s for the news of the cut to reach other hosts.
const recognitionTimeout = 2 * core.Second

// TestCutsAreRecognised guards against cuts that are recognised late or not at all, however connections fail, and against a
// host that still counts as cut off when it is not.
func TestCutsAreRecognised(t *testing.T) {
	for _, c := range []struct {
		way  string
		live bool
	}{{"refused", false}, {"reset", false}, {"silent", false}, {"unopened", false}, {"refused", true}} {
		for _, perTick := range []int{1, 5} {
			w := &world{now: core.Hour, way: "up"}
			for range 100 {
				w.step(perTick)
			}
			if w.watch.IsCut() || w.probes > 0 {
				t.Fatalf("%s: %d probes before the cut", c.way, w.probes)
			}
			w.way, w.live = c.way, c.live
			cut := w.now
			for !w.watch.IsCut() && w.now < cut+core.Minute {
				if c.live || c.way == "unopened" {
					w.watch.RecordUnopened(w.now, "a")
					w.watch.RecordUnopened(w.now, "b")
				}
				w.step(perTick)
			}
			if w.now-cut > recognitionTimeout {
				t.Errorf("%s, live %t: recognised after %s", c.way, c.live, w.now-cut)
			}
			if !w.watch.HandsOver(w.now, 0) {
				t.Errorf("%s: requests don't go to other hosts", c.way)
			}
			w.probes = 0
			for range 200 {
				w.step(0)
			}
			if !w.watch.IsCut() || w.probes > 50 || w.probes < 10 {
				t.Errorf("%s: cut %t with %d probes in 10 s of it", c.way, w.watch.IsCut(), w.probes)
			}
			w.way, w.live = "up", false
			healed := w.now
			for w.watch.IsCut() && w.now < healed+core.Minute {
				w.step(0)
			}
			if w.now-healed > core.Second {
				t.Errorf("%s: the cut counts for %s after its end", c.way, w.now-healed)
			}
			if !w.watch.HandsOver(w.now+100, 0.5) || w.watch.HandsOver(w.now+2*core.Second, 1) {
				t.Errorf("%s: requests don't return to endpoints bit by bit", c.way)
			}
		}
	}
}

// TestOutagesAreNoCuts guards against a host that counts as cut off since one service is down, endpoints are overloaded or
// slow, or nothing is asked.
func TestOutagesAreNoCuts(t *testing.T) {
	for _, c := range []struct {
		name      string
		run       func(w *world)
		maxProbes int
	}{
		{"idle", func(w *world) { w.step(0) }, 0},
		{"one service down", func(w *world) { w.way = "one service down"; w.step(1) }, 90},
		{"new connections unanswered, open ones live", func(w *world) {
			w.way, w.live = "unopened", true
			w.watch.RecordUnopened(w.now, "a")
			w.watch.RecordUnopened(w.now, "b")
			w.step(2)
		}, 90},
	} {
		w := &world{now: core.Hour, way: "up"}
		for range 400 {
			c.run(w)
			if w.watch.IsCut() {
				t.Fatalf("%s counts as a cut", c.name)
			}
		}
		if w.probes > c.maxProbes {
			t.Errorf("%s: %d probes in 20 s, at most %d expected", c.name, w.probes, c.maxProbes)
		}
	}
	// Requests that take long, one at a time, cost a round of probes now and then.
	w := &world{now: core.Hour, way: "up"}
	for range 20 {
		w.watch.RecordSent(w.now)
		for range 24 {
			w.step(0)
		}
		w.watch.RecordAnswer(w.now)
		w.watch.RecordDone()
	}
	if w.watch.IsCut() || w.probes > 100 {
		t.Errorf("long requests: cut %t, %d probes in 24 s", w.watch.IsCut(), w.probes)
	}
}
