package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/io/pool"
)

// conn is one caller's connection.
type conn struct {
	server *Server
	conn   net.Conn
	limit  io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan *exchange
	// handed is set on a connection of another entry host, which hands requests over.
	handed bool
	// open counts the requests that are read and not yet answered.
	open atomic.Int64
	// mutex orders the start of a request and the decision that an answer is the last one; noMore is set by the latter.
	// running counts the requests that have started and are not yet answered.
	mutex   sync.Mutex
	noMore  bool
	running int
	// serving counts the requests whose answer has not come.
	serving atomic.Int64
	// waiting is set while the next request's first byte is awaited.
	waiting atomic.Bool
	// held is the memory that this connection holds, header counts that of a header that is read.
	held   held
	header headerMeter
	// evicted is set once the connection gives way to others.
	evicted atomic.Bool
	// progressAt is when the caller last began a request or got an answer, writingSince when the answer that is being written
	// last progressed, 0 while none is.
	progressAt   atomic.Int64
	writingSince atomic.Int64
	// answered gets a value when an answer is written.
	answered chan struct{}
	// readTimeout is that of the part of a request that is being read.
	readTimeout time.Duration
	// lastAnswer is when the last answer was written, in Unix nanoseconds.
	lastAnswer atomic.Int64
	// writerDone is closed once nothing more is written.
	writerDone chan struct{}
}

// exchange is one request with its pending answer.
type exchange struct {
	request *pool.Request
	path    string
	arrived core.Millis
	// timeout is how long the caller waits; 0 means that it did not say.
	timeout core.Millis
	// object is the value of the caller's object cookie, by which an endpoint is preferred.
	object string
	// digest identifies the request among those of all callers.
	digest crash.Digest
	// handover is set if another entry host has handed the request over.
	handover *handover
	identity identity
	closes   bool
	conn     *conn
	// held is the memory of the request and its answer, in bytes, of which expected is for an answer that has not come.
	held     int64
	expected int64
	// route is the name of the route that was in force when the request was read, "" if none was.
	route string
	// started is set once the request may reach an endpoint; the connection's mutex guards it.
	started bool
	reply   chan *reply
	// precedingWritten is closed when all preceding answers are written.
	precedingWritten chan struct{}
	// rest is the part of a long body that is streamed, and bodyRead is closed when it has been read or abandoned; nil without one.
	rest     *bodyRemainder
	bodyRead chan struct{}
}

func newConn(parent context.Context, s *Server, accepted net.Conn) *conn {
	ctx, cancel := context.WithCancel(parent)
	c := &conn{server: s, conn: accepted, ctx: ctx, cancel: cancel, queue: make(chan *exchange, maxPipelined), answered: make(chan struct{}, 1), writerDone: make(chan struct{})}
	counted := &countedConn{accepted, &s.bytes}
	c.header = headerMeter{Reader: counted, conn: c}
	c.limit.R = &c.header
	c.held.used, c.held.reserved = connectionBytes, openBytes
	c.progress()
	c.reader = bufio.NewReaderSize(&c.limit, readBufferBytes)
	c.writer = bufio.NewWriterSize(counted, writeBufferBytes)
	return c
}

// countedConn counts the bytes that are read and written.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// run serves the connection until either side ends it.
func (c *conn) run() {
	defer c.server.removeConn(c)
	defer c.server.room.close(c.held.account)
	go c.writeLoop()
	c.readLoop()
	close(c.queue)
	<-c.writerDone
	c.cancel()
	_ = c.conn.Close()
}

// readLoop reads and starts requests until no more can come.
func (c *conn) readLoop() {
	for {
		x, refused := c.read()
		if x == nil {
			if refused != nil {
				c.enqueue(refused)
				return
			}
			// The caller has disconnected, so its requests in flight are cancelled.
			c.cancel()
			return
		}
		x.closes = x.closes || c.server.Stopping()
		if c.enqueue(x) != x {
			return
		}
		c.serving.Add(1)
		go c.serve(x)
		if x.rest != nil {
			x.rest.transfer()
			<-x.bodyRead
		}
		if x.closes {
			c.watchDisconnect()
			return
		}
	}
}

// watchDisconnect cancels the requests in flight when the caller disconnects after its last request.
func (c *conn) watchDisconnect() {
	c.setReadDeadline(time.Time{})
	for {
		if _, err := c.reader.Discard(1); err != nil {
			c.cancel()
			return
		}
	}
}

// enqueue takes a request for an answer, and returns it. It returns nil if the preceding answer has closed the connection, so
// that the request counts as not read, and a refused one in its place if the connection was evicted.
func (c *conn) enqueue(x *exchange) *exchange {
	c.mutex.Lock()
	noMore, evicted := c.noMore, c.evicted.Load()
	if !noMore {
		// From now on the connection is not evicted.
		c.open.Add(1)
	}
	c.mutex.Unlock()
	if noMore {
		return nil
	}
	if evicted {
		x = noRoomExchange()
	}
	c.server.active.Add(1)
	c.server.arrived.Add(1)
	select {
	case c.queue <- x:
	case <-c.writerDone:
		go c.abandon(x)
	}
	return x
}

// begin reports whether a request may reach an endpoint now. It may not once a preceding answer closes the connection,
// since it then counts as not read.
func (c *conn) begin(x *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.noMore {
		return false
	}
	x.started = true
	c.running++
	return true
}

// isLast decides whether an answer is the last one of its connection. During a planned stop, it is the answer to the last
// request that has started.
func (c *conn) isLast(x *exchange, r *reply) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if x.started {
		c.running--
	}
	last := x.closes || r.close || c.server.Stopping() && c.running == 0
	c.noMore = c.noMore || last
	return last
}

func (c *conn) exchangeDone(x *exchange) {
	c.lastAnswer.Store(time.Now().UnixNano())
	c.progress()
	c.subtract(x.held)
	c.open.Add(-1)
	c.server.active.Add(-1)
	select {
	case c.answered <- struct{}{}:
	default:
	}
}

// read reads the next request. It returns a refused exchange when the bytes are not a valid request,
// and two nils when the connection has ended.
func (c *conn) read() (x, refused *exchange) {
	limits := c.server.limits()
	c.limit.N = int64(limits.HeaderBytes) + readBufferBytes
	if !c.awaitByte(limits.IdleTimeout.Duration()) {
		return nil, nil
	}
	if c.awaitTurn() != nil {
		return nil, nil
	}
	c.progress()
	c.readTimeout = limits.HeaderTimeout.Duration()
	c.setReadDeadline(time.Now().Add(c.readTimeout))
	request, err := c.readHeader()
	if err != nil {
		return nil, c.rejectUnreadable(err)
	}
	c.limit.N = 1<<63 - 1
	c.setReadDeadline(time.Time{})
	return c.accept(request, limits.BodyBytes)
}

// awaitByte waits for the next request's first byte.
// It returns false when the caller has disconnected or was idle for too long since its last answer.
func (c *conn) awaitByte(idle time.Duration) bool {
	until := time.Now().Add(idle)
	for {
		finishing := c.server.finishing.Load() && c.open.Load() == 0
		if finishing {
			until = time.Now().Add(finalReadTimeout)
		}
		c.waiting.Store(true)
		c.setReadDeadline(until)
		_, err := c.reader.Peek(1)
		c.waiting.Store(false)
		if err == nil {
			return true
		}
		var network net.Error
		if !errors.As(err, &network) || !network.Timeout() || finishing || c.evicted.Load() {
			return false
		}
		now := time.Now()
		until = time.Unix(0, c.lastAnswer.Load()).Add(idle)
		if c.open.Load() > 0 {
			until = now.Add(idle)
		}
		if !until.After(now) && !c.server.finishing.Load() {
			return false
		}
	}
}

// interrupt ends the wait for a request at the end of a planned stop. A request that has begun to arrive is read.
func (c *conn) interrupt() {
	if c.waiting.Load() && c.open.Load() == 0 {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// finalReadTimeout is the time in which a request that was sent already is read at the end of a planned stop.
const finalReadTimeout = 5 * time.Millisecond

// rejectUnreadable returns a refused exchange for a request that is not valid, or nil when the connection has ended or
// timed out.
func (c *conn) rejectUnreadable(err error) *exchange {
	if c.evicted.Load() || errors.Is(err, errNoRoom) {
		return noRoomExchange()
	}
	var network net.Error
	if errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && c.limit.N > 0 {
		return nil
	}
	if c.limit.N <= 0 {
		return refusedExchange(http.StatusRequestHeaderFieldsTooLarge)
	}
	return refusedExchange(http.StatusBadRequest)
}

// refusedExchange returns an exchange already answered with the status; its answer closes the connection.
func refusedExchange(status int) *exchange {
	x := &exchange{closes: true, reply: make(chan *reply, 1), request: &pool.Request{}}
	x.reply <- &reply{status: status, close: true}
	return x
}

// writeLoop writes the answers in the order of their requests.
func (c *conn) writeLoop() {
	defer close(c.writerDone)
	for x := range c.queue {
		if x.precedingWritten != nil {
			close(x.precedingWritten)
		}
		r := <-x.reply
		last := c.isLast(x, r)
		err := c.send(x, r, last)
		c.exchangeDone(x)
		if err != nil || last {
			c.closeAfterLast()
			return
		}
	}
}

// closeAfterLast closes the connection after its last answer; pipelined requests behind it count as not read.
func (c *conn) closeAfterLast() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// Only the write side is closed, so that the caller reads the answer before the connection ends.
		_ = tcp.CloseWrite()
	}
	c.cancel()
	for {
		select {
		case x, more := <-c.queue:
			if !more {
				return
			}
			c.abandon(x)
		case <-time.After(lingerTimeout):
			_ = c.conn.Close()
			c.drainQueue()
			return
		}
	}
}

// lingerTimeout gives the caller time to read the last answer before unread bytes reset the connection.
const lingerTimeout = 500 * time.Millisecond

func (c *conn) drainQueue() {
	for x := range c.queue {
		c.abandon(x)
	}
}

// abandon drops a request whose answer is not written; the rest of a long one is closed.
func (c *conn) abandon(x *exchange) {
	if x.precedingWritten != nil {
		// The context has ended, so the request is not started.
		close(x.precedingWritten)
	}
	discard(<-x.reply)
	c.exchangeDone(x)
}
