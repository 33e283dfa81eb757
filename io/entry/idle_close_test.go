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

// countConnections puts an endpoint that serves each connection by itself in place of the host's only one; it returns the endpoint's
// address and the number of connections that were opened to it.
func (h *host) countConnections(t *testing.T, serve func(conn net.Conn)) (address string, accepted *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go serve(conn)
		}
	}()
	address = listener.Addr().String()
	h.change(func(view *fleet.View, _ *routes.Table, _ *pick.Table) { view.Endpoints[0].Address = address })
	return address, accepted
}

// TestEndpointThatClosesNewConnections guards against a host that opens connections to an endpoint without end, as each that the
// endpoint closes leads to the next one.
func TestEndpointThatClosesNewConnections(t *testing.T) {
	h := startHost(t, 1)
	address, accepted := h.countConnections(t, func(conn net.Conn) {
		time.Sleep(5 * time.Millisecond)
		_ = conn.Close()
	})
	h.server.RecordIdleClosed(address, false)
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
	_, accepted := h.countConnections(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
			request, err := http.ReadRequest(reader)
			if err != nil || !echo(conn, request, nil) {
				return
			}
		}
	})
	caller := h.dial(t)
	caller.send("GET", "/read/x", "r-1", "")
	caller.expect("r-1", http.StatusOK, "GET /read/x ")
	time.Sleep(10 * idleTimeout)
	if n := accepted.Load(); n > 3 {
		t.Errorf("%d connections were opened for one request and %s without any", n, 10*idleTimeout)
	}
}
