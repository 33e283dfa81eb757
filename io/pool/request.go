package pool

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementinelock/core"
)

// Request is a caller's request as it is forwarded.
type Request struct {
	ID     string
	Method string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Rest streams what follows Body; a request with a Rest is sent at most once.
	Rest io.Reader
	// Length is that of the whole body in bytes, or -1 when it is not known in advance.
	Length     int64
	Idempotent bool
}

// Target is the endpoint that a request is sent to.
type Target struct {
	ID      string
	Address string
	// Deadline is when the endpoint is to stop; it is sent to the endpoint as the time that remains.
	Deadline time.Time
	// Fresh requires a new connection.
	Fresh bool
	// Extra holds headers that replace the request's own of the same names, which are in canonical form.
	Extra map[string]string
	// Ready reports whether the endpoint still takes requests, over a connection that was opened at a time; it is called just before the
	// request is sent, and may be nil.
	Ready func(openedAt time.Time) bool
}

// Answer is an endpoint's answer to the request.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning when Rest is not nil.
	Body []byte
	// Rest streams the rest of a long body; it must be closed.
	Rest io.ReadCloser
	// Length is that of the whole body in bytes, or -1 when it is not known in advance.
	Length int64
	// Whole reports whether Body is complete.
	Whole bool
}

// Ending is how sending a request ended: with an answer, or why without one.
type Ending int

// The endings of a request.
const (
	// Answered means that there is an answer.
	Answered Ending = iota
	// NotSent means that no byte of the request was sent.
	NotSent
	// Broken means that the connection broke after bytes were sent; the request may have run.
	Broken
	// Spoiled means that the endpoint's bytes were not a valid, complete answer to the request.
	Spoiled
	// Silent means that there was no answer before the deadline.
	Silent
	// Cancelled means that the caller of Do cancelled the request.
	Cancelled
	// Withdrawn means that the endpoint was no longer ready when the request was about to be sent.
	Withdrawn
)

var endingNames = []string{"Answered", "NotSent", "Broken", "Spoiled", "Silent", "Cancelled", "Withdrawn"}

// String returns the ending's name.
func (e Ending) String() string {
	return endingNames[e]
}

// Result is the result of sending a request.
type Result struct {
	Ending Ending
	Answer *Answer
	Detail string
	// Refused reports whether the address refused the connection.
	Refused bool
	// Reset reports whether the connection ended before the answer.
	Reset bool
	// Reused reports whether the connection had carried another request before.
	Reused bool
	// OpenedAt is when the connection was opened that the request was sent on.
	OpenedAt time.Time
}

// Discard closes the rest of an answer that is not passed on.
func (r Result) Discard() {
	if r.Answer != nil && r.Answer.Rest != nil {
		// An error of Close could not be handled by anyone.
		_ = r.Answer.Rest.Close()
	}
}

// hopHeaders are the headers that apply to a single connection, and others that are not forwarded as they came.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// IsHopByHop reports whether a header, its name in canonical form, applies to a single connection.
func IsHopByHop(name string, header http.Header) bool {
	if hopHeaders[name] {
		return true
	}
	for _, list := range header["Connection"] {
		for _, each := range strings.Split(list, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(each)) == name {
				return true
			}
		}
	}
	return false
}

// head returns the request's header, with Body appended when the length of the whole body is known.
func (p *Pool) head(r *Request, t Target, now time.Time) []byte {
	var b bytes.Buffer
	b.Grow(headBytes + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == p.Dialect.Deadline || name == p.Dialect.ExpectInstance || IsHopByHop(name, r.Header) && name != p.Dialect.RequestID {
			continue
		}
		if _, replaced := t.Extra[name]; replaced {
			continue
		}
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	for name, value := range t.Extra {
		b.WriteString(name + ": " + value + "\r\n")
	}
	left := max(1, core.Millis(t.Deadline.Sub(now).Milliseconds()))
	b.WriteString(p.Dialect.Deadline + ": " + strconv.FormatInt(int64(left), 10) + "\r\n")
	if t.ID != "" {
		b.WriteString(p.Dialect.ExpectInstance + ": " + t.ID + "\r\n")
	}
	switch {
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	if r.Length >= 0 {
		b.Write(r.Body)
	}
	return b.Bytes()
}
