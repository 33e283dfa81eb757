package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"clementinelock/core/crash"
	"clementinelock/io/clock"
)

// crashReports returns what the host has to report once it has examined the endpoints of broken requests.
func (h *host) crashReports(t *testing.T, count int) (reports []crash.Report) {
	t.Helper()
	for range 100 {
		more, _ := h.server.TakeReports(clock.New().Now())
		if reports = append(reports, more...); len(reports) >= count {
			return reports
		}
		time.Sleep(10 * time.Millisecond)
	}
	return reports
}

// digestOf returns the digest that the host gave a request.
func (h *host) digestOf(t *testing.T, id string) crash.Digest {
	t.Helper()
	return h.record(t, id).Digest
}

// TestEndpointThatOnlyBreaksAnswers guards against a request that is blamed for a crash when the endpoint broke one
// connection and goes on.
func TestEndpointThatOnlyBreaksAnswers(t *testing.T) {
	h := startHost(t, 2)
	h.setAnswer(func(net.Conn, *http.Request, []byte) bool { return false })
	c := h.dial(t)
	c.send("GET", "/read/x", "r1", "")
	c.expect("r1", http.StatusBadGateway, "")
	if reports := h.crashReports(t, 1); len(reports) != 0 {
		t.Fatalf("reported %v, though the endpoints accept connections", reports)
	}
}

// TestEndpointEnds guards against a crash that is not reported, reported under another request, or under different
// digests where the request is the same.
func TestEndpointEnds(t *testing.T) {
	h := startHost(t, 2)
	h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		if request.RequestURI != "/read/crash" {
			return echo(conn, request, body)
		}
		for _, e := range h.endpoints {
			_ = e.listener.Close()
		}
		return false
	})
	c := h.dial(t)
	c.send("GET", "/read/good", "r1", "")
	c.expect("r1", http.StatusOK, "GET /read/good ")
	c.send("GET", "/read/crash", "r2", "")
	c.expect("r2", http.StatusBadGateway, "")
	reports := h.crashReports(t, 1)
	if len(reports) != 1 || reports[0].Digest != h.digestOf(t, "r2") {
		t.Fatalf("reported %v, expected one crash under %s", reports, h.digestOf(t, "r2"))
	}
	for _, each := range []struct {
		id, method, path, body, header string
		same                           bool
	}{
		{"r3", "GET", "/read/crash", "", "", true},
		{"r4", "GET", "/read/crash?", "", "", false},
		{"r5", "POST", "/read/crash", "", "", false},
		{"r6", "GET", "/read/crash", "b", "", false},
		{"r7", "GET", "/read/crash", "", "Authorization: another", false},
		{"r8", "GET", "/read/crash", "", "Cookie: object=4", true},
	} {
		other := h.dial(t)
		if each.header == "" {
			other.send(each.method, each.path, each.id, each.body)
		} else {
			other.send(each.method, each.path, each.id, each.body, each.header)
		}
		_, _, _ = other.readAnswer()
		if same := h.digestOf(t, each.id) == h.digestOf(t, "r2"); same != each.same {
			t.Errorf("%s %s with body %q and header %q: same digest %t, expected %t", each.method, each.path, each.body, each.header, same, each.same)
		}
	}
}

// TestEndpointEndsBesideIdleConnections guards against a crash that is not reported since the ends of idle connections to the
// endpoint are read after that of the request's connection, as on a busy machine.
func TestEndpointEndsBesideIdleConnections(t *testing.T) {
	h := startHost(t, 1)
	e := h.endpoints[0]
	e.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		if request.RequestURI != "/read/crash" {
			time.Sleep(30 * time.Millisecond)
			return echo(conn, request, body)
		}
		_ = e.listener.Close()
		time.AfterFunc(50*time.Millisecond, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			for _, each := range e.open {
				_ = each.Close()
			}
		})
		return false
	})
	// Two requests at a time leave two connections.
	callers := []*caller{h.dial(t), h.dial(t)}
	for i, c := range callers {
		c.send("GET", "/read/good", fmt.Sprint("good", i), "")
	}
	for i, c := range callers {
		c.expect(fmt.Sprint("good", i), http.StatusOK, "GET /read/good ")
	}
	callers[0].send("GET", "/read/crash", "crash", "")
	callers[0].expect("crash", http.StatusBadGateway, "")
	if reports := h.crashReports(t, 1); len(reports) != 1 || reports[0].Digest != h.digestOf(t, "crash") {
		t.Fatalf("reported %v, expected one crash under %s", reports, h.digestOf(t, "crash"))
	}
}

// TestQuarantinedRequests guards against a quarantined request that reaches an endpoint as a first attempt or that goes on
// waiting at one, and against others that are refused with it.
func TestQuarantinedRequests(t *testing.T) {
	h := startHost(t, 2)
	held := make(chan struct{})
	h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		if request.RequestURI == "/read/crash" {
			<-held
			return false
		}
		return echo(conn, request, body)
	})
	t.Cleanup(func() { close(held) })
	waiting := h.dial(t)
	waiting.send("GET", "/read/crash", "r1", "")
	for h.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	now := clock.New().Now()
	probe := crash.NewDigest([]byte(""), []byte("GET"), []byte("h"), []byte("/read/crash"), []byte("0"), nil)
	h.server.SetQuarantined([]crash.Quarantine{{Digest: probe, Until: now + 5000}}, nil)
	waiting.expect("r1", http.StatusBadGateway, "")
	if got := h.digestOf(t, "r1"); got != probe {
		t.Fatalf("the request has digest %s, expected %s", got, probe)
	}
	if r := h.record(t, "r1"); r.Latency > 300 {
		t.Errorf("a request that was quarantined while it waited was answered after %s", r.Latency)
	}
	runs := h.runs()
	c := h.dial(t)
	c.send("GET", "/read/crash", "r2", "")
	response := c.expect("r2", http.StatusServiceUnavailable, "")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || seconds <= 4 || seconds > 5 {
		t.Errorf("Retry-After is %q, expected the rest of 5 s", response.Header.Get("Retry-After"))
	}
	if h.runs() != runs || h.record(t, "r2").Attempts != 0 {
		t.Error("a quarantined request reached an endpoint")
	}
	c.send("GET", "/read/other", "r3", "")
	c.expect("r3", http.StatusOK, "GET /read/other ")
}

// TestCutHostReportsNoEnds guards against a host that is cut off from all endpoints and takes refused connections for their
// ends, so that other hosts use them less and requests that broke are quarantined.
func TestCutHostReportsNoEnds(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused int
	}{{"one endpoint ends", 1}, {"all refuse connections", 6}} {
		t.Run(c.name, func(t *testing.T) {
			h := startHost(t, 6)
			warm := h.dial(t)
			for i := range 60 {
				id := "w" + strconv.Itoa(i)
				warm.send("GET", "/read/good", id, "", "Cookie: object="+id)
				warm.expect(id, http.StatusOK, "GET /read/good ")
			}
			var ended atomic.Bool
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				if request.RequestURI != "/read/broken" || ended.Swap(true) {
					return echo(conn, request, body)
				}
				for _, e := range h.endpoints {
					if c.refused == len(h.endpoints) || e.listener.Addr().String() == conn.LocalAddr().String() {
						_ = e.listener.Close()
					}
				}
				return false
			})
			broken := h.dial(t)
			broken.send("GET", "/read/broken", "b1", "")
			_, _, _ = broken.readAnswer()
			want := 0
			if c.refused == 1 {
				want = 1
			}
			reports := h.crashReports(t, 1)
			if len(reports) != want {
				t.Errorf("reported %d crashes, expected %d: %v", len(reports), want, reports)
			}
			if ended := h.server.TakeEnded(clock.New().Now()); len(ended) != want {
				t.Errorf("reported %d ends, expected %d: %v", len(ended), want, ended)
			}
		})
	}
}
