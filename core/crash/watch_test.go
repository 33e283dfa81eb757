package crash_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/crash"
)

// TestAnswersToSuspectsAreReported guards against a suspect whose earlier answers are not reported, so that a request
// which endpoints answer is quarantined, and against a report for each answer.
func TestAnswersToSuspectsAreReported(t *testing.T) {
	w, now := &crash.Watch{}, core.Hour
	w.RecordAnswer(now, digest("early"))
	w.RecordAnswer(now, digest("other"))
	if served := w.TakeServed(now); len(served) != 0 {
		t.Fatalf("answers are reported without suspects: %v", served)
	}
	now += 4 * core.Second
	w.Set(nil, []crash.Digest{digest("early"), digest("late")})
	if served := w.TakeServed(now); len(served) != 1 || served[0] != (crash.Served{Digest: digest("early"), Age: 4 * core.Second}) {
		t.Fatalf("reported %v, expected the earlier answer with its age", served)
	}
	reports := 0
	for range 300 {
		now += 10
		w.RecordAnswer(now, digest("late"))
		w.Set(nil, []crash.Digest{digest("early"), digest("late")})
		reports += len(w.TakeServed(now))
	}
	if reports < 3 || reports > 4 {
		t.Fatalf("%d reports of answers to one suspect in 3 s", reports)
	}
}

// TestQuarantinedUntil guards against a quarantine that does not end at hosts that hear nothing more, and against an
// answer to a quarantined request that is not reported.
func TestQuarantinedUntil(t *testing.T) {
	w, now := &crash.Watch{}, core.Hour
	w.Set([]crash.Quarantine{{Digest: digest("r"), Until: now + 100}}, nil)
	if got := w.Remaining(now, digest("r")); got != 100 {
		t.Fatalf("%s remain", got)
	}
	if got := w.Remaining(now, digest("another")); got != 0 {
		t.Fatalf("another request is quarantined for %s", got)
	}
	w.RecordAnswer(now, digest("r"))
	if served := w.TakeServed(now); len(served) != 1 {
		t.Fatalf("reported %v", served)
	}
	if got := w.Remaining(now+100, digest("r")); got != 0 {
		t.Fatalf("%s remain after the end", got)
	}
}

// TestRememberedAnswersAreBounded guards against memory that grows with the number of different requests.
func TestRememberedAnswersAreBounded(t *testing.T) {
	w, now := &crash.Watch{}, core.Hour
	var all []crash.Digest
	for i := range 10000 {
		all = append(all, digest(fmt.Sprint(i)))
		w.RecordAnswer(now, all[i])
	}
	w.Set(nil, all)
	if served := w.TakeServed(now); len(served) > 4096 || len(served) < 2048 {
		t.Fatalf("%d answers are remembered", len(served))
	}
}

// TestReportsAreRepeated guards against a report that is lost with one message, repeated for ever, or dropped while a
// host reaches nobody.
func TestReportsAreRepeated(t *testing.T) {
	r, now := &crash.Relay{}, core.Hour
	for i := range 100 {
		r.AddCrash(now, crash.Report{Digest: digest("r"), Endpoint: fmt.Sprint(i), Age: 50})
	}
	r.AddServed(now, crash.Served{Digest: digest("s")})
	crashes, served := r.Reports(now + 800)
	if len(crashes) != 64 || crashes[63].Endpoint != "99" || crashes[63].Age != 850 || len(served) != 1 {
		t.Fatalf("%d crashes and %d answers are repeated, the last crash is %+v", len(crashes), len(served), crashes[len(crashes)-1])
	}
	r.Extend(now + 2*core.Second)
	if crashes, _ := r.Reports(now + 4*core.Second); len(crashes) != 64 {
		t.Fatalf("%d crashes are left after a time without contact", len(crashes))
	}
	if crashes, served := r.Reports(now + 5*core.Second); len(crashes)+len(served) != 0 {
		t.Fatalf("%d crashes and %d answers are repeated after their time", len(crashes), len(served))
	}
}
