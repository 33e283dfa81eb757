package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"clementinelock/io/wire"
)

// connection is one persistent connection; it carries at most one request at a time.
type connection struct {
	pool    *Pool
	address string
	conn    *wire.Conn
	// openedAt is by when the peer had accepted the connection.
	openedAt time.Time
	// limit bounds the bytes that are read from the connection as part of heads, and of answers that are skipped.
	limit  io.LimitedReader
	reader *bufio.Reader

	// uncounted ends the count of the connection in the pool's limit, once.
	uncounted sync.Once

	mutex     sync.Mutex
	pending   *exchange
	busy      bool
	closed    bool
	idleSince time.Time
	expiresAt time.Time
	// carried holds the hashes of the ids of the requests so far.
	carried []uint32
}

// exchange is the request whose answer a connection waits for.
type exchange struct {
	id       string
	endpoint string
	// sentAt is when the request began to be sent.
	sentAt time.Time
	method string
	result chan Result
	// written is closed when the whole request is written.
	written chan struct{}
	// bodyDone is closed when a streamed body has been read or abandoned.
	bodyDone chan struct{}
	// skipped counts the answers to other requests.
	skipped int
	// streamed is set if the request is written while its answer may arrive already.
	streamed bool
	// passedOn is set once a long answer is handed over, before its end has come; the connection's mutex guards it.
	passedOn bool
}

func newConnection(p *Pool, address string, conn net.Conn) *connection {
	c := &connection{pool: p, address: address, conn: wire.NewConn(conn), openedAt: time.Now(), expiresAt: time.Now().Add(24 * time.Hour)}
	c.limit = io.LimitedReader{R: c.conn, N: unlimited}
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)
	return c
}

// unlimited is the limit of a connection whose bytes are wanted.
const unlimited = 1<<63 - 1

// acquire reserves the connection for a request; it returns false when the connection is closed or busy.
func (c *connection) acquire() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || c.busy {
		return false
	}
	c.busy = true
	return true
}

// hasCarried reports whether a request with the id may have been sent on the connection before. The endpoint may write the answer
// to that one again, which could not be told from the answer to a later one.
func (c *connection) hasCarried(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Contains(c.carried, hashOf(id))
}

func hashOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return h.Sum32()
}

// unuse returns a connection on which nothing was sent to the pool.
func (c *connection) unuse() {
	c.mutex.Lock()
	c.busy = false
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	open := !c.closed
	c.mutex.Unlock()
	if open {
		c.pool.put(c)
	}
}

func (c *connection) close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.pool.remove(c)
	c.uncounted.Do(c.pool.unreserve)
	// An error of Close could not be handled by anyone.
	_ = c.conn.Close()
}

// roundTrip sends a request and waits for its answer or the context's end.
func (c *connection) roundTrip(ctx context.Context, r *Request, t Target) Result {
	e := &exchange{id: r.ID, endpoint: t.ID, sentAt: time.Now(), method: r.Method, result: make(chan Result, 1), written: make(chan struct{}), bodyDone: make(chan struct{}), streamed: r.Rest != nil || r.Length < 0}
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return Result{Ending: NotSent, Detail: "connection was already closed"}
	}
	c.pending = e
	c.carried = append(c.carried, hashOf(r.ID))
	c.mutex.Unlock()
	if !e.streamed {
		sent, err := c.write(r, t)
		if err != nil && sent == 0 {
			c.close()
			return Result{Ending: NotSent, Detail: err.Error(), Reset: true}
		}
		if err != nil {
			c.stopWaiting(e)
		}
		close(e.written)
	} else {
		go c.writeStream(r, t, e)
	}
	return c.await(ctx, e)
}

func (c *connection) await(ctx context.Context, e *exchange) Result {
	select {
	case result := <-e.result:
		return result
	case <-ctx.Done():
	}
	if !c.isPending(e) {
		// The answer is complete, and another request may use the connection already.
		return <-e.result
	}
	c.close()
	// An answer may come at this moment.
	go func() { (<-e.result).Discard() }()
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return Result{Ending: Silent, Detail: "no answer before the deadline"}
	}
	return Result{Ending: Cancelled, Detail: "request cancelled"}
}

// isPending reports whether the connection still waits for the answer to the request.
func (c *connection) isPending(e *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending == e
}

// readLoop reads answers until the connection ends.
func (c *connection) readLoop() {
	for {
		_, err := c.reader.Peek(1)
		c.mutex.Lock()
		e, closedHere := c.pending, c.closed
		c.mutex.Unlock()
		if err != nil || e == nil {
			c.close()
			switch {
			case e != nil:
				e.result <- Result{Ending: Broken, Detail: readErrorDetail(err), Reset: true}
			case !closedHere && c.pool.OnClosed != nil:
				c.pool.OnClosed(c.address, c.isEndExpected())
			}
			return
		}
		c.limit.N = maxHeadBytes
		if !c.readAnswer(e) {
			c.close()
			return
		}
		c.limit.N = unlimited
	}
}

func readErrorDetail(err error) string {
	if errors.Is(err, io.EOF) {
		return "endpoint closed the connection"
	}
	return err.Error()
}

// readAnswer reads one answer; it returns whether the connection remains open.
func (c *connection) readAnswer(e *exchange) bool {
	response, err := c.conn.ReadAnswer(c.reader, e.method)
	if err != nil {
		e.result <- Result{Ending: Spoiled, Detail: c.limitDetail(err)}
		return false
	}
	if c.pool.OnHeader != nil {
		c.pool.OnHeader(e.endpoint, response.StatusCode, response.Header, e.sentAt)
	}
	if got := response.Header.Get(c.pool.Dialect.RequestID); got != e.id {
		return c.skipAnswer(e, response, got)
	}
	c.limit.N = unlimited
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBody))
	if err != nil {
		e.result <- Result{Ending: Spoiled, Detail: err.Error()}
		return false
	}
	answer.Body = body
	if len(body) == maxBufferedBody {
		return c.streamAnswer(e, response, answer)
	}
	answer.Whole = true
	terms := c.pool.reuseTerms(response)
	if e.streamed {
		e.result <- Result{Answer: answer}
		c.release(e, terms)
		return c.isOpen()
	}
	// The caller's next request may follow the answer at once, and must find the connection in the pool.
	c.release(e, terms)
	open := c.isOpen()
	e.result <- Result{Answer: answer}
	return open
}

// limitDetail describes a failure to read, whose cause may be that the endpoint sent too many bytes.
func (c *connection) limitDetail(err error) string {
	if c.limit.N <= 0 {
		return "endpoint sent too many bytes that are no answer"
	}
	return err.Error()
}

// skipAnswer discards the answer to an earlier request; the connection is not reused afterwards.
func (c *connection) skipAnswer(e *exchange, response *http.Response, got string) bool {
	e.skipped++
	c.limit.N = maxSkippedBytes
	if e.skipped > maxSkippedAnswers {
		e.result <- Result{Ending: Spoiled, Detail: "endpoint sent too many answers to other requests"}
		return false
	}
	_, err := io.Copy(io.Discard, response.Body)
	if c.limit.N <= 0 {
		e.result <- Result{Ending: Spoiled, Detail: c.limitDetail(err)}
		return false
	}
	c.mutex.Lock()
	c.expiresAt = time.Time{}
	c.mutex.Unlock()
	if err == nil && got != "" && !response.Close {
		return true
	}
	e.result <- Result{Ending: Spoiled, Detail: fmt.Sprintf("answer has request id %q of another request", got)}
	return false
}

// isEndExpected reports whether the endpoint may close the connection while it goes on.
func (c *connection) isEndExpected() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.carried) == 0 || time.Now().After(c.expiresAt)
}

// hasClosed reports whether the connection is closed or about to be.
func (c *connection) hasClosed() bool {
	return !c.isOpen()
}

func (c *connection) isOpen() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.closed
}

// streamAnswer hands over a long body and waits until it is read.
func (c *connection) streamAnswer(e *exchange, response *http.Response, answer *Answer) bool {
	answer.Rest = &bodyRemainder{connection: c, body: response.Body, done: e.bodyDone}
	c.mutex.Lock()
	e.passedOn = true
	c.mutex.Unlock()
	e.result <- Result{Answer: answer}
	<-e.bodyDone
	return false
}

// bodyRemainder streams the rest of a long body; closing it closes the connection.
type bodyRemainder struct {
	connection *connection
	body       io.Reader
	done       chan struct{}
	once       sync.Once
}

// Read reads the body; it returns an error when the body is truncated.
func (r *bodyRemainder) Read(p []byte) (int, error) {
	return r.body.Read(p)
}

// Close closes the connection.
func (r *bodyRemainder) Close() error {
	r.once.Do(func() { close(r.done) })
	r.connection.close()
	return nil
}
