package pool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinelock/io/proto"
)

// TestReuseAfterTheHeaderChanged guards against a pool that reads the header of an answer after it was handed over, when its receiver may
// have changed it: the request is still being written then, and the connection is released once it is.
func TestReuseAfterTheHeaderChanged(t *testing.T) {
	for _, field := range []string{"Leaving: 1", "Keep-Alive: timeout=0"} {
		t.Run(field, func(t *testing.T) {
			address := startUploadEndpoint(t, field, false)
			p := newUploadPool()
			body, rest := io.Pipe()
			result := p.Do(t.Context(), upload(body), Target{Address: address, Deadline: time.Now().Add(5 * time.Second)})
			if result.Answer == nil {
				t.Fatalf("the request ends %s, %s", result.Ending, result.Detail)
			}
			clear(result.Answer.Header)
			_ = rest.Close()
			if becomesReusable(p, address) {
				t.Errorf("the connection may be reused after an answer with %s", field)
			}
		})
	}
}

// TestHeaderBelongsToItsReceiver guards against a pool that reads the header of an answer to an upload while its receiver changes it, which
// ends the process.
func TestHeaderBelongsToItsReceiver(t *testing.T) {
	const senders, uploads = 8, 200
	address := startUploadEndpoint(t, "Connection: close", true)
	p := newUploadPool()
	var group sync.WaitGroup
	for range senders {
		group.Go(func() {
			for range uploads {
				result := p.Do(t.Context(), upload(strings.NewReader("body")), Target{Address: address, Deadline: time.Now().Add(5 * time.Second)})
				if result.Answer == nil {
					t.Errorf("the request ends %s, %s", result.Ending, result.Detail)
					return
				}
				for i := range 100 {
					result.Answer.Header[fmt.Sprint(i)] = nil
				}
			}
		})
	}
	group.Wait()
}

func newUploadPool() *Pool {
	return &Pool{Dialect: proto.Dialect{RequestID: "Id", Deadline: "Deadline", Leaving: "Leaving"}}
}

func upload(body io.Reader) *Request {
	return &Request{ID: "one", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"one"}}, Rest: body, Length: -1}
}

// startUploadEndpoint starts an endpoint that answers requests with a header field, before or after it has read their bodies.
func startUploadEndpoint(t *testing.T, field string, readsFirst bool) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if readsFirst {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\n"+field+"\r\nContent-Length: 4\r\n\r\nbody")
		_, _ = io.Copy(io.Discard, conn)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// becomesReusable reports whether the pool's only connection, in use at first, may carry further requests once it is not.
func becomesReusable(p *Pool, address string) bool {
	for {
		p.mutex.Lock()
		open := p.open
		p.mutex.Unlock()
		if p.HasIdle(address) || open == 0 {
			return open > 0 && len(p.expired(time.Now())) == 0
		}
		time.Sleep(time.Millisecond)
	}
}
