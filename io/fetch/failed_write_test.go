package fetch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/io/stand"
)

// TestAnswerBeforeAFailedWrite guards against a complete answer that is withheld since the write of the request failed before the answer
// was read: the endpoint has sent it whole, ended its side in good order and closed the connection.
func TestAnswerBeforeAFailedWrite(t *testing.T) {
	for name, head := range map[string]string{"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "without a length": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			address, stop, err := stand.Serve(func(conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, head+"body")
				_ = conn.(*net.TCPConn).CloseWrite()
				time.Sleep(stand.LateReadPause)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			client := New(1)
			wrapConns(client.unshared, func(conn *net.TCPConn) net.Conn { return stand.NewLateReadConn(conn) })
			request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Rest: stand.EndlessBody{}, Length: -1}
			attempt, end := client.Start(context.Background(), request, address, 5*core.Second, true)
			if end != nil {
				t.Fatalf("the request ends %v, %s", end.Ending, end.Detail)
			}
			if copied, n, _ := attempt.Copy(io.Discard, -1, func() {}); copied.Ending != call.Whole || n != 4 {
				t.Errorf("the answer of %d bytes ends %v, %s", n, copied.Ending, copied.Detail)
			}
		})
	}
}
