package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// firstRetry is when a kernel sends bytes again for the first time on a path with a round trip of 40 ms; then it waits twice as long
	// each time.
	firstRetry = 240 * time.Millisecond
	// queueLength is that of the queue of new connections during a cut, maxFillers is more connections than it takes.
	queueLength = 1
	maxFillers  = 4
)

// link is the network between the hosts and one endpoint. While it is cut it passes nothing: bytes that are under way are sent again
// as a kernel does, and are dropped if their sender resets the connection; new connections get no answer.
type link struct {
	to       string
	address  string
	listener *net.TCPListener

	mutex sync.Mutex
	// healedAt is when the latest cut ended; healed is closed when the present one ends, nil without one.
	healedAt time.Time
	healed   chan struct{}
	fillers  []net.Conn
}

func newLink(address, to string) *link {
	listener, err := net.Listen("tcp", address)
	must(err)
	l := &link{to: to, address: address, listener: listener.(*net.TCPListener)}
	go l.run()
	return l
}

func (l *link) run() {
	for {
		l.awaitHealed()
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(conn.(*net.TCPConn))
	}
}

func (l *link) close() { _ = l.listener.Close() }

// cut cuts the link for a time. The queue of new connections is filled, so that the kernel answers none.
func (l *link) cut(length time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	raw, err := l.listener.SyscallConn()
	must(err)
	must(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), queueLength) }))
	l.healed = make(chan struct{})
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", l.address, 20*time.Millisecond)
		if err == nil {
			l.fillers = append(l.fillers, conn)
		}
	}
	time.AfterFunc(length, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), syscall.SOMAXCONN) })
		for _, conn := range l.fillers {
			_ = conn.Close()
		}
		l.fillers = nil
		l.healedAt = time.Now()
		close(l.healed)
		l.healed = nil
	})
}

// awaitHealed waits for the end of a cut; it reports whether there was one, and when it ended.
func (l *link) awaitHealed() (at time.Time, wasCut bool) {
	l.mutex.Lock()
	healed := l.healed
	l.mutex.Unlock()
	if healed == nil {
		return time.Time{}, false
	}
	<-healed
	return time.Now(), true
}

// pass passes the bytes of a connection on in both directions.
func (l *link) pass(from *net.TCPConn) {
	conn, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	go l.copy(to, from)
	l.copy(from, to)
}

// copy passes bytes on in one direction. A reset of the sender drops what a cut holds up.
func (l *link) copy(from, to *net.TCPConn) {
	type part struct {
		data []byte
		at   time.Time
		err  error
	}
	parts := make(chan part, 1024)
	reset := make(chan struct{})
	go func() {
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			parts <- part{buffer[:n], time.Now(), err}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					close(reset)
				}
				return
			}
		}
	}()
	for p := range parts {
		if healed, wasCut := l.awaitHealed(); wasCut {
			time.Sleep(time.Until(retransmittedAt(p.at, healed)))
		}
		select {
		case <-reset:
			_ = to.SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		default:
		}
		if len(p.data) > 0 {
			if _, err := to.Write(p.data); err != nil {
				_ = from.Close()
				return
			}
		}
		if p.err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// retransmittedAt returns when bytes that were sent at a time are sent again for the first time after a cut.
func retransmittedAt(sent, healed time.Time) time.Time {
	wait := firstRetry
	for at := sent.Add(wait); ; at = at.Add(wait) {
		if at.After(healed) {
			return at
		}
		wait *= 2
	}
}
