package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/crash"
	"clementinelock/io/fetch"
	"clementinelock/io/proto"

	"github.com/cespare/xxhash/v2"
)

// maxReplayBytes is the part of a body that is read ahead; a shorter body can be sent again.
const maxReplayBytes = 64 << 10

// Delivery is the outcome of a request; one of Refusal, Stored and Attempt is set.
type Delivery struct {
	Refusal *core.Refusal
	Stored  *core.StoredAnswer
	// Attempt holds an answer that is to be streamed with Attempt.Copy, to which Capture is passed. Finish must be called
	// with the end of the copy and the number of bits that were transferred.
	Attempt *fetch.Attempt
	Capture int64
	Finish  func(end call.End, bits int64)
}

// Exchange is one caller's request in progress.
type Exchange struct {
	Arrival  call.Arrival
	Request  fetch.Request
	delivery chan Delivery
	body     *guardedBody
}

// Deliver passes the outcome to the request's handler; it must be called once only.
func (e *Exchange) Deliver(d Delivery) {
	e.delivery <- d
}

// idempotentMethods holds the methods whose requests may be repeated.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true, http.MethodTrace: true,
}

// newExchange reads a request's head and the first part of its body.
func newExchange(id uint64, service, rest string, r *http.Request) (*Exchange, error) {
	deadline, err := proto.ParseDeadline(r.Header.Get(proto.Deadline))
	if err != nil {
		return nil, err
	}
	attempt, err := parseAttempt(r.Header.Get(proto.Attempt))
	if err != nil {
		return nil, err
	}
	e := &Exchange{delivery: make(chan Delivery, 1)}
	prefix, complete, err := readAhead(r)
	if err != nil {
		return nil, err
	}
	e.Request = fetch.Request{
		Method: r.Method, Target: requestTarget(rest, r), Host: r.Host, Header: r.Header, Trailer: r.Trailer,
		Prefix: prefix, Length: int64(len(prefix)), Idempotent: idempotentMethods[r.Method],
	}
	if !complete {
		e.body = &guardedBody{reader: r.Body}
		e.Request.Rest, e.Request.Length = e.body, r.ContentLength
	}
	e.Arrival = call.Arrival{
		ID: id, Service: service, Idempotent: e.Request.Idempotent, Remaining: deadline,
		Attempt: attempt, Replayable: complete,
	}
	e.setKey(service, r)
	e.Arrival.Content = e.contentDigest(service, r)
	return e, nil
}

func (e *Exchange) setKey(service string, r *http.Request) {
	key := r.Header.Get(proto.IdempotencyKey)
	if key == "" || e.Arrival.Idempotent {
		return
	}
	// Callers with different credentials may use the same key for different requests.
	scope := xxhash.Sum64String(r.Header.Get("Authorization"))
	e.Arrival.KeyText = key
	e.Arrival.Key = service + " " + strconv.FormatUint(scope, 16) + " " + key
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + e.Request.Target + "\n")
	_, _ = digest.WriteString(strconv.FormatInt(e.Request.Length, 10) + "\n")
	_, _ = digest.Write(e.Request.Prefix)
	e.Arrival.Digest = digest.Sum64()
}

// contentDigest returns the digest by which repetitions of the request are recognised. Of a long body it covers the length
// and the part that was read ahead; a request whose body was not read ahead at all has no digest. The Host header is not
// part of it, since it often names the entry host.
func (e *Exchange) contentDigest(service string, r *http.Request) crash.Digest {
	if e.Request.Rest != nil && len(e.Request.Prefix) == 0 {
		return crash.Digest{}
	}
	return crash.NewDigest(
		[]byte(r.Header.Get("Authorization")), []byte(service), []byte(r.Method), []byte(e.Request.Target),
		[]byte(strconv.FormatInt(e.Request.Length, 10)), e.Request.Prefix,
	)
}

func parseAttempt(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	attempt, err := strconv.ParseUint(text, 10, 32)
	if err != nil || attempt == 0 {
		return 0, errors.New("header " + proto.Attempt + ": " + strconv.Quote(text) + " is not a number from 1 up")
	}
	return attempt, nil
}

func requestTarget(rest string, r *http.Request) string {
	target := "/" + strings.TrimPrefix(rest, "/")
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// readAhead reads the start of the body; complete reports whether that was the entire body.
func readAhead(r *http.Request) (prefix []byte, complete bool, err error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, true, nil
	}
	if r.ContentLength > maxReplayBytes || r.ContentLength < 0 && r.Header.Get("Expect") != "" {
		return nil, false, nil
	}
	var buffer bytes.Buffer
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, maxReplayBytes))
	if err != nil {
		return nil, false, err
	}
	if n < maxReplayBytes {
		return buffer.Bytes(), true, nil
	}
	return buffer.Bytes(), false, nil
}

// guardedBody keeps an attempt from reading a caller's body after the caller's handler has returned.
type guardedBody struct {
	mutex  sync.Mutex
	reader io.Reader
	closed bool
}

// Read reads from the caller's body; it returns io.ErrUnexpectedEOF once the handler has returned.
func (g *guardedBody) Read(p []byte) (int, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return 0, io.ErrUnexpectedEOF
	}
	return g.reader.Read(p)
}

func (e *Exchange) closeBody() {
	if e.body == nil {
		return
	}
	// A read in progress holds the lock until the server closes the body, which happens only after the handler has
	// returned; hence the handler must not wait for the lock.
	go func() {
		e.body.mutex.Lock()
		e.body.closed = true
		e.body.mutex.Unlock()
	}()
}
