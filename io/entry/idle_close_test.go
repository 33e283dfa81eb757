package entry_test

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
)

// TestEndpointThatClosesNewConnections guards against a host that opens connections to an endpoint without end, as each that the
// endpoint closes leads to the next one.
func TestEndpointThatClosesNewConnections(t *testing.T) {
	h := startHost(t, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			time.AfterFunc(5*time.Millisecond, func() { _ = c.Close() })
		}
	}()
	h.change(func(view *fleet.View, _ *routes.Table, _ *pick.Table) {
		view.Endpoints[0].Address = listener.Addr().String()
	})
	h.server.RecordIdleClosed(listener.Addr().String(), false)
	time.Sleep(time.Second)
	if n := accepted.Load(); n > 5 {
		t.Errorf("%d connections were opened in 1 s without any request", n)
	}
}

// TestEndpointWithShortIdleTimeout guards against a host that opens a connection to an idle endpoint each time the endpoint has
// closed an idle one after its timeout, though no request comes.
func TestEndpointWithShortIdleTimeout(t *testing.T) {
	const idleTimeout = 100 * time.Millisecond
	h := startHost(t, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if !echo(c, request, nil) {
						return
					}
				}
			}()
		}
	}()
	h.change(func(view *fleet.View, _ *routes.Table, _ *pick.Table) {
		view.Endpoints[0].Address = listener.Addr().String()
	})
	caller := h.dial(t)
	caller.send("GET", "/read/x", "r-1", "")
	caller.expect("r-1", http.StatusOK, "GET /read/x ")
	time.Sleep(10 * idleTimeout)
	if n := accepted.Load(); n > 3 {
		t.Errorf("%d connections were opened for one request and %s without any", n, 10*idleTimeout)
	}
}
