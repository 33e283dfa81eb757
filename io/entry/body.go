package entry

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"clementinelock/io/pool"
)

// errBodyAbandoned ends the transfer of a body whose request has its answer already.
var errBodyAbandoned = errors.New("request was answered before its body was read")

// bodyDeadline returns the time by which the caller must have sent the next part of a body.
func (c *conn) bodyDeadline() time.Time {
	return time.Now().Add(c.server.limits().IdleTimeout.Duration())
}

// bodyRemainder streams the part of a long request body that is not buffered, up to the limit. Only the connection's read loop reads
// from the caller, by transfer; the endpoint's side reads from a pipe.
type bodyRemainder struct {
	*io.PipeReader
	conn      *conn
	body      io.Reader
	pipe      *io.PipeWriter
	remaining int64
	// complete is set once the end of the body was read from the caller.
	complete atomic.Bool
	// awaited is set while the caller's next bytes are awaited, and failed once it has left or sent what is no body.
	awaited atomic.Bool
	failed  atomic.Bool
}

func newBodyRemainder(c *conn, body io.Reader, remaining int64) *bodyRemainder {
	r := &bodyRemainder{conn: c, body: body, remaining: remaining}
	r.PipeReader, r.pipe = io.Pipe()
	return r
}

// transfer passes the body on until its end, or until the request is answered.
func (r *bodyRemainder) transfer() {
	buffer := make([]byte, copyBufferBytes)
	for {
		r.conn.setReadDeadline(r.conn.bodyDeadline())
		r.awaited.Store(true)
		n, err := r.body.Read(buffer)
		r.awaited.Store(false)
		if r.remaining -= int64(n); r.remaining < 0 {
			err, n = fmt.Errorf("request body exceeds the limit"), 0
		}
		if errors.Is(err, io.EOF) {
			r.complete.Store(true)
		} else if err != nil {
			r.failed.Store(true)
		}
		if n > 0 {
			if _, failed := r.pipe.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			// An io.EOF ends the pipe as the end of the body.
			_ = r.pipe.CloseWithError(err)
			return
		}
	}
}

// abandon ends the transfer; it reports whether the end of the body was read.
func (r *bodyRemainder) abandon() (complete bool) {
	complete = r.complete.Load()
	_ = r.CloseWithError(errBodyAbandoned)
	return complete
}

// isCauseOf reports whether an attempt ended without an answer because the caller did not send the rest of the body, which tells
// nothing about the endpoint.
func (r *bodyRemainder) isCauseOf(ending pool.Ending) bool {
	return ending == pool.Silent && r.awaited.Load() || ending == pool.Broken && r.failed.Load()
}
