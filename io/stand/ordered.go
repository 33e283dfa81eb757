package stand

import (
	"net"
)

// OrderedConn fixes which goroutine a connection's failure is reported to: the one that writes, whose call returns only once a read has
// reached the end of the connection.
type OrderedConn struct {
	*net.TCPConn
	// Received is closed when the bytes that the peer sends before it ends the connection have been read.
	Received  chan struct{}
	remaining int
	failed    chan struct{}
	ended     chan struct{}
}

// NewOrderedConn returns an OrderedConn whose peer sends size bytes before it ends the connection.
func NewOrderedConn(conn *net.TCPConn, size int) *OrderedConn {
	return &OrderedConn{TCPConn: conn, remaining: size, Received: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{})}
}

// Read reads from the connection. At its end it waits until a write has failed.
func (c *OrderedConn) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		<-c.failed
	}
	n, err := c.TCPConn.Read(p)
	if c.remaining -= n; c.remaining == 0 && n > 0 {
		close(c.Received)
	}
	if err != nil {
		close(c.ended)
	}
	return n, err
}

// Write writes to the connection. If that fails, it waits until a read has failed too.
func (c *OrderedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.ended
	}
	return n, err
}
