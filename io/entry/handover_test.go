package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"clementinelock/core/reach"
	"clementinelock/io/entry"
	"clementinelock/io/pool"
)

// cutHostIP is the address of the host that is cut off, from which it connects to others.
const cutHostIP = "127.0.4.1"

// startCutHost starts an entry host that reaches no endpoint and knows the helpers at the addresses given, the nearest
// first.
func startCutHost(t *testing.T, helpers ...string) *host {
	t.Helper()
	h := startHost(t, 2)
	for _, e := range h.endpoints {
		_ = e.listener.Close()
	}
	h.server.Helpers = &reach.Helpers{Region: "r", Zone: "z", Rand: rand.New(rand.NewPCG(1, 2))}
	h.server.HelperPool = &pool.Pool{Dialect: dialect, LocalIP: net.ParseIP(cutHostIP)}
	h.server.HelperAddress = func(name string) string { return name }
	var known []reach.Helper
	for i, address := range helpers {
		// The first is in the host's zone, the second in its region, the others elsewhere.
		known = append(known, reach.Helper{Name: address, Region: []string{"r", "r", "q"}[min(i, 2)], Zone: []string{"z", "y", "x"}[min(i, 2)]})
	}
	h.server.SetPeers(known, nil)
	h.server.CutOff()
	return h
}

// startHelper starts an entry host that takes requests of the host that is cut off; it returns its address for hosts too.
func startHelper(t *testing.T, endpoints int) (*host, string) {
	t.Helper()
	h, address := startUnawareHelper(t, endpoints)
	h.server.SetPeers(nil, []string{cutHostIP})
	return h, address
}

// startUnawareHelper starts an entry host that takes connections of hosts and knows of none that is cut off.
func startUnawareHelper(t *testing.T, endpoints int) (*host, string) {
	t.Helper()
	h := startHost(t, endpoints)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() { _ = h.server.ServeHosts(ctx, listener) }()
	return h, listener.Addr().String()
}

// startFakeHelper starts a listener that answers each request of a host with the function.
func startFakeHelper(t *testing.T, answer func(conn net.Conn, request *http.Request) bool) string {
	t.Helper()
	e := startEndpoint(t)
	e.setAnswer(func(conn net.Conn, request *http.Request, _ []byte) bool { return answer(conn, request) })
	return e.listener.Addr().String()
}

// freeAddress returns an address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestHandover guards against requests that change on their way through another entry host, and headers between hosts that
// reach endpoints or callers.
func TestHandover(t *testing.T) {
	helper, address := startHelper(t, 2)
	h := startCutHost(t, address)
	seen := make(chan *http.Request, 4)
	helper.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		seen <- request
		_, err := io.WriteString(conn, reply(request, 200, request.Method+" "+request.RequestURI+" "+string(body), "Other: kept"))
		return err == nil
	})
	c := h.dial(t)
	for _, method := range []string{"GET", "POST"} {
		path := map[string]string{"GET": "/read/x?y=1", "POST": "/write/x?y=1"}[method]
		c.send(method, path, "r"+method, "body", "Cookie: object=7", "Clementinelock-Handover: Reached=9")
		response := c.expect("r"+method, http.StatusOK, method+" "+path+" body")
		if response.Header.Get("Clementinelock-Endpoint") != "" || response.Header.Get("Other") != "kept" || response.Header.Get("Stamp") != "s" {
			t.Errorf("%s: the caller gets %v", method, response.Header)
		}
		request := <-seen
		if request.Host != "h" || request.Header.Get("Cookie") != "object=7" || request.Header.Get("Clementinelock-Handover") != "" || request.Header.Get("Expect-Instance") == "" {
			t.Errorf("%s: the endpoint gets %q with %v", method, request.Host, request.Header)
		}
		if left, err := strconv.Atoi(request.Header.Get("Deadline")); err != nil || left <= 0 || left > 600 {
			t.Errorf("%s: the endpoint has %q left, the route allows 600 ms", method, request.Header.Get("Deadline"))
		}
		if r := h.record(t, "r"+method); r.Helper != address || r.Handovers != 1 || r.Attempts != 0 {
			t.Errorf("%s: the record has helper %q, %d handovers, %d attempts", method, r.Helper, r.Handovers, r.Attempts)
		}
		if r := helper.record(t, "r"+method); r.From != cutHostIP || r.Attempts != 1 {
			t.Errorf("%s: the helper's record is from %q with %d attempts", method, r.From, r.Attempts)
		}
	}
}

// TestHelperThatFails guards against requests that run twice, or whose callers are told that they have not run, when the
// host that they were handed over to dies, falls silent or refuses them.
func TestHelperThatFails(t *testing.T) {
	refusal := func(status int, headers string) func(net.Conn, *http.Request) bool {
		return func(conn net.Conn, request *http.Request) bool {
			_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\nContent-Length: 0\r\n%s\r\n", status, request.Header.Get("Id"), headers)
			return err == nil
		}
	}
	for _, c := range []struct {
		name          string
		answer        func(net.Conn, *http.Request) bool
		read, write   int
		readRuns, run int64
	}{
		{"not reached", nil, 200, 200, 1, 1},
		{"breaks off", func(net.Conn, *http.Request) bool { return false }, 200, 502, 1, 0},
		{"silent", func(net.Conn, *http.Request) bool { time.Sleep(2 * time.Second); return false }, 200, 504, 1, 0},
		{"no room", refusal(503, "Clementinelock-Ran: No\r\nClementinelock-Kind: CapReached\r\n"), 200, 200, 1, 1},
		{"cut off itself", refusal(503, "Clementinelock-Ran: No\r\nClementinelock-Kind: NotReady\r\n"), 200, 200, 1, 1},
		{"without contact", refusal(503, "Clementinelock-Ran: No\r\nClementinelock-Kind: NoUpstream\r\n"), 200, 200, 1, 1},
		{"stopping", refusal(503, "Clementinelock-Ran: No\r\nClementinelock-Kind: Stopping\r\n"), 200, 200, 1, 1},
		{"endpoints busy", refusal(503, "Clementinelock-Ran: No\r\nClementinelock-Kind: Overloaded\r\n"), 503, 503, 0, 0},
		{"may have run", refusal(502, "Clementinelock-Ran: Unknown\r\nClementinelock-Kind: UpstreamFailed\r\n"), 502, 502, 0, 0},
		{"proves nothing", refusal(503, ""), 502, 502, 0, 0},
		{"no stamp", refusal(200, ""), 502, 502, 0, 0},
		{"truncated", func(conn net.Conn, request *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nStamp: s\r\nContent-Length: 100\r\n\r\nshort", request.Header.Get("Id"))
			return false
		}, 200, 502, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			failing := freeAddress(t)
			if c.answer != nil {
				failing = startFakeHelper(t, c.answer)
			}
			helper, address := startHelper(t, 2)
			h := startCutHost(t, failing, address)
			for _, each := range []struct {
				method, path string
				status       int
				runs         int64
			}{{"POST", "/write/x", c.write, c.run}, {"GET", "/read/x", c.read, c.readRuns}} {
				before := helper.runs()
				// What is known of the failing host must not decide on the second request.
				h.server.SetPeers(nil, nil)
				h.server.SetPeers([]reach.Helper{{Name: failing, Region: "r", Zone: "z"}, {Name: address, Region: "r", Zone: "y"}}, nil)
				caller := h.dial(t)
				caller.send(each.method, each.path, "r"+each.method, "")
				response, _, err := caller.readAnswer()
				if err != nil {
					t.Fatal(err)
				}
				if response.StatusCode != each.status {
					t.Errorf("%s is answered with %d, expected %d", each.method, response.StatusCode, each.status)
				}
				time.Sleep(20 * time.Millisecond)
				if runs := helper.runs() - before; runs != each.runs {
					t.Errorf("%s ran %d times at the other host, expected %d", each.method, runs, each.runs)
				}
			}
		})
	}
}

// TestHostsThatMayHandOver guards against requests that a host takes from one that is not known to be cut off, or from a
// caller that pretends to be a host, and against requests that travel in circles.
func TestHostsThatMayHandOver(t *testing.T) {
	helper, address := startHelper(t, 2)
	h := startCutHost(t, address)
	get := func(id string) int {
		c := h.dial(t)
		c.send("GET", "/read/x", id, "")
		response, _, err := c.readAnswer()
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}
	if status := get("known"); status != http.StatusOK {
		t.Fatalf("a host that is known to be cut off gets %d", status)
	}
	unaware, unawareAddress := startUnawareHelper(t, 2)
	unaware.server.SetPeers(nil, []string{"127.0.4.9"})
	h.server.SetPeers([]reach.Helper{{Name: unawareAddress, Region: "r", Zone: "z"}}, nil)
	if status := get("unknown"); status != http.StatusServiceUnavailable || unaware.runs() != 0 {
		t.Errorf("a host that is not known to be cut off gets %d and %d runs", status, unaware.runs())
	}
	other, otherAddress := startHelper(t, 2)
	h.server.SetPeers([]reach.Helper{{Name: address, Region: "r", Zone: "z"}}, nil)
	helper.server.Helpers = &reach.Helpers{Region: "r", Zone: "z", Rand: rand.New(rand.NewPCG(1, 2))}
	helper.server.HelperPool = &pool.Pool{Dialect: dialect, LocalIP: net.ParseIP("127.0.4.2")}
	helper.server.HelperAddress = func(name string) string { return name }
	helper.server.SetPeers([]reach.Helper{{Name: otherAddress, Region: "r", Zone: "z"}}, []string{cutHostIP})
	helper.server.CutOff()
	began, runs := time.Now(), helper.runs()+other.runs()
	if status := get("circle"); status != http.StatusServiceUnavailable || helper.runs()+other.runs() != runs || time.Since(began) > 300*time.Millisecond {
		t.Errorf("a request whose helper is cut off too gets %d after %s", status, time.Since(began))
	}
	if r := helper.record(t, "circle"); r.Handovers != 0 {
		t.Error("the helper has handed the request over again")
	}
	// A caller gets no other treatment by the header.
	plain := startHost(t, 2)
	c := plain.dial(t)
	c.send("GET", "/read/x", "caller", "", "Clementinelock-Handover: Reached=5 Counted=true Version=99")
	response := c.expect("caller", http.StatusOK, "GET /read/x ")
	if response.Header.Get("Clementinelock-Endpoint") != "" || plain.record(t, "caller").From != "" {
		t.Error("a caller is taken for a host")
	}
}

// TestHelperWithoutRoom guards against a helper whose own callers wait behind those of other hosts.
func TestHelperWithoutRoom(t *testing.T) {
	helper, address := startHelper(t, 40)
	h := startCutHost(t, address)
	held := make(chan struct{})
	helper.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		if strings.HasPrefix(request.RequestURI, "/read/held") {
			<-held
		}
		return echo(conn, request, body)
	})
	defer close(held)
	results := make(chan int, 100)
	for i := range cap(results) {
		go func() {
			c := h.dial(t)
			c.send("GET", "/read/held", fmt.Sprint("h", i), "", fmt.Sprint("Cookie: object=", i))
			response, _, err := c.readAnswer()
			if err != nil {
				results <- 0
				return
			}
			results <- response.StatusCode
		}()
	}
	refused := 0
	for end := time.After(400 * time.Millisecond); refused < cap(results); {
		select {
		case status := <-results:
			if status == http.StatusServiceUnavailable {
				refused++
			}
			continue
		case <-end:
		}
		break
	}
	if refused < 30 {
		t.Errorf("%d of %d requests are refused at once, at least 30 expected beside the 48 that there is room for", refused, cap(results))
	}
	began := time.Now()
	own := helper.dial(t)
	own.send("GET", "/read/own", "own", "")
	own.expect("own", http.StatusOK, "GET /read/own ")
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("a caller of the helper waited %s", took)
	}
}

// TestCallerLeavesDuringHandover guards against an endpoint that goes on working for a caller that has left.
func TestCallerLeavesDuringHandover(t *testing.T) {
	helper, address := startHelper(t, 1)
	h := startCutHost(t, address)
	left := make(chan time.Duration, 1)
	started := make(chan struct{})
	helper.setAnswer(func(conn net.Conn, _ *http.Request, _ []byte) bool {
		close(started)
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		began := time.Now()
		_, _ = conn.Read(make([]byte, 1))
		left <- time.Since(began)
		return false
	})
	c := h.dial(t)
	c.send("GET", "/read/x", "r1", "")
	<-started
	_ = c.conn.Close()
	if took := <-left; took > 400*time.Millisecond {
		t.Errorf("the endpoint's connection is open for %s after the caller has left", took)
	}
}

// TestLongBodiesDuringHandover guards against bodies that are cut short, in either direction, on their way through another
// host, and against truncated answers that look complete.
func TestLongBodiesDuringHandover(t *testing.T) {
	helper, address := startHelper(t, 1)
	h := startCutHost(t, address)
	const size = 900 << 10
	var truncate atomic.Bool
	helper.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		text := reply(request, 200, strings.Repeat("a", size)+fmt.Sprint(len(body)))
		if truncate.Load() {
			text = text[:len(text)-1000]
		}
		_, err := io.WriteString(conn, text)
		return err == nil && !truncate.Load()
	})
	for _, chunked := range []bool{false, true} {
		c := h.dial(t)
		body := strings.Repeat("b", size)
		framing, text := fmt.Sprintf("Content-Length: %d", size), body
		if chunked {
			framing, text = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
		}
		if _, err := fmt.Fprintf(c.conn, "POST /write/long HTTP/1.1\r\nHost: h\r\nId: l%t\r\nDeadline: 2000\r\n%s\r\n\r\n%s", chunked, framing, text); err != nil {
			t.Fatal(err)
		}
		response, got, err := c.readAnswer()
		if err != nil || response.StatusCode != http.StatusOK || got != strings.Repeat("a", size)+fmt.Sprint(size) {
			t.Fatalf("chunked %t: %v, %d bytes", chunked, err, len(got))
		}
	}
	truncate.Store(true)
	c := h.dial(t)
	c.send("GET", "/read/long", "t1", "")
	if response, body, err := c.readAnswer(); err == nil {
		t.Errorf("a truncated answer looks complete: %d with %d bytes", response.StatusCode, len(body))
	} else if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Logf("truncated: %v", err)
	}
}

// TestCutIsRecognised guards against a host that tries endpoint after endpoint for as long as it is cut off, and against one
// that hands requests over without need.
func TestCutIsRecognised(t *testing.T) {
	helper, address := startHelper(t, 2)
	h := startHost(t, 6)
	h.server.Helpers = &reach.Helpers{Region: "r", Zone: "z", Rand: rand.New(rand.NewPCG(1, 2))}
	h.server.HelperPool = &pool.Pool{Dialect: dialect, LocalIP: net.ParseIP(cutHostIP)}
	h.server.HelperAddress = func(name string) string { return name }
	h.server.Pool.OnDial = h.server.RecordDial
	h.server.SetPeers([]reach.Helper{{Name: address, Region: "r", Zone: "z"}}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			h.server.Probe(ctx)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	get := func(id string) (status int, r entry.RequestRecord) {
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		c := &caller{t, conn, bufio.NewReader(conn)}
		c.send("GET", "/read/x", id, "", "Cookie: object="+id)
		response, _, err := c.readAnswer()
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, h.record(t, id)
	}
	for i := range 20 {
		if status, r := get(fmt.Sprint("a", i)); status != http.StatusOK || r.Handovers > 0 {
			t.Fatalf("request %d before the cut: %d, %d handovers", i, status, r.Handovers)
		}
	}
	one := h.endpoints[0].listener
	_ = one.Close()
	time.Sleep(300 * time.Millisecond)
	if h.server.Cut() {
		t.Fatal("the end of one endpoint counts as a cut")
	}
	for _, e := range h.endpoints {
		_ = e.listener.Close()
		e.setAnswer(func(net.Conn, *http.Request, []byte) bool { return false })
		e.mutex.Lock()
		for _, conn := range e.open {
			_ = conn.Close()
		}
		e.mutex.Unlock()
	}
	served := 0
	for i := range 80 {
		if status, r := get(fmt.Sprint("b", i)); status == http.StatusOK {
			if r.Helper != address {
				t.Errorf("request %d is served without the helper", i)
			}
			served++
		}
		time.Sleep(25 * time.Millisecond)
	}
	if served < 40 || helper.runs() < 40 {
		t.Errorf("%d of 80 requests in two seconds of a cut are served, at least 40 expected", served)
	}
}
