package fetch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/io/stand"
	"clementinelock/io/wire"
)

// wrapConns wraps the sockets below the connections that a transport opens.
func wrapConns(transport *wire.Transport, wrap func(conn *net.TCPConn) net.Conn) {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			w := conn.(*wire.Conn)
			w.Conn = wrap(w.Conn.(*net.TCPConn))
		}
		return conn, err
	}
}

// TestResetSeenByTheWriter guards against the part of an answer that counts as whole: the endpoint resets the connection while the request
// is being written, and the reset is reported to the goroutine that writes.
func TestResetSeenByTheWriter(t *testing.T) {
	for _, part := range []int{0, 40, 100_000} {
		t.Run(fmt.Sprint(part, " bytes"), func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", part)
			dialled := make(chan *stand.OrderedConn, 1)
			address, stop, err := stand.Serve(func(conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, text)
				<-(<-dialled).Received
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			client := New(1)
			wrapConns(client.unshared, func(conn *net.TCPConn) net.Conn {
				ordered := stand.NewOrderedConn(conn, len(text))
				dialled <- ordered
				return ordered
			})
			request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Rest: stand.EndlessBody{}, Length: -1}
			attempt, end := client.Start(context.Background(), request, address, 5*core.Second, true)
			if end != nil {
				return
			}
			if copied, n, _ := attempt.Copy(io.Discard, -1, func() {}); copied.Ending == call.Whole {
				t.Errorf("a part of %d bytes counts as a whole answer", n)
			}
		})
	}
}
