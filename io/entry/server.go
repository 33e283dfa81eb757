package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clementinelock/core"
	"clementinelock/core/pick"
	"clementinelock/core/reach"
	"clementinelock/core/routes"
	"clementinelock/io/pool"
	"clementinelock/io/proto"
)

// Timeouts and sizes of callers' connections. The limits in the routes' document override the defaults.
const (
	defaultHeaderBytes = 16 << 10
	// maxHeaderBytes bounds what a document may allow; all of a header is held in memory.
	maxHeaderBytes        = 4 << 20
	defaultBodyBytes      = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultRequestTimeout = 10 * core.Second
	// maxRequestTimeout bounds what a caller may name.
	maxRequestTimeout = 24 * core.Hour
	writeTimeout      = 10 * time.Second
	// maxPipelined is how many requests of one connection run concurrently.
	maxPipelined          = 16
	readBufferBytes       = 4 << 10
	writeBufferBytes      = 4 << 10
	maxBufferedBody       = 128 << 10
	maxObjectBytes        = 64
	shutdownCheckInterval = 50 * time.Millisecond
	// acceptRetryDelay gives connections time to end before the next Accept; callers wait 1 s for a connection.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server answers callers. Set the exported fields before Serve.
type Server struct {
	Dialect proto.Dialect
	Pool    *pool.Pool
	Picks   *pick.Table
	// Now returns the host's monotonic time.
	Now func() core.Millis
	// OnRequest is called with each request's record; it must not block.
	OnRequest func(RequestRecord)
	// OnAcceptError is called with each temporary error of Accept; it must not block, and may be nil.
	OnAcceptError func(error)
	// Helpers are the entry hosts that serve this one's callers while it reaches no endpoint, HelperPool has the connections
	// to them, at the addresses that HelperAddress returns for their names. Without Helpers no request is handed over.
	Helpers       *reach.Helpers
	HelperPool    *pool.Pool
	HelperAddress func(name string) string
	// Quotas decides on requests of customers with a quota; nil sets no limit.
	Quotas Quotas
	// MaxKeyAge is how long customers' keys hold without contact to a control host, after which one may have been revoked; 0
	// sets no limit.
	MaxKeyAge core.Millis
	// MaxHeldBytes limits the memory that is held for all connections together, as this package estimates it, and
	// MaxConnections their number; 0 sets no limit.
	MaxHeldBytes   int64
	MaxConnections int

	room     room
	answers  answerSizes
	mutex    sync.Mutex
	table    atomic.Pointer[routes.Table]
	stopping atomic.Bool
	// finishing is set once a planned stop takes no more requests.
	finishing atomic.Bool
	// lastAnswerAt is by when answers must have come in a planned stop, 0 before one.
	lastAnswerAt atomic.Int64
	active       atomic.Int64
	arrived      atomic.Uint64
	bytes        atomic.Uint64
	// contactAt is when a control host could last tell of all changes, 0 before the first contact.
	contactAt atomic.Int64
	conns     map[*conn]bool
	crashes   crashes
	reach     reachState
	listeners []net.Listener
}

// Update applies changes to the endpoint table and, unless table is nil, replaces the routes.
func (s *Server) Update(table *routes.Table, update func(*pick.Table)) {
	s.mutex.Lock()
	update(s.Picks)
	s.mutex.Unlock()
	if table != nil {
		s.table.Store(table)
	}
}

// Table returns the routes in force, or nil.
func (s *Server) Table() *routes.Table {
	return s.table.Load()
}

// Serve accepts connections until the listener is closed; it returns nil after a
// shutdown or the end of the context, else the error of Accept.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return s.serve(ctx, listener, false)
}

// ServeHosts accepts connections of entry hosts that hand requests over, as Serve does those of callers.
func (s *Server) ServeHosts(ctx context.Context, listener net.Listener) error {
	return s.serve(ctx, listener, true)
}

func (s *Server) serve(ctx context.Context, listener net.Listener, handed bool) error {
	s.mutex.Lock()
	s.listeners = append(s.listeners, listener)
	if s.conns == nil {
		s.conns = map[*conn]bool{}
	}
	s.mutex.Unlock()
	s.room.mutex.Lock()
	s.room.budget.MaxBytes, s.room.budget.MaxAccounts = s.MaxHeldBytes, s.MaxConnections
	s.room.mutex.Unlock()
	for {
		accepted, err := listener.Accept()
		if err != nil {
			if s.stopping.Load() || ctx.Err() != nil {
				return nil
			}
			if !isTemporary(err) {
				return err
			}
			if s.OnAcceptError != nil {
				s.OnAcceptError(err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(ctx, s, accepted)
		c.handed = handed
		if c.held.account = s.room.open(s.Now(), c); c.held.account == nil {
			// Nothing was read, so that the caller may send its request to another host.
			c.cancel()
			_ = accepted.Close()
			continue
		}
		s.mutex.Lock()
		s.conns[c] = true
		s.mutex.Unlock()
		go c.run()
	}
}

// isTemporary reports whether Accept may succeed later: the process was out of descriptors or memory,
// or the caller had already disconnected.
func isTemporary(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

func (s *Server) removeConn(c *conn) {
	s.mutex.Lock()
	delete(s.conns, c)
	s.mutex.Unlock()
}

// Active returns how many requests are in flight.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// Traffic returns how many requests have arrived, and the number of bytes of requests and answers.
func (s *Server) Traffic() (requests, bytes uint64) {
	return s.arrived.Load(), s.bytes.Load()
}

// BeginShutdown makes every answer from now on close its connection.
func (s *Server) BeginShutdown() {
	s.stopping.Store(true)
}

// Stopping reports whether a graceful shutdown is in progress.
func (s *Server) Stopping() bool {
	return s.stopping.Load()
}

// FinishShutdown closes the listener and idle connections, and refuses requests that are still read. It waits until no
// request is in flight and callers have read their last answers, or the timeout is over, and returns how many requests are
// left.
func (s *Server) FinishShutdown(timeout time.Duration) (left int) {
	s.finishing.Store(true)
	s.mutex.Lock()
	for _, listener := range s.listeners {
		// Serve returns because of it; no one could handle an error here.
		_ = listener.Close()
	}
	s.mutex.Unlock()
	end := time.Now().Add(timeout)
	answeredAt := time.Now()
	for {
		open := s.interruptIdle()
		now := time.Now()
		if s.Active() > 0 {
			answeredAt = now
		}
		if open == 0 || now.Sub(answeredAt) > lingerTimeout || now.After(end) {
			return s.Active()
		}
		time.Sleep(shutdownCheckInterval)
	}
}

// interruptIdle ends the wait for requests on idle connections, and returns how many connections are open.
func (s *Server) interruptIdle() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		c.interrupt()
	}
	return len(s.conns)
}

func (s *Server) limits() routes.Limits {
	limits := routes.Limits{}
	if table := s.table.Load(); table != nil {
		limits = table.Limits
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	limits.HeaderBytes = min(limits.HeaderBytes, maxHeaderBytes)
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = core.Millis(defaultHeaderTimeout.Milliseconds())
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = core.Millis(defaultIdleTimeout.Milliseconds())
	}
	return limits
}
