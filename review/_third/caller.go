package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a caller got for one request.
type answer struct {
	id     string
	status int
	// whole is set if the answer has come to its end in good order, ended if the connection or the answer has come to an end at all.
	whole, ended bool
	body         []byte
	stamp        string
	took         time.Duration
}

// newID returns the id of a request.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// call sends one request on a connection of its own and waits for its answer for the time that is given, which it also names as the
// deadline; then it leaves.
func (f *fleet) call(p *process, method, path string, body []byte, patience time.Duration) answer {
	return f.callWithin(p, method, path, body, patience, patience)
}

// callWithin names one time as the deadline, and waits for another one.
func (f *fleet) callWithin(p *process, method, path string, body []byte, deadline, patience time.Duration) (a answer) {
	began := time.Now()
	a.id = newID()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, callersPort), time.Second)
	if err != nil {
		a.ended = true
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(patience))
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", method, path, f.host, a.id, deadline.Milliseconds(), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.ended = !isTimeout(err)
		return a
	}
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	a.body, err = io.ReadAll(response.Body)
	a.whole, a.ended = err == nil, err == nil || !isTimeout(err)
	return a
}

func isTimeout(err error) bool {
	network, ok := err.(net.Error)
	return ok && network.Timeout()
}
