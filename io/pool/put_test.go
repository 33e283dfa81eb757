package pool

import (
	"net"
	"testing"
)

// TestClosedConnectionIsNotPut guards against a connection that has ended being put among the idle ones, where it counts as proof for
// up to 8 s that the endpoint's process goes on.
func TestClosedConnectionIsNotPut(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	p := &Pool{open: 1}
	c := newConnection(p, "x", a)
	c.acquire()
	// The order that unuse and close may take: unuse has found the connection open, close ends it, then unuse puts it.
	c.close()
	p.put(c)
	if p.HasIdle("x") {
		t.Error("a closed connection counts as idle")
	}
}
