package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementinelock/core"
	"clementinelock/io/pool"
	"clementinelock/io/proto"

	"github.com/cespare/xxhash/v2"
)

// accept converts a parsed request to an exchange; it refuses a body that exceeds maxBody bytes.
func (c *conn) accept(request *http.Request, maxBody int64) (x, refused *exchange) {
	if request.ContentLength > maxBody {
		return nil, refusedExchange(http.StatusRequestEntityTooLarge)
	}
	if request.Header.Get("Expect") != "" && c.open.Load() == 0 {
		// A failed write shows up as an error of the next read.
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	d := c.server.Dialect
	x = &exchange{
		conn: c, held: exchangeBytes + parsedBytes(request.Header), path: request.URL.EscapedPath(), arrived: c.server.Now(), closes: request.Close, reply: make(chan *reply, 1),
		precedingWritten: make(chan struct{}),
		request: &pool.Request{
			ID: request.Header.Get(d.RequestID), Method: request.Method, Target: request.RequestURI, Host: request.Host,
			Header: request.Header, Length: request.ContentLength,
		},
	}
	if c.handed {
		x.handover = parseHandover(request.Header.Get(proto.Handover))
		request.Header.Del(proto.Handover)
	}
	if cookie, err := request.Cookie(d.ObjectCookie); err == nil {
		x.object = objectOf(cookie.Value)
	}
	if left, err := strconv.ParseInt(request.Header.Get(d.Deadline), 10, 64); err == nil && left > 0 {
		x.timeout = min(core.Millis(left), maxRequestTimeout)
	}
	accepted, refused := c.readBody(x, request, maxBody)
	if accepted == nil {
		return nil, refused
	}
	if err := c.holdExpected(accepted); err != nil {
		return nil, c.rejectUnreadable(err)
	}
	accepted.digest = c.digestOf(accepted)
	return accepted, nil
}

// readBody buffers a short body whole and leaves the rest of a long one to be streamed.
func (c *conn) readBody(x *exchange, request *http.Request, maxBody int64) (accepted, refused *exchange) {
	if request.Body == nil || request.Body == http.NoBody {
		x.request.Length = 0
		return x, nil
	}
	c.readTimeout = c.server.limits().IdleTimeout.Duration()
	c.setReadDeadline(time.Now().Add(c.readTimeout))
	body, err := c.readBuffered(x, request.Body)
	if err != nil {
		return nil, c.rejectUnreadable(err)
	}
	x.request.Body = body
	if len(body) < maxBufferedBody {
		x.request.Length = int64(len(body))
		return x, nil
	}
	if err := c.hold(x, copyBufferBytes); err != nil {
		return nil, c.rejectUnreadable(err)
	}
	x.bodyRead = make(chan struct{})
	x.rest = newBodyRemainder(c, request.Body, maxBody-int64(len(body)))
	x.request.Rest = x.rest
	return x, nil
}

// readBuffered reads a body of up to maxBufferedBody bytes, or the beginning of a longer one. Memory is reserved for what has
// arrived, not for the length that the caller names.
func (c *conn) readBuffered(x *exchange, body io.Reader) ([]byte, error) {
	buffer := make([]byte, 0, firstBodyBytes)
	for len(buffer) < maxBufferedBody {
		if size := cap(buffer); len(buffer) == size {
			larger := min(2*size, maxBufferedBody)
			if err := c.hold(x, int64(larger-size)); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, larger), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

// objectOf returns the name by which an object is remembered: the value of its cookie, or a hash of a long one, since callers
// choose it and many are kept for each endpoint.
func objectOf(value string) string {
	if len(value) <= maxObjectBytes {
		return value
	}
	return strconv.FormatUint(xxhash.Sum64String(value), 16)
}

// hostOf returns the host name without its port, in lower case, as routes are matched by it.
func hostOf(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
