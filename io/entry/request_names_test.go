package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// TestNamesOfRequestFields guards against a request that a host and an endpoint read in two ways: the name of a field holds a blank, so that
// the host finds no length under it, and passes the line on.
func TestNamesOfRequestFields(t *testing.T) {
	for _, line := range []string{"Other : v", "Ot her: v", "Content-Length : 3", "Transfer-Encoding : chunked"} {
		t.Run(line, func(t *testing.T) {
			h := startHost(t, 1)
			c := h.dial(t)
			if _, err := fmt.Fprintf(c.conn, "GET /read/x HTTP/1.1\r\nHost: h\r\nId: one\r\n%s\r\n\r\n", line); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.StatusCode != http.StatusBadRequest || h.runs() != 0 {
				t.Errorf("the caller gets %d, and endpoints got %d requests", response.StatusCode, h.runs())
			}
		})
	}
}
