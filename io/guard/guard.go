package guard

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"clementinelock/core"
	"clementinelock/core/hold"
)

// Times and estimates of memory.
const (
	headerTimeout = 3 * time.Second
	// requestTimeout is for all of a request, a body of several megabytes among them.
	requestTimeout = time.Minute
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// openBytes covers the buffers and the goroutine of a connection.
	openBytes   = 32 << 10
	reserveStep = 16 << 10
	// headerLineBytes is what a parsed header line takes beside its text, of which a part is copied.
	headerLineBytes  = 96
	headerTextFactor = 2
	firstBodyBytes   = 4 << 10
	// decodeFactor is how many times the memory of a body its handler may need.
	decodeFactor = 2
	// stalledAfter is how long a client may leave an answer unread before its connection counts as stalled.
	stalledAfter = core.Second
)

var errNoRoom = errors.New("no memory is left for the request")

// Guard is the budget of the connections of one server. Set the exported fields before use.
type Guard struct {
	// Now returns the process's monotonic time.
	Now func() core.Millis
	// MaxBytes limits the memory that is held for all connections together, MaxConnections their number; 0 sets no limit.
	MaxBytes       int64
	MaxConnections int
	// MaxBodyBytes is how much of a body is read before its handler is called; 0 leaves bodies to the handler.
	MaxBodyBytes int

	mutex  sync.Mutex
	budget hold.Budget
}

// Counts returns what is held now.
func (g *Guard) Counts() hold.Counts {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.budget.Counts()
}

// NewServer returns a server for connections of a listener that Listen has returned.
func (g *Guard) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(handler, w, r) }),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if secure, ok := c.(*tls.Conn); ok {
				c = secure.NetConn()
			}
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

type connKey struct{}

// Listen returns a listener whose connections are guarded.
func (g *Guard) Listen(listener net.Listener) net.Listener {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.budget.MaxBytes, g.budget.MaxAccounts = g.MaxBytes, g.MaxConnections
	return &guardedListener{listener, g}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept waits for a connection that there is room for.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// conn is a guarded connection.
type conn struct {
	net.Conn
	guard   *Guard
	account *hold.Account
	// progressAt is when the client was last answered, writingSince when the write under way began, 0 without one.
	progressAt   atomic.Int64
	writingSince atomic.Int64
	// inBody is set while a body is read, which is counted by its buffer.
	inBody atomic.Bool

	mutex   sync.Mutex
	running int
	evicted bool
	// used is what the connection holds beyond openBytes, reserved what its account has for it.
	used     int64
	reserved int64
}

func (g *Guard) open(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, guard: g}
	c.progressAt.Store(int64(g.Now()))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if c.account = g.budget.Open(g.Now(), c, openBytes); c.account == nil {
		return nil
	}
	return c
}

// StalledSince returns the time of the last progress if the connection waits for its client.
func (c *conn) StalledSince() (since core.Millis, stalled bool) {
	if since = core.Millis(c.writingSince.Load()); since != 0 && c.guard.Now()-since >= stalledAfter {
		return since, true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return core.Millis(c.progressAt.Load()), c.running == 0
}

// Evict closes the connection unless a handler runs for it.
func (c *conn) Evict() bool {
	if _, stalled := c.StalledSince(); !stalled {
		return false
	}
	c.mutex.Lock()
	c.evicted = c.running == 0 || c.writingSince.Load() != 0
	evicted := c.evicted
	c.mutex.Unlock()
	if evicted {
		_ = c.Conn.Close()
	}
	return evicted
}

// begin marks the start of a handler; it returns false if the connection was evicted.
func (c *conn) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.evicted {
		c.running++
	}
	return !c.evicted
}

// end marks the end of a handler, and gives back the memory of the request.
func (c *conn) end() {
	c.mutex.Lock()
	c.running--
	last := c.running == 0
	c.mutex.Unlock()
	if last {
		c.release()
	}
}

// release gives back what is held beyond openBytes.
func (c *conn) release() {
	c.progressAt.Store(int64(c.guard.Now()))
	c.mutex.Lock()
	spare := c.reserved
	c.used, c.reserved = 0, 0
	c.mutex.Unlock()
	if spare > 0 {
		c.guard.mutex.Lock()
		c.guard.budget.Shrink(c.account, spare)
		c.guard.mutex.Unlock()
	}
}

// add counts bytes as held by the connection; it returns false if there is no room for them. The guard's lock is taken before
// the connection's.
func (c *conn) add(n int64) bool {
	c.mutex.Lock()
	if c.used+n <= c.reserved {
		c.used += n
		c.mutex.Unlock()
		return true
	}
	more := (c.used + n - c.reserved + reserveStep - 1) / reserveStep * reserveStep
	c.mutex.Unlock()
	g := c.guard
	g.mutex.Lock()
	granted := g.budget.Grow(g.Now(), c.account, more)
	g.mutex.Unlock()
	if !granted {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reserved += more
	c.used += n
	return true
}

// Read reads from the client; what comes while no handler runs counts as a header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.inBody.Load() {
		return n, err
	}
	c.mutex.Lock()
	running := c.running > 0
	if !running && c.used == 0 {
		c.progressAt.Store(int64(c.guard.Now()))
	}
	c.mutex.Unlock()
	if !running && !c.add(headerTextFactor*int64(n)+headerLineBytes*int64(bytes.Count(p[:n], []byte{'\n'}))) {
		// An error of this type closes the connection; the server answers others by 400, after which no client tries again.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom}
	}
	return n, err
}

// Write writes to the client.
func (c *conn) Write(p []byte) (int, error) {
	c.writingSince.Store(int64(max(c.guard.Now(), 1)))
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// Close closes the connection and its account.
func (c *conn) Close() error {
	c.guard.mutex.Lock()
	c.guard.budget.Close(c.account)
	c.guard.mutex.Unlock()
	return c.Conn.Close()
}

// serve reads the body of a request within the budget and calls the handler.
func (g *Guard) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	if g.MaxBodyBytes > 0 && r.Body != nil && r.Body != http.NoBody {
		body, err := c.readBody(r.Body, g.MaxBodyBytes)
		if errors.Is(err, errNoRoom) {
			refuse(w)
			return
		}
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		r.Body = readCloser{io.MultiReader(bytes.NewReader(body), r.Body), r.Body}
	}
	if !c.begin() {
		// A handler that returns without an answer would be answered by 200.
		panic(http.ErrAbortHandler)
	}
	defer c.end()
	handler.ServeHTTP(w, r)
}

// statusOf returns the status for a body that can't be read: 408 means that the request may be sent again.
func statusOf(err error) int {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

type readCloser struct {
	io.Reader
	io.Closer
}

// refuse answers a request that was not handled.
func refuse(w http.ResponseWriter) {
	row := core.Answers[core.Overloaded]
	w.Header().Set("Retry-After", strconv.FormatFloat(float64(row.RetryAfter)/float64(core.Second), 'f', -1, 64))
	w.Header().Set("Connection", "close")
	http.Error(w, errNoRoom.Error(), row.Status)
}

// readBody reads up to limit bytes of a body, and reserves what the handler needs for them.
func (c *conn) readBody(body io.Reader, limit int) ([]byte, error) {
	c.inBody.Store(true)
	defer c.inBody.Store(false)
	buffer := make([]byte, 0, min(firstBodyBytes, limit))
	for len(buffer) < limit {
		if size := cap(buffer); len(buffer) == size {
			larger := min(2*size, limit)
			if !c.add(int64(larger - size)) {
				return nil, errNoRoom
			}
			buffer = append(make([]byte, 0, larger), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if !c.add(decodeFactor * int64(len(buffer))) {
		return nil, errNoRoom
	}
	return buffer, nil
}
