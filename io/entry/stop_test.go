package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// sender is a caller that sends one request after another, over a kept connection where the host allows it.
type sender struct {
	address string
	name    int
	conn    net.Conn
	reader  *bufio.Reader
	// unanswered holds the requests that were sent whole and got no whole answer.
	unanswered []string
}

// sendUntil sends requests until the host takes no more connections.
func (s *sender) sendUntil(done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		if s.conn == nil {
			conn, err := net.DialTimeout("tcp", s.address, time.Second)
			if err != nil {
				return
			}
			s.conn, s.reader = conn, bufio.NewReader(conn)
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		}
		id := fmt.Sprintf("s%d-%d", s.name, i)
		if !s.exchange(id) {
			_ = s.conn.Close()
			s.conn = nil
		}
		time.Sleep(time.Duration(i%3) * time.Millisecond)
	}
}

// exchange sends a request and reads its answer; it returns false when the connection can't be used any more.
func (s *sender) exchange(id string) bool {
	if _, err := fmt.Fprintf(s.conn, "GET /read/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nDeadline: 2000\r\n\r\n", id); err != nil {
		return false
	}
	response, err := http.ReadResponse(s.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		s.unanswered = append(s.unanswered, id)
		return false
	}
	return !response.Close
}

// TestStopUnderLoad guards against a planned stop that cuts off requests which the host has read: the connections of
// requests that arrive while idle connections are closed, and answers that are still on their way when the host ends.
func TestStopUnderLoad(t *testing.T) {
	const rounds, senders = 12, 30
	for range rounds {
		h := startHost(t, 2)
		h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
			time.Sleep(time.Millisecond)
			return echo(conn, request, body)
		})
		done := make(chan struct{})
		var all []*sender
		var wait sync.WaitGroup
		for i := range senders {
			s := &sender{address: h.address, name: i}
			all = append(all, s)
			wait.Add(1)
			go func() {
				defer wait.Done()
				s.sendUntil(done)
			}()
		}
		time.Sleep(50 * time.Millisecond)
		h.server.BeginShutdown()
		time.Sleep(10 * time.Millisecond)
		left := h.server.FinishShutdown(2 * time.Second)
		h.server.End()
		close(done)
		wait.Wait()
		if left != 0 {
			t.Errorf("%d requests are left at the end of the stop", left)
		}
		h.mutex.Lock()
		read := map[string]int{}
		for _, record := range h.records {
			read[record.RequestID] = record.Status
		}
		h.mutex.Unlock()
		for _, s := range all {
			for _, id := range s.unanswered {
				if status, known := read[id]; known {
					t.Errorf("request %s was read, and its answer %d did not arrive", id, status)
				}
			}
		}
	}
}

// TestPipelinedRequestsAtAStop guards against a planned stop that closes a connection with the first answer while
// endpoints run the requests behind it.
func TestPipelinedRequestsAtAStop(t *testing.T) {
	h := startHost(t, 1)
	h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		time.Sleep(100 * time.Millisecond)
		return echo(conn, request, body)
	})
	c := h.dial(t)
	for i := range 3 {
		c.send("GET", fmt.Sprint("/read/", i), fmt.Sprint("p", i), "")
	}
	for h.runs() < 3 {
		time.Sleep(time.Millisecond)
	}
	h.server.BeginShutdown()
	for i := range 3 {
		response := c.expect(fmt.Sprint("p", i), http.StatusOK, fmt.Sprintf("GET /read/%d ", i))
		if response.Close != (i == 2) {
			t.Errorf("answer %d closes the connection: %t", i, response.Close)
		}
	}
}
