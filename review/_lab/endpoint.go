package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in of an endpoint: it processes slots requests at once and rejects others.
type endpoint struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	address  string
	slots    int
	unlisted bool
	// work is how long a request takes, size the length of its answer; the answer is sent over the last half of the work.
	work  time.Duration
	size  int
	mutex sync.Mutex
	// gate is set while the endpoint is dark, and closed when it is back; process counts its processes.
	gate    chan struct{}
	process int
	running atomic.Int64
	runs    atomic.Int64
	// onRun is called when a request begins to run; it may be nil.
	onRun func(e *endpoint, id string, body []byte)
}

// addEndpoint starts an endpoint at an address of the run.
func (f *fleet) addEndpoint(number int, service string, slots int, work time.Duration, size int) (*endpoint, error) {
	zone := zones[number%len(zones)][0]
	e := &endpoint{fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone, slots: slots, work: work, size: size}
	e.address = fmt.Sprintf("%s:%d", f.address(150+number), endpointPort)
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	f.mutex.Lock()
	f.endpoints = append(f.endpoints, e)
	f.mutex.Unlock()
	return e, nil
}

// goDark makes the endpoint silent for a time. Its connections stay open, and nobody reads or writes on them any more; connections
// that are opened meanwhile get nothing. The endpoint that is back knows none of them.
func (e *endpoint) goDark(length time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	gate := make(chan struct{})
	e.gate = gate
	e.process++
	e.fleet.record.logf("endpoint %s falls silent with %d requests", e.id, e.running.Swap(0))
	time.AfterFunc(length, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.gate = nil
		close(gate)
		e.fleet.record.logf("endpoint %s is back", e.id)
	})
}

// current returns the number of the endpoint's process, once it is not dark.
func (e *endpoint) current() int {
	for {
		e.mutex.Lock()
		gate, process := e.gate, e.process
		e.mutex.Unlock()
		if gate == nil {
			return process
		}
		<-gate
	}
}

// awaitLight blocks while the endpoint is dark, and for good on a connection to a former process.
func (e *endpoint) awaitLight(process int) {
	if e.current() != process {
		select {}
	}
}

// serve answers the requests of one connection, one at a time.
func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	process := e.current()
	for {
		e.awaitLight(process)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e.awaitLight(process)
		if !e.answer(c, process, request, body) {
			return
		}
	}
}

// head returns the head of an answer.
func (e *endpoint) head(request *http.Request, status int, length int, more string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\nX-Server-Load: %d,0,%d\r\n%s", status, http.StatusText(status), length, e.running.Load(), e.slots, more)
	if id := request.Header.Get("X-Request-Id"); id != "" {
		text += "X-Request-Id: " + id + "\r\n"
	}
	return text + "\r\n"
}

func (e *endpoint) answer(c net.Conn, process int, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		_, err := io.WriteString(c, e.head(request, http.StatusMisdirectedRequest, 0, "X-Not-Executed: 1\r\n"))
		return err == nil
	}
	if request.URL.Path == "/health" {
		_, err := io.WriteString(c, e.head(request, http.StatusOK, 0, "X-Instance-Id: "+e.id+"\r\n"))
		return err == nil
	}
	if id == "" {
		_, err := io.WriteString(c, e.head(request, http.StatusBadRequest, 0, "X-Not-Executed: 1\r\n"))
		return err == nil
	}
	if e.running.Add(1) > int64(e.slots) {
		e.running.Add(-1)
		_, err := io.WriteString(c, e.head(request, http.StatusServiceUnavailable, 0, "X-Not-Executed: 1\r\n"))
		return err == nil
	}
	defer func() {
		if e.current() == process {
			e.running.Add(-1)
		}
	}()
	e.runs.Add(1)
	e.fleet.record.logf("endpoint %s runs %s %s %s", e.id, id, request.Method, request.URL.Path)
	if e.onRun != nil {
		e.onRun(e, id, body)
	}
	left, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	if err != nil {
		left = 60_000
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(left)*time.Millisecond)
	defer cancel()
	return e.send(ctx, c, process, request, id)
}

// send works and sends the answer in parts; at the deadline the endpoint stops.
func (e *endpoint) send(ctx context.Context, c net.Conn, process int, request *http.Request, id string) bool {
	const parts = 20
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
		case <-ctx.Done():
			return false
		}
		e.awaitLight(process)
		return true
	}
	if !wait(e.work / 2) {
		_, err := io.WriteString(c, e.head(request, http.StatusGatewayTimeout, 0, "X-Server-Stamp: "+e.id+"."+id+"\r\n"))
		return err == nil
	}
	if _, err := io.WriteString(c, e.head(request, http.StatusOK, e.size, "X-Server-Stamp: "+e.id+"."+id+"\r\n")); err != nil {
		return false
	}
	part := make([]byte, e.size/parts)
	for i := range part {
		part[i] = 'a' + byte(i%26)
	}
	for sent := 0; sent < e.size; {
		if !wait(e.work / 2 / parts) {
			// The endpoint stops work at its deadline and closes the connection.
			return false
		}
		n, err := c.Write(part[:min(len(part), e.size-sent)])
		sent += n
		if err != nil {
			return false
		}
	}
	e.fleet.record.logf("endpoint %s has answered %s whole", e.id, id)
	return true
}
