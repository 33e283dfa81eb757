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

// Request is a caller's request as it is sent on.
type Request struct {
	ID     string
	Method string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Rest streams what follows after Body; a request with a Rest is sent once.
	Rest io.Reader
	// Length is that of the whole body, or -1 when it is not known before its end.
	Length     int64
	Idempotent bool
}

// Target is one endpoint, and how it is to be used.
type Target struct {
	ID      string
	Address string
	// Deadline is when the endpoint is to stop, told to it as what is left.
	Deadline time.Time
}

// Answer is an endpoint's answer to the request that was sent.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its begin when Rest is not nil.
	Body []byte
	// Rest streams the rest of a long body; it must be closed.
	Rest   io.ReadCloser
	Length int64
	// Whole tells that Body is complete.
	Whole bool
}

// Ending tells what is known of a sending that brought no answer.
type Ending int

// The endings of a sending.
const (
	// Answered means that there is an answer.
	Answered Ending = iota
	// NotSent means that no byte of the request has left.
	NotSent
	// Broken means that the connection broke after bytes had left; the request may have run.
	Broken
	// Spoiled means that the endpoint's bytes were no whole answer.
	Spoiled
	// Silent means that the time given was over without an answer.
	Silent
	// Cancelled means that the sender gave up.
	Cancelled
)

var endingNames = []string{"Answered", "NotSent", "Broken", "Spoiled", "Silent", "Cancelled"}

// String writes the ending's name.
func (e Ending) String() string {
	return endingNames[e]
}

// Result is the end of a sending.
type Result struct {
	Ending Ending
	Answer *Answer
	Detail string
	// Reused tells that the connection had carried another request before.
	Reused bool
}

// hopHeaders are the headers that concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// IsHopByHop tells whether a header, in canonical form, concerns one connection only.
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

// head writes the request's head, and the body too when it is at hand whole.
func (p *Pool) head(r *Request, t Target, now time.Time) []byte {
	var b bytes.Buffer
	b.Grow(headBytes + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == p.Dialect.Deadline || name == p.Dialect.ExpectInstance || IsHopByHop(name, r.Header) {
			continue
		}
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
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
