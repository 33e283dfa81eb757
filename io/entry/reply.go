package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"clementinelock/core"
	"clementinelock/io/pool"
	"clementinelock/io/proto"
)

// reply is the response to a caller.
type reply struct {
	status     int
	retryAfter core.Millis
	// answer is an endpoint's answer, or nil for a response of this host's own.
	answer *pool.Answer
	// endpoint is the one that answered.
	endpoint string
	// kind and ran are those of a refusal.
	kind  core.Kind
	ran   core.Ran
	close bool
	// reached is the number of attempts that endpoints may have run, for the host that handed the request over.
	reached int
}

const copyBufferBytes = 16 << 10

// send writes a reply; an error, such as a streamed answer that is cut short, ends the connection.
func (c *conn) send(x *exchange, r *reply, last bool) error {
	if c.ctx.Err() != nil {
		discard(r)
		return c.ctx.Err()
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.beginWrite()
	defer c.writingSince.Store(0)
	w := c.writer
	text := http.StatusText(r.status)
	if text == "" {
		text = "Status"
	}
	write(w, "HTTP/1.1 ", strconv.Itoa(r.status), " ", text, "\r\n")
	if last {
		write(w, "Connection: close\r\n")
	}
	if r.answer == nil {
		c.sendOwn(x, r)
	} else if err := c.sendAnswer(x, r); err != nil {
		return err
	}
	return w.Flush()
}

func discard(r *reply) {
	pool.Result{Answer: r.answer}.Discard()
}

// write appends texts; the writer keeps the first error until Flush.
func write(w io.StringWriter, texts ...string) {
	for _, text := range texts {
		_, _ = w.WriteString(text)
	}
}

// sendOwn writes the header of a response of this host's own, which has no body.
func (c *conn) sendOwn(x *exchange, r *reply) {
	if x.request.ID != "" {
		write(c.writer, c.server.Dialect.RequestID, ": ", x.request.ID, "\r\n")
	}
	if c.handed {
		write(c.writer, proto.Kind, ": ", string(r.kind), "\r\n", proto.Ran, ": ", string(r.ran), "\r\n", proto.Reached, ": ", strconv.Itoa(r.reached), "\r\n")
	}
	if r.retryAfter > 0 {
		write(c.writer, "Retry-After: ", strconv.FormatFloat(float64(r.retryAfter)/float64(core.Second), 'f', -1, 64), "\r\n")
	}
	if r.status == http.StatusUnauthorized {
		write(c.writer, "WWW-Authenticate: Bearer\r\n")
	}
	write(c.writer, "Content-Length: 0\r\n\r\n")
}

func (c *conn) sendAnswer(x *exchange, r *reply) error {
	w, a := c.writer, r.answer
	if c.handed {
		write(w, proto.Endpoint, ": ", r.endpoint, "\r\n", proto.Reached, ": ", strconv.Itoa(r.reached), "\r\n")
	}
	for name, values := range a.Header {
		d := c.server.Dialect
		if pool.IsHopByHop(name, a.Header) && name != d.RequestID && name != d.Stamp || name == d.Load || c.handed && (name == proto.Endpoint || name == proto.Reached) {
			continue
		}
		for _, value := range values {
			write(w, name, ": ", value, "\r\n")
		}
	}
	if a.Rest != nil {
		return c.sendStream(a)
	}
	switch {
	case x.request.Method == http.MethodHead:
		if a.Length >= 0 {
			write(w, "Content-Length: ", strconv.FormatInt(a.Length, 10), "\r\n")
		}
		write(w, "\r\n")
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		write(w, "\r\n")
	default:
		write(w, "Content-Length: ", strconv.Itoa(len(a.Body)), "\r\n\r\n")
		_, _ = w.Write(a.Body)
	}
	return nil
}

// sendStream forwards a long body; an error closes the connection, so that a truncated body never looks complete.
func (c *conn) sendStream(a *pool.Answer) error {
	defer func() { _ = a.Rest.Close() }()
	w := c.writer
	chunked := a.Length < 0
	if chunked {
		write(w, "Transfer-Encoding: chunked\r\n\r\n")
	} else {
		write(w, "Content-Length: ", strconv.FormatInt(a.Length, 10), "\r\n\r\n")
	}
	part := a.Body
	buffer := make([]byte, copyBufferBytes)
	for {
		writePart(w, part, chunked)
		if err := w.Flush(); err != nil {
			return err
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		// The time in which the endpoint sends nothing is not the caller's.
		c.writingSince.Store(0)
		n, err := a.Rest.Read(buffer)
		c.beginWrite()
		part = buffer[:n]
		if errors.Is(err, io.EOF) {
			writePart(w, part, chunked)
			break
		}
		if err != nil {
			_ = c.conn.Close()
			return err
		}
	}
	if chunked {
		write(w, "0\r\n\r\n")
	}
	return nil
}

// partWriter is the destination of the parts of a body.
type partWriter interface {
	io.Writer
	io.StringWriter
}

func writePart(w partWriter, part []byte, chunked bool) {
	if len(part) == 0 {
		return
	}
	if chunked {
		write(w, strconv.FormatInt(int64(len(part)), 16), "\r\n")
	}
	_, _ = w.Write(part)
	if chunked {
		write(w, "\r\n")
	}
}
