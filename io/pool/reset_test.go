package pool

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"clementinelock/io/stand"
)

// TestResetSeenByTheWriter guards against the part of an answer that counts as whole: the endpoint resets the connection while the request
// is being written, and the reset is reported to the goroutine that writes.
func TestResetSeenByTheWriter(t *testing.T) {
	for _, part := range []int{0, 40, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1000} {
		t.Run(fmt.Sprint(part, " bytes"), func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\nId: one\r\n\r\n" + strings.Repeat("x", part)
			ordered := make(chan *stand.OrderedConn, 1)
			wrap := func(conn *net.TCPConn) net.Conn {
				o := stand.NewOrderedConn(conn, len(text))
				ordered <- o
				return o
			}
			result := sendUpload(t, wrap, stand.EndlessBody{}, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, text)
				<-(<-ordered).Received
				_ = conn.SetLinger(0)
			})
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
