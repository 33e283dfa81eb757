package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// lateRefusal is an endpoint that refuses its first request, and writes the refusal once more on the same connection when
// the next request has come.
type lateRefusal struct {
	// ran counts the requests after the first that are run, whatever is answered.
	ran atomic.Int64
	// answers is set if the endpoint answers what it runs.
	answers bool
	// id tells whether the refusal has its request's id.
	id bool
	// early is set if the second copy comes before the next request, at once or with a delay.
	early bool
	delay time.Duration
	// refusal is the refusal on its connection, nil before.
	refusal atomic.Pointer[writtenRefusal]
}

type writtenRefusal struct {
	conn net.Conn
	text string
}

func (l *lateRefusal) answer(conn net.Conn, request *http.Request, body []byte) bool {
	refusal := l.refusal.Load()
	if refusal == nil {
		header := "Not-Run: 1\r\n"
		if l.id {
			header += fmt.Sprintf("Id: %s\r\n", request.Header.Get("Id"))
		}
		text := fmt.Sprintf("HTTP/1.1 503 X\r\n%sContent-Length: 0\r\n\r\n", header)
		l.refusal.Store(&writtenRefusal{conn, text})
		_, _ = io.WriteString(conn, text)
		if l.early {
			time.Sleep(l.delay)
			_, _ = io.WriteString(conn, text)
		}
		return true
	}
	l.ran.Add(1)
	if !l.early && conn == refusal.conn {
		_, _ = io.WriteString(conn, refusal.text)
	}
	time.Sleep(20 * time.Millisecond)
	if !l.answers {
		time.Sleep(time.Second)
		return false
	}
	return echo(conn, request, body)
}

// TestRefusalWrittenOnceMore guards against callers who are told that a request has not run, or whose request runs at a
// second endpoint, because an endpoint writes the refusal of an earlier request once more on a kept connection; also where the
// earlier request had the same id.
func TestRefusalWrittenOnceMore(t *testing.T) {
	for _, handed := range []bool{false, true} {
		for _, c := range []struct {
			name string
			l    *lateRefusal
		}{
			{"before the answer", &lateRefusal{answers: true, id: true}},
			{"in place of an answer", &lateRefusal{id: true}},
			{"without an id", &lateRefusal{answers: true}},
			{"at once", &lateRefusal{answers: true, id: true, early: true}},
			{"soon", &lateRefusal{answers: true, id: true, early: true, delay: time.Millisecond}},
		} {
			for _, second := range []string{"another", "first"} {
				t.Run(fmt.Sprint(c.name, ", handed over ", handed, ", then ", second), func(t *testing.T) {
					t.Parallel()
					l := &lateRefusal{answers: c.l.answers, id: c.l.id, early: c.l.early, delay: c.l.delay}
					helper, address := startHelper(t, 1)
					helper.setAnswer(l.answer)
					h := helper
					if handed {
						h = startCutHost(t, address)
					}
					caller := h.dial(t)
					caller.send("POST", "/write/x", "first", "")
					if _, _, err := caller.readAnswer(); err != nil {
						t.Fatal(err)
					}
					time.Sleep(700 * time.Millisecond)
					caller = h.dial(t)
					caller.send("POST", "/write/x", second, "")
					response, _, err := caller.readAnswer()
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(30 * time.Millisecond)
					ran := l.ran.Load()
					if ran > 1 {
						t.Errorf("the request ran %d times", ran)
					}
					if ran > 0 && (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests) {
						t.Errorf("the request ran, its caller is told %d: that it has not", response.StatusCode)
					}
					if ran == 0 {
						t.Errorf("the endpoint did not get the request; the caller is told %d", response.StatusCode)
					}
				})
			}
		}
	}
}
