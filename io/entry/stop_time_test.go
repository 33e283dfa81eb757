package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
)

// stopCase is a way on which requests reach endpoints during a planned stop.
type stopCase struct {
	name   string
	method string
	path   string
	// run is how long an endpoint takes; shed lets every second arrival be turned away, so that there are retries.
	run  time.Duration
	shed bool
	// handed lets another host, which is cut off from endpoints, hand the requests over to the one that stops.
	handed bool
	// pipelined sends two requests at once.
	pipelined bool
	// minServed is how many requests must be served during the stop: those that surely end in time.
	minServed int
}

// TestStopTakesOnlyWhatItCanFinish guards against a planned stop that takes requests which can't end before the host does: in
// calm, endpoints run them, and they are cut off without an answer.
func TestStopTakesOnlyWhatItCanFinish(t *testing.T) {
	const run, short = 900 * time.Millisecond, 20 * time.Millisecond
	for _, c := range []stopCase{
		{name: "may run once", method: "POST", path: "/write/", run: run},
		{name: "may run once, short", method: "POST", path: "/short-write/", run: short, minServed: 20},
		{name: "may be repeated", method: "GET", path: "/many/", run: run, minServed: 5},
		{name: "may be repeated, short", method: "GET", path: "/many/", run: short, minServed: 20},
		{name: "retries", method: "GET", path: "/many/", run: run, shed: true, minServed: 5},
		{name: "handed over", method: "POST", path: "/write/", run: run, handed: true},
		{name: "handed over, may be repeated", method: "GET", path: "/many/", run: run, handed: true},
		{name: "pipelined", method: "GET", path: "/many/", run: run, pipelined: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStop(t, c)
			s.play(2 * time.Second)
			s.check()
		})
	}
}

// stop is a host that stops, with callers.
type stop struct {
	stopCase
	t        *testing.T
	stopping *host
	// ingress is the host that callers send to.
	ingress *host

	mutex sync.Mutex
	ran   map[string]bool
	shed  int
	// answered holds the status that each caller got; unanswered the requests that were sent whole and got no answer.
	answered   map[string]int
	unanswered []string
}

func newStop(t *testing.T, c stopCase) *stop {
	s := &stop{stopCase: c, t: t, ran: map[string]bool{}, answered: map[string]int{}}
	if c.handed {
		helper, address := startHelper(t, 3)
		s.stopping, s.ingress = helper, startCutHost(t, address)
	} else {
		s.stopping = startHost(t, 3)
		s.ingress = s.stopping
	}
	for _, h := range []*host{s.stopping, s.ingress} {
		table := *h.routes
		var all []routes.Route
		for _, r := range []routes.Route{{Name: "many", Prefix: "/many/", Idempotent: true, Timeout: 8000, MaxAttempts: 4}, {Name: "write", Prefix: "/write/", Timeout: 8000, MaxAttempts: 2}, {Name: "short", Prefix: "/short-write/", Timeout: 300, MaxAttempts: 2}} {
			r.Host, r.Destinations = "h", []routes.Destination{{Service: "s", Weight: 1}}
			all = append(all, r)
		}
		changed, err := routes.NewTable(2, table.Limits, []routes.Service{{Name: "s"}}, all)
		if err != nil {
			t.Fatal(err)
		}
		h.routes = changed
		h.change(func(view *fleet.View, _ *routes.Table, _ *pick.Table) {
			for i := range view.Endpoints {
				view.Endpoints[i].Slots = 1000
			}
		})
	}
	s.stopping.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		s.mutex.Lock()
		s.shed++
		turnedAway := c.shed && s.shed%2 == 0
		if !turnedAway {
			s.ran[request.Header.Get("Id")] = true
		}
		s.mutex.Unlock()
		if turnedAway {
			_, err := conn.Write([]byte(reply(request, 503, "", "Not-Run: 1")))
			return err == nil
		}
		time.Sleep(c.run)
		return echo(conn, request, body)
	})
	return s
}

// play sends requests one after another, each on a connection of its own, before and during a stop.
func (s *stop) play(grace time.Duration) {
	var wait sync.WaitGroup
	send := func(id string) { wait.Go(func() { s.exchange(id) }) }
	// The host learns how long runs take.
	for i := range 4 {
		send(fmt.Sprint("warm-", i))
	}
	wait.Wait()
	done := make(chan int, 1)
	go func() {
		left := s.stopping.server.Shutdown(core.Millis(grace.Milliseconds()))
		s.stopping.server.End()
		done <- left
	}()
	for i := 0; ; i++ {
		select {
		case left := <-done:
			if left > 0 {
				s.t.Errorf("%d requests were cut off", left)
			}
			wait.Wait()
			return
		case <-time.After(15 * time.Millisecond):
			send(fmt.Sprint("r-", i))
		}
	}
}

// exchange sends a request, or two at once, and reads the answers.
func (s *stop) exchange(id string) {
	conn, err := net.DialTimeout("tcp", s.ingress.address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	ids := []string{id}
	if s.pipelined {
		ids = append(ids, id+"-b")
	}
	text := ""
	for _, each := range ids {
		text += fmt.Sprintf("%s %sx HTTP/1.1\r\nHost: h\r\nId: %s\r\nDeadline: 8000\r\nContent-Length: 0\r\n\r\n", s.method, s.path, each)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return
	}
	c := &caller{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
	for _, each := range ids {
		response, body, err := c.readAnswer()
		s.mutex.Lock()
		if err != nil || response.StatusCode == http.StatusOK && !strings.HasSuffix(body, "x ") {
			s.unanswered = append(s.unanswered, each)
		} else {
			s.answered[each] = response.StatusCode
		}
		s.mutex.Unlock()
	}
}

// check checks that no run was cut off, and that what was refused has not run.
func (s *stop) check() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, id := range s.unanswered {
		if s.ran[id] {
			s.t.Errorf("request %s was run by an endpoint and got no answer", id)
		}
	}
	served, refused := 0, 0
	for id, status := range s.answered {
		switch {
		case status == http.StatusOK && strings.HasPrefix(id, "r-"):
			served++
		case status == http.StatusServiceUnavailable:
			refused++
			if s.ran[id] && !s.stopCase.shed {
				s.t.Errorf("request %s was refused as not run, and has run", id)
			}
		case status != http.StatusOK:
			s.t.Errorf("request %s got status %d: %+v; at the host that stops: %+v", id, status, s.ingress.recordOf(id), s.stopping.recordOf(id))
		}
	}
	s.t.Logf("%d served, %d refused, %d without an answer", served, refused, len(s.unanswered))
	if served < s.minServed {
		s.t.Errorf("%d requests were served during the stop, at least %d could be", served, s.minServed)
	}
}
