package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// endpoint is a stand-in of an endpoint. It serves one request at a time on a connection.
type endpoint struct {
	fleet                      *fleet
	id, service, address, zone string
	slots                      int
	// answer writes the answer to a request that has arrived whole; it returns false if the connection ends.
	answer  func(e *endpoint, c net.Conn, request *http.Request, body []byte) bool
	link    *link
	running atomic.Int64
}

// addEndpoint starts an endpoint, and the link by which hosts reach it.
func (f *fleet) addEndpoint(service string, zone, number, slots int, answer func(e *endpoint, c net.Conn, request *http.Request, body []byte) bool) *endpoint {
	e := &endpoint{
		fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zones[zone][0], slots: slots,
		address: fmt.Sprintf("%s:%d", f.address(2, number), endpointPort), answer: answer,
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.address(3, number), endpointPort))
	must(err)
	e.link = newLink(e.address, listener.Addr().String())
	f.endpoints = append(f.endpoints, e)
	f.closers = append(f.closers, func() { _ = listener.Close() }, e.link.close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !e.handle(c, request, body) {
			return
		}
	}
}

// handle answers health checks and requests for other endpoints, rejects requests beyond the slots and the queue, and runs the others.
func (e *endpoint) handle(c net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	if request.URL.Path == "/health" {
		return send(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", e.id, e.running.Load(), e.slots))
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		return send(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	}
	if e.running.Load() >= int64(e.slots) {
		return send(c, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id))
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	return e.answer(e, c, request, body)
}

// send writes a text; it returns false if the connection has ended.
func send(c io.Writer, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
