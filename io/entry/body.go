package entry

import (
	"fmt"
	"io"
	"time"
)

// bodyDeadline returns the time by which the caller must have sent the next part of a body.
func (c *conn) bodyDeadline() time.Time {
	return time.Now().Add(c.server.limits().IdleTimeout.Duration())
}

// bodyRemainder streams the part of a long request body that is not buffered, up to the limit.
type bodyRemainder struct {
	conn      *conn
	body      io.Reader
	remaining int64
	complete  bool
}

// Read reads the next part of the body; it returns an error when the body exceeds the limit.
func (r *bodyRemainder) Read(p []byte) (int, error) {
	_ = r.conn.conn.SetReadDeadline(r.conn.bodyDeadline())
	n, err := r.body.Read(p)
	r.remaining -= int64(n)
	if r.remaining < 0 {
		return 0, fmt.Errorf("request body exceeds the limit")
	}
	r.complete = err == io.EOF
	return n, err
}
