package entry

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"clementinelock/core"
	"clementinelock/io/pool"
	"clementinelock/io/proto"
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
		conn: c, path: request.URL.EscapedPath(), arrived: c.server.Now(), closes: request.Close, reply: make(chan *reply, 1),
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
		x.object = cookie.Value
	}
	if left, err := strconv.ParseInt(request.Header.Get(d.Deadline), 10, 64); err == nil && left > 0 {
		x.timeout = min(core.Millis(left), maxRequestTimeout)
	}
	accepted, refused := c.readBody(x, request, maxBody)
	if accepted != nil {
		accepted.digest = c.digestOf(accepted)
	}
	return accepted, refused
}

// readBody buffers a short body whole and leaves the rest of a long one to be streamed.
func (c *conn) readBody(x *exchange, request *http.Request, maxBody int64) (accepted, refused *exchange) {
	if request.Body == nil || request.Body == http.NoBody {
		x.request.Length = 0
		return x, nil
	}
	_ = c.conn.SetReadDeadline(c.bodyDeadline())
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBufferedBody))
	if err != nil {
		return nil, c.rejectUnreadable(err)
	}
	x.request.Body = body
	if len(body) < maxBufferedBody {
		x.request.Length = int64(len(body))
		return x, nil
	}
	x.bodyRead = make(chan struct{})
	x.rest = newBodyRemainder(c, request.Body, maxBody-int64(len(body)))
	x.request.Rest = x.rest
	return x, nil
}

// hostOf returns the host name without its port, in lower case, as routes are matched by it.
func hostOf(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
