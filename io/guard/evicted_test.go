package guard_test

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/io/guard"
)

type slowCloseListener struct {
	net.Listener
	closing chan struct{}
	release chan struct{}
	once    sync.Once
}

func (l *slowCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowCloseConn{c, l}, nil
}

type slowCloseConn struct {
	net.Conn
	l *slowCloseListener
}

func (c *slowCloseConn) Close() error {
	c.l.once.Do(func() { close(c.l.closing) })
	<-c.l.release
	return c.Conn.Close()
}

// TestRequestOfAnEvictedConnection guards against a request that is answered by 200 though no handler was called, since its
// connection was evicted while its body was read.
func TestRequestOfAnEvictedConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &slowCloseListener{Listener: inner, closing: make(chan struct{}), release: make(chan struct{})}
	began := time.Now()
	g := &guard.Guard{Now: func() core.Millis { return core.Millis(time.Since(began).Milliseconds()) }, MaxConnections: 1, MaxBodyBytes: 1 << 20}
	var handled sync.Map
	server := g.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Store("x", true) }))
	go func() { _ = server.Serve(g.Listen(l)) }()
	defer func() { close(l.release); _ = server.Close() }()
	a, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = a.Write([]byte("PUT /configuration HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"))
	time.Sleep(200 * time.Millisecond)
	b, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.Close() }()
	<-l.closing
	_, _ = a.Write([]byte("{}"))
	_ = a.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(a), nil)
	if err == nil && response.StatusCode == http.StatusOK {
		if _, ok := handled.Load("x"); !ok {
			t.Error("the request was answered by 200, and no handler was called")
		}
	}
}
