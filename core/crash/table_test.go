package crash_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/crash"
)

func digest(text string) crash.Digest {
	return crash.NewDigest([]byte(text))
}

// table is a Table with the time of a test.
type table struct {
	crash.Table
	now core.Millis
}

func newTable() *table {
	return &table{now: core.Hour}
}

// end lets an endpoint end under requests.
func (t *table) end(endpoint string, requests ...string) {
	for _, each := range requests {
		t.Record(t.now, crash.Report{Digest: digest(each), Endpoint: endpoint})
	}
}

// endOneByOne lets endpoints end under requests, one after the other.
func (t *table) endOneByOne(endpoints int, requests ...string) {
	for i := range endpoints {
		t.end(fmt.Sprint("e", i), requests...)
		t.now += 300
	}
	t.now -= 300
}

// due returns the name of the request that is due after the delay for answers, or an empty string.
func (t *table) due(names ...string) string {
	t.now += core.Second
	got, due := t.Due(t.now, nil)
	for _, name := range names {
		if due && got == digest(name) {
			return name
		}
	}
	if due {
		return "another"
	}
	return ""
}

// TestThreeEndpointsEnd guards against a request that is kept from endpoints too early or too late, and against one crash
// that counts several times since several hosts report it.
func TestThreeEndpointsEnd(t *testing.T) {
	s := newTable()
	s.end("a", "r")
	s.now += 100
	s.end("a", "r")
	s.end("b", "r")
	if got := s.due("r"); got != "" {
		t.Fatalf("%s is due after two crashes", got)
	}
	s.end("b", "r")
	if _, due := s.Due(s.now, nil); !due {
		t.Fatal("the request is not due after an endpoint has ended twice under it and another once")
	}
	fresh := newTable()
	fresh.endOneByOne(3, "r")
	if _, due := fresh.Due(fresh.now, nil); due {
		t.Fatal("the request is due before hosts could report answers to it")
	}
	if got := fresh.due("r"); got != "r" {
		t.Fatalf("%q is due, expected r", got)
	}
}

// TestEndpointsEndTogether guards against a quarantine of a request that was tried at several endpoints while many ended at
// once for another reason.
func TestEndpointsEndTogether(t *testing.T) {
	s := newTable()
	for i := range 5 {
		s.end(fmt.Sprint("e", i), "r")
		s.end(fmt.Sprint("f", i), fmt.Sprint("beside", i))
		s.now += 40
	}
	if got := s.due("r"); got != "" {
		t.Fatalf("%s is due after endpoints ended within 160 ms", got)
	}
	s.end("later", "r")
	if got := s.due("r"); got != "r" {
		t.Fatalf("%q is due after a further end, expected r", got)
	}
}

// TestOneRequestEndsAll guards against a request that comes so often that it ends all endpoints of a service at one moment,
// and again when they are back: if no other endpoint ends then, the request is the cause.
func TestOneRequestEndsAll(t *testing.T) {
	for _, other := range []bool{false, true} {
		s := newTable()
		for i := range 4 {
			s.end(fmt.Sprint("e", i), "r", fmt.Sprint("beside", i))
			s.now += 30
		}
		if other {
			s.end("another endpoint", "beside")
		}
		want := "r"
		if other {
			want = ""
		}
		if got := s.due("r"); got != want {
			t.Errorf("%q is due after 4 ends, expected %q; another endpoint ended too: %t", got, want, other)
		}
	}
}

// TestThreeEndTogether guards against a quarantine of a request that a few endpoints held when they ended at one moment for
// another reason: its repetition is answered within two seconds, or another endpoint ended too.
func TestThreeEndTogether(t *testing.T) {
	for _, c := range []struct {
		name            string
		answered, other bool
		due             bool
	}{{"alone", false, false, true}, {"answered", true, false, false}, {"others end too", false, true, false}} {
		s := newTable()
		for i := range 3 {
			s.end(fmt.Sprint("e", i), "r")
			s.now += 40
		}
		if c.other {
			s.end("another endpoint", "beside")
		}
		s.now += 1700
		if _, due := s.Due(s.now, nil); due {
			t.Errorf("%s: due before a repetition could be answered", c.name)
		}
		if c.answered {
			s.Clear(s.now, crash.Served{Digest: digest("r")})
		}
		if got := s.due("r") == "r"; got != c.due {
			t.Errorf("%s: due %t, expected %t", c.name, got, c.due)
		}
	}
}

// TestHeldBesideACrash guards against requests that are quarantined since they were held by the endpoints that another
// request crashed.
func TestHeldBesideACrash(t *testing.T) {
	s := newTable()
	for i := range 4 {
		held := []string{"cause", "beside"}
		if i == 3 {
			held = []string{"cause"}
		}
		s.end(fmt.Sprint("e", i), held...)
		s.now += 300
	}
	if got := s.due("cause", "beside"); got != "cause" {
		t.Fatalf("%q is due, expected the request with most crashes", got)
	}
	s.Explain(digest("cause"))
	quarantined := []crash.Quarantine{crash.Quarantine{Digest: digest("cause")}.Renewed(s.now)}
	if got, due := s.Due(s.now, quarantined); due {
		t.Fatalf("%s is due, though another request explains its crashes", got)
	}
}

// TestAnswersExcuse guards against a quarantine of a request that endpoints answer, and is only often in flight when one
// ends: answers before and after the crashes count, if they come soon enough.
func TestAnswersExcuse(t *testing.T) {
	for _, c := range []struct {
		name string
		// age is that of the answer at the third crash.
		age core.Millis
		due bool
	}{{"after", 0, false}, {"between", 500, false}, {"just before", 3 * core.Second, false}, {"long before", 8 * core.Second, true}} {
		s := newTable()
		s.endOneByOne(3, "r")
		s.Clear(s.now, crash.Served{Digest: digest("r"), Age: c.age})
		if got := s.due("r") == "r"; got != c.due {
			t.Errorf("an answer %s the crashes: due %t, expected %t", c.name, got, c.due)
		}
	}
}

// TestQuarantineIsRenewed guards against a request that crashes three endpoints again each time that its quarantine has
// ended, and against one that is never sent again.
func TestQuarantineIsRenewed(t *testing.T) {
	s := newTable()
	s.endOneByOne(3, "r")
	q := crash.Quarantine{Digest: digest("r")}.Renewed(s.now)
	if length := q.Until - s.now; length != 10*core.Minute {
		t.Fatalf("the first quarantine lasts %s", length)
	}
	for times, want := range []core.Millis{20 * core.Minute, 40 * core.Minute, core.Hour, core.Hour} {
		s.now = q.Until + core.Second
		if _, due := s.Due(s.now, []crash.Quarantine{q}); due || q.Holds(s.now) {
			t.Fatal("a quarantine that has ended holds on without a further crash")
		}
		s.end(fmt.Sprint("f", times), "r")
		s.now += core.Second
		if _, due := s.Due(s.now, []crash.Quarantine{q}); !due {
			t.Fatalf("a crash after quarantine %d has no effect", q.Times)
		}
		q = q.Renewed(s.now)
		if length := q.Until - s.now; length != want {
			t.Fatalf("quarantine %d lasts %s, expected %s", q.Times, length, want)
		}
	}
	if q.IsForgotten(q.Until) || !q.IsForgotten(q.Until+core.Hour) {
		t.Fatal("a quarantine is forgotten too early or too late")
	}
}

// TestCrashesAreBounded guards against memory that grows with the requests that were in flight when endpoints ended, and
// against a request that is crowded out by those that were held beside it.
func TestCrashesAreBounded(t *testing.T) {
	s := newTable()
	s.end("a", "r")
	s.end("b", "r")
	for i := range 3000 {
		s.end(fmt.Sprint("e", i%40), fmt.Sprint("beside", i))
	}
	if s.Len() > 512 {
		t.Fatalf("%d requests are remembered", s.Len())
	}
	if suspects := s.Suspects(s.now); len(suspects) != 1 || suspects[0] != digest("r") {
		t.Fatalf("suspects are %v, expected r alone", suspects)
	}
	for i := range 200 {
		s.end(fmt.Sprint("f", i), "beside2999", "beside2998", fmt.Sprint("more", i/2))
	}
	if suspects := s.Suspects(s.now); len(suspects) > 64 {
		t.Fatalf("hosts are asked for %d requests", len(suspects))
	}
	s.now += 31 * core.Minute
	if _, due := s.Due(s.now, nil); due || s.Len() != 0 {
		t.Fatalf("%d requests are remembered after half an hour", s.Len())
	}
}

// TestQuarantineComesInTime guards against crashes that are recognised too late: all hosts have to know of the request
// within 3 s after it has crashed the third endpoint, of which the way to them takes a second at most.
func TestQuarantineComesInTime(t *testing.T) {
	const contactWindow, passOn = 3 * core.Second, core.Second
	for name, ends := range map[string][]core.Millis{
		// The ends of the first 14 s of incident BUDGET.
		"recorded":        {6347, 6484, 6600, 6664, 7823, 10355, 10880, 12720, 13124, 13960, 14023},
		"two a copy":      {0, 100, 4000, 4100, 8000, 8100},
		"far apart":       {0, 60_000, 120_000, 180_000},
		"several at once": {0, 10, 20, 30, 1500, 1510, 3000, 3010},
		"three at once":   {0, 60, 120, 5000, 5010, 5020, 5030, 5040},
	} {
		s := newTable()
		start := s.now
		third := start + ends[2]
		for due := false; !due && s.now <= third+contactWindow; s.now++ {
			for i, at := range ends {
				if s.now == start+at {
					s.end(fmt.Sprint("e", i), "r")
				}
			}
			_, due = s.Due(s.now, nil)
		}
		if late := s.now - third; late > contactWindow-passOn {
			t.Errorf("%s: not due %s after the third end", name, late)
		}
	}
}
