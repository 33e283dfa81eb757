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
	"clementinelock/core/routes"
	"clementinelock/io/pool"
	"clementinelock/io/proto"
)

// Lengths of time and sizes of callers' connections. Limits of the routes' document go before the defaults.
const (
	defaultHeaderBytes    = 16 << 10
	defaultBodyBytes      = 64 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultRequestTimeout = 10 * core.Second
	writeTimeout          = 10 * time.Second
	// maxPipelined is how many requests of one connection run beside each other.
	maxPipelined          = 16
	readBufferBytes       = 4 << 10
	writeBufferBytes      = 4 << 10
	maxBufferedBody       = 128 << 10
	shutdownCheckInterval = 50 * time.Millisecond
	// acceptRetryDelay gives connections time to end before the next one is accepted; callers wait a second for it.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server answers callers. Set the exported fields before Serve.
type Server struct {
	Dialect proto.Dialect
	Pool    *pool.Pool
	Picks   *pick.Table
	// Now is the host's steady time.
	Now func() core.Millis
	// OnRequest is called with each request's account; it must not block.
	OnRequest func(RequestRecord)
	// OnAcceptError is called with the error of a connection that could not be accepted for the moment; it must not block, and may be nil.
	OnAcceptError func(error)

	mutex    sync.Mutex
	table    atomic.Pointer[routes.Table]
	stopping atomic.Bool
	active   atomic.Int64
	conns    map[*conn]bool
	listener net.Listener
}

// Update brings a table of routes and what changed of the endpoints into force.
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

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	s.conns = map[*conn]bool{}
	s.mutex.Unlock()
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
		s.mutex.Lock()
		s.conns[c] = true
		s.mutex.Unlock()
		go c.run()
	}
}

// isTemporary tells whether connections may be accepted again later: the process had no descriptor left, or the caller was gone already.
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

// Active returns how many requests are under way.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// BeginShutdown lets every answer from now on close its connection.
func (s *Server) BeginShutdown() {
	s.stopping.Store(true)
}

// Stopping tells whether a planned stop is under way.
func (s *Server) Stopping() bool {
	return s.stopping.Load()
}

// FinishShutdown takes no new connections, closes those without a request and waits until no request is under way or the time is over.
func (s *Server) FinishShutdown(timeout time.Duration) (left int) {
	s.mutex.Lock()
	if s.listener != nil {
		// Serve returns by it; there is nobody to tell of an error.
		_ = s.listener.Close()
	}
	s.mutex.Unlock()
	end := time.Now().Add(timeout)
	for {
		s.closeIdle()
		if s.Active() == 0 || time.Now().After(end) {
			return s.Active()
		}
		time.Sleep(shutdownCheckInterval)
	}
}

func (s *Server) closeIdle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if c.open.Load() == 0 {
			_ = c.conn.Close()
		}
	}
}

func (s *Server) limits() routes.Limits {
	limits := routes.Limits{}
	if table := s.table.Load(); table != nil {
		limits = table.Limits
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
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
