package stand

import (
	"net"
	"time"
)

// LateReadPause is longer than a writer takes to deal with a failed write.
const LateReadPause = 50 * time.Millisecond

// LateReadConn lets what the peer has sent be read only LateReadPause after a write has failed.
type LateReadConn struct {
	*net.TCPConn
	failed chan struct{}
}

// NewLateReadConn returns a LateReadConn.
func NewLateReadConn(conn *net.TCPConn) *LateReadConn {
	return &LateReadConn{TCPConn: conn, failed: make(chan struct{})}
}

// Read reads from the connection once a write has failed.
func (c *LateReadConn) Read(p []byte) (int, error) {
	<-c.failed
	time.Sleep(LateReadPause)
	return c.TCPConn.Read(p)
}

// Write writes to the connection.
func (c *LateReadConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
	}
	return n, err
}
