package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"clementinelock/io/proto"
	"clementinelock/io/stand"
)

// endlessReader returns zeroes without end, in parts.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(p[:min(len(p), 1<<10)]), nil
}

// TestResetSeenByTheWriter guards against the part of an answer that counts as whole: the endpoint resets the connection while the request
// is being written, and the reset is reported to the goroutine that writes.
func TestResetSeenByTheWriter(t *testing.T) {
	for _, part := range []int{0, 40, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1000} {
		t.Run(fmt.Sprint(part, " bytes"), func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nId: one\r\n\r\n" + strings.Repeat("x", part)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			dialled, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			ordered := stand.NewOrderedConn(dialled.(*net.TCPConn), len(text))
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, text)
				<-ordered.Received
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
			p := &Pool{Dialect: proto.Dialect{RequestID: "Id", Deadline: "Deadline"}, open: 1}
			c := newConnection(p, "x", ordered)
			c.acquire()
			go c.readLoop()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			request := &Request{ID: "one", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"one"}}, Rest: endlessReader{}, Length: -1}
			result := c.roundTrip(ctx, request, Target{Deadline: time.Now().Add(5 * time.Second)})
			if result.Answer == nil {
				if result.Ending != Spoiled {
					t.Errorf("the request ends %s, %s", result.Ending, result.Detail)
				}
				return
			}
			if result.Answer.Whole {
				t.Fatalf("a part of %d bytes counts as a whole answer", len(result.Answer.Body))
			}
			defer result.Discard()
			var body bytes.Buffer
			if _, err := body.ReadFrom(result.Answer.Rest); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("a part of %d bytes ends in good order", len(result.Answer.Body)+body.Len())
			}
		})
	}
}
