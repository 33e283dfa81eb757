package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// brokenCodes are status codes of no answer; 101 is that of an answer to a request for another protocol, which is never sent.
var brokenCodes = []string{"000", "001", "099", "+20", "-20", "101", "0", "00", "20", "2000", "2x0", "0x7", "1e2", ""}

// TestBrokenStatus guards against the bytes behind an answer whose status code is none and that is taken for an interim one: the caller
// gets the next head on the connection, or what looks like one, as its answer.
func TestBrokenStatus(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nId: broken\r\nStamp: s\r\nContent-Length: 24\r\n\r\n" + brokenBody
	for _, code := range brokenCodes {
		for _, behind := range []string{"", second} {
			for _, way := range brokenWays {
				for _, method := range []string{"GET", "POST"} {
					t.Run(fmt.Sprintf("status %q, %d bytes behind, %s, %s", code, len(behind), way, method), func(t *testing.T) {
						t.Parallel()
						testBroken(t, way, method, "HTTP/1.1 "+code+" X\r\nId: %s\r\nStamp: s\r\nContent-Length: 0\r\n\r\n"+behind)
					})
				}
			}
		}
	}
}

// TestInterimStatus guards against interim answers, known ones or not, that are taken for the answer or for none.
func TestInterimStatus(t *testing.T) {
	for code := 100; code < 200; code++ {
		if code == http.StatusSwitchingProtocols {
			continue
		}
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			t.Parallel()
			h := startHost(t, 1)
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: other\r\nStamp: t\r\n\r\n", code)
				_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
				return echo(conn, request, body)
			})
			c := h.dial(t)
			c.send("GET", "/read/x", "one", "")
			c.expect("one", http.StatusOK, "GET /read/x ")
		})
	}
}
