package fetch_test

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
	"clementinelock/io/fetch"
	"clementinelock/io/proto"
	"clementinelock/io/stand"
)

// TestHeadCutAtEachByte guards against an answer that ends in the middle of its head, or of what tells its end, and is taken for
// a whole one.
func TestHeadCutAtEachByte(t *testing.T) {
	for _, c := range []struct{ name, header, body string }{
		{"with a length", "Content-Length: 5\r\n", "whole"},
		{"empty", "Content-Length: 0\r\n", ""},
		{"in chunks", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
		{"in chunks with a trailer", "Transfer-Encoding: chunked\r\nTrailer: Other\r\n", "5\r\nwhole\r\n0\r\nOther: 1\r\n\r\n"},
		{"to the end of the connection", "Connection: close\r\n", ""},
	} {
		for _, returnsID := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", returns the id ", returnsID), func(t *testing.T) {
				const idBytes = 16
				text := func(id string) string {
					head := "HTTP/1.1 200 OK\r\n" + c.header
					if returnsID {
						head += proto.RequestID + ": " + id + strings.Repeat(" ", idBytes-len(id)) + "\r\n"
					}
					return head + "\r\n" + c.body
				}
				cut := 0
				address, stop, err := stand.Serve(func(conn net.Conn) {
					for reader := bufio.NewReader(conn); ; {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, request.Body)
						whole := text(request.Header.Get(proto.RequestID))
						if request.URL.Path == "/cut" {
							_, _ = io.WriteString(conn, whole[:cut])
							return
						}
						_, _ = io.WriteString(conn, whole)
						if strings.HasPrefix(c.header, "Connection") {
							return
						}
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer stop()
				client := fetch.New(4)
				read := func(target string) error {
					attempt, end := client.Start(context.Background(), &fetch.Request{Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}, Idempotent: true}, address, core.Second, false)
					if end != nil {
						return fmt.Errorf("ending %v: %s", end.Ending, end.Detail)
					}
					defer attempt.Cancel()
					_, err := io.Copy(io.Discard, attempt.Response.Body)
					return err
				}
				for whole := len(text(strings.Repeat("x", idBytes))); cut < whole; cut++ {
					if err := read("/whole"); err != nil {
						t.Fatalf("a whole answer: %v", err)
					}
					if read("/cut") == nil {
						t.Errorf("an answer that ends after byte %d of %d is taken for a whole one", cut, whole)
					}
				}
			})
		}
	}
}
