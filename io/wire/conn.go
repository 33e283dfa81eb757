package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose reads return io.EOF only if the peer has ended its side in good order. One goroutine may read while another
// one writes.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	mutex   sync.Mutex
	// failure is the error of the socket, which is reported to one call only.
	failure error
	// head checks the heads of the answers that are expected.
	head headScanner
	// readEnded is closed when a read has failed, or the connection was closed here. It is nil if failed writes don't wait for that.
	readEnded chan struct{}
	endOnce   sync.Once
}

// NewConn returns a Conn that reads from and writes to the connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// dialer returns a function that opens connections of type *Conn by another one.
func dialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := NewConn(conn)
		c.readEnded = make(chan struct{})
		return c, nil
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Write writes to the connection. On a connection of a Transport that has ended it returns the error only once the reads have come to their end:
// net/http closes a connection to which it can't write, and with it what the peer has sent before.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil && c.readEnded != nil && c.HasEnded() {
		<-c.readEnded
	}
	return n, err
}

func (c *Conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordFailure(err)
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.endReads()
	return c.Conn.Close()
}

func (c *Conn) endReads() {
	if c.readEnded != nil {
		c.endOnce.Do(func() { close(c.readEnded) })
	}
}

// Read reads from the connection. In place of io.EOF it returns the failure that ended the connection, if there was one, and in place of
// bytes of a head that may not stand there an error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		c.endReads()
	}
	return n, err
}

func (c *Conn) read(p []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.checkHead(p[:n])
	}
	if !errors.Is(err, io.EOF) {
		c.recordFailure(err)
		return n, err
	}
	if c.HasEnded() {
		// A write under way returns at once. It may be the call that the failure is reported to.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

func (c *Conn) headError() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head.err
}

// checkHead returns how many of the bytes come before one that may not stand in the head that is expected, or an error.
func (c *Conn) checkHead(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n, err := c.head.scan(p)
	if n > 0 {
		// The error follows with the next read.
		return n, nil
	}
	return 0, err
}

// recordFailure keeps an error of the socket. EPIPE is none: the connection has ended before, and a peer that has ended its side in good
// order and then resets the connection causes no other error.
func (c *Conn) recordFailure(err error) {
	var number syscall.Errno
	if !errors.As(err, &number) || number == syscall.EPIPE {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// tcpClose is the state of a socket whose connection has ended in both directions, as after a reset. One whose peer has only ended its
// side is in another state.
const tcpClose = 7

// HasEnded reports whether the connection has ended in both directions without having been closed here: writes fail at once, and reads return
// what the peer has sent before, and then the end.
func (c *Conn) HasEnded() (ended bool) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == tcpClose
	})
	return err == nil && ended
}
