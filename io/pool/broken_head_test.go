package pool

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBrokenHeadTellsNothing guards against what an answer says of its endpoint, such as how long it is cold, that is believed though its
// head is none.
func TestBrokenHeadTellsNothing(t *testing.T) {
	for name, head := range map[string]string{
		"a blank in a name":      "HTTP/1.1 200 OK\r\nId: one\r\nCold: 5000\r\nOt her: v\r\n\r\n",
		"a name that is a blank": "HTTP/1.1 200 OK\r\nId: one\r\nCold: 5\r\n 000: v\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			headers := make(chan http.Header, 1)
			observe := func(_ string, _ int, header http.Header, _ time.Time) { headers <- header }
			result := sendObserved(t, observe, func(conn *net.TCPConn) net.Conn { return conn }, strings.NewReader("body"), func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, head)
			})
			if result.Ending != Spoiled {
				t.Errorf("the request ends %s, %s", result.Ending, result.Detail)
			}
			select {
			case header := <-headers:
				t.Errorf("the endpoint is believed %v", header)
			default:
			}
		})
	}
}
