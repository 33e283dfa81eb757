package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"clementinelock/io/proto"

	"golang.org/x/sys/unix"
)

// Timeouts and sizes of connections to endpoints.
const (
	// dialTimeout is several round trips to the farthest region;
	// a lost first packet would be retransmitted only after 1 s.
	dialTimeout = 250 * time.Millisecond
	// userTimeout closes a connection whose peer no longer acknowledges data.
	userTimeout = 3 * time.Second
	// maxIdle is below the 10 s after which endpoints close idle connections.
	maxIdle = 8 * time.Second
	// maxIdleNonIdempotent keeps requests that must not be sent twice off connections that the endpoint may be closing
	// or no longer knows.
	maxIdleNonIdempotent = time.Second
	sweepInterval        = time.Second
	// maxKeepAliveSeconds bounds what an endpoint may grant, in seconds.
	maxKeepAliveSeconds = 3600
	// writeGracePeriod is how long to wait for a request to be written whole when its answer has come first.
	writeGracePeriod = 20 * time.Millisecond
	headBytes        = 1024
	// maxHeadBytes bounds the heads of an answer with all interim ones.
	maxHeadBytes = 64 << 10
	// maxSkippedAnswers and maxSkippedBytes bound the late answers that may come before the one that is expected, and the
	// body of each.
	maxSkippedAnswers = 8
	maxSkippedBytes   = 1 << 20
	readBufferBytes   = 4 << 10
	// maxBufferedBody is how much of an answer is read before any of it is forwarded.
	maxBufferedBody = 256 << 10
	// maxCarried is the number of requests on one connection, whose ids are remembered.
	maxCarried      = 1024
	copyBufferBytes = 16 << 10
)

// Pool keeps persistent connections to endpoints. Set the exported fields before use.
type Pool struct {
	Dialect proto.Dialect
	// OnHeader is called with the header of each answer of an endpoint, also of one that reaches no caller, and when the request was
	// sent; it may be nil.
	OnHeader func(endpoint string, status int, header http.Header, sentAt time.Time)
	// OnDial is called with the result of each attempt to open a connection that was not cancelled; it may be nil.
	OnDial func(address string, err error)
	// LocalIP is the address that connections come from; nil leaves it to the kernel.
	LocalIP net.IP
	// MaxConnections limits the open connections; 0 sets no limit.
	MaxConnections int
	// OnClosed is called when an endpoint has closed an idle connection to its address; expected reports that it carried no request, or
	// was idle for about as long as the endpoint grants. It may be nil.
	OnClosed func(address string, expected bool)

	mutex sync.Mutex
	idle  map[string][]*connection
	// opened counts the connections opened, open those that are open or being opened.
	opened uint64
	open   int
}

// errNoDescriptor refuses a connection beyond MaxConnections.
var errNoDescriptor = errors.New("all connections to endpoints that this host may have are in use")

// Opened returns how many connections were opened.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Do sends the request to the endpoint and waits for its answer until the context ends.
func (p *Pool) Do(ctx context.Context, r *Request, t Target) Result {
	c, reused, err := p.get(ctx, r, t)
	if err != nil {
		if errors.Is(err, errNoDescriptor) {
			return Result{Ending: Withdrawn, Detail: err.Error()}
		}
		if ctx.Err() != nil {
			return Result{Ending: NotSent, Detail: "no connection before the deadline"}
		}
		return Result{Ending: NotSent, Detail: err.Error(), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	if t.Ready != nil && !t.Ready(c.openedAt) {
		c.unuse()
		return Result{Ending: Withdrawn, Detail: "endpoint became unavailable before the request was sent"}
	}
	result := c.roundTrip(ctx, r, t)
	result.Reused, result.OpenedAt = reused, c.openedAt
	return result
}

// get returns an idle connection that may be reused, or opens one.
func (p *Pool) get(ctx context.Context, r *Request, t Target) (c *connection, reused bool, err error) {
	address := t.Address
	idleLimit := maxIdle
	if !r.Idempotent {
		idleLimit = maxIdleNonIdempotent
	}
	now := time.Now()
	p.mutex.Lock()
	list := p.idle[address]
	if t.Fresh {
		list = nil
	}
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if now.Sub(c.idleSince) > idleLimit || now.After(c.expiresAt) || c.hasCarried(r.ID) {
			continue
		}
		p.idle[address] = append(list[:i:i], list[i+1:]...)
		p.mutex.Unlock()
		if c.acquire() {
			return c, true, nil
		}
		return p.get(ctx, r, t)
	}
	p.opened++
	p.mutex.Unlock()
	c, err = p.dial(ctx, address)
	return c, false, err
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	if !p.reserve() {
		return nil, errNoDescriptor
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setSocketOptions}
	if p.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.LocalIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if p.OnDial != nil && (err == nil || ctx.Err() == nil) {
		p.OnDial(address, err)
	}
	if err != nil {
		p.unreserve()
		return nil, err
	}
	c := newConnection(p, address, conn)
	c.acquire()
	go c.readLoop()
	return c, nil
}

// reserve counts a connection that is about to be opened. At the limit it closes the one that has been idle for longest, and returns
// false if none is idle.
func (p *Pool) reserve() bool {
	for {
		p.mutex.Lock()
		if p.MaxConnections == 0 || p.open < p.MaxConnections {
			p.open++
			p.mutex.Unlock()
			return true
		}
		oldest := p.oldestIdle()
		p.mutex.Unlock()
		if oldest == nil {
			return false
		}
		if oldest.acquire() {
			oldest.close()
		}
	}
}

// oldestIdle takes the connection out of the pool that has been idle for longest; the mutex must be held.
func (p *Pool) oldestIdle() (oldest *connection) {
	for _, list := range p.idle {
		for _, c := range list {
			if oldest == nil || c.idleSince.Before(oldest.idleSince) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.removeIdle(oldest)
	}
	return oldest
}

func (p *Pool) unreserve() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
}

// HasIdle reports whether there is an idle connection to an address.
func (p *Pool) HasIdle(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[address]) > 0
}

// HasIdleSince reports whether there is an idle connection to an address that was opened before a time.
func (p *Pool) HasIdleSince(address string, at time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *connection) bool { return c.openedAt.Before(at) })
}

// Probe opens a connection to the address, which is kept for a request; it returns the error if that is not possible.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	c.unuse()
	return nil
}

// setSocketOptions makes the kernel end connections whose peer has gone without closing them, and choose the port of a
// connection from a given address so late that ports can be used for several destinations.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var inner error
	err := raw.Control(func(fd uintptr) {
		// Without this option there are fewer ports, which is no reason to fail.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return inner
}

// put returns a connection to the pool.
func (p *Pool) put(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.hasClosed() {
		// It was closed since it was found open.
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*connection{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// remove removes a closed connection from the pool.
func (p *Pool) remove(c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.removeIdle(c)
}

// removeIdle takes a connection out of the idle ones; the mutex must be held.
func (p *Pool) removeIdle(c *connection) {
	list := p.idle[c.address]
	for i, each := range list {
		if each == c {
			p.idle[c.address] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[c.address]) == 0 {
		delete(p.idle, c.address)
	}
}

// Sweep closes connections that have been idle for too long, until the context ends.
func (p *Pool) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, c := range p.expired(now) {
				c.close()
			}
		}
	}
}

func (p *Pool) expired(now time.Time) []*connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var out []*connection
	for _, list := range p.idle {
		for _, c := range list {
			if now.Sub(c.idleSince) > maxIdle || now.After(c.expiresAt) {
				out = append(out, c)
			}
		}
	}
	return out
}

// CloseIdle closes the idle connections to an address, since it may belong to another endpoint now.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, c := range list {
		c.close()
	}
}
