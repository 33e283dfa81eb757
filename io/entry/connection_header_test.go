package entry_test

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// TestConnectionHeaderNamesTheID guards against a request, or an answer, that loses its id or its stamp on the way because its
// Connection header names these, and is then taken for that of another request.
func TestConnectionHeaderNamesTheID(t *testing.T) {
	for _, handed := range []bool{false, true} {
		helper, address := startHelper(t, 1)
		helper.setAnswer(func(conn net.Conn, request *http.Request, _ []byte) bool {
			_, err := io.WriteString(conn, reply(request, 200, "seen "+request.Header.Get("Private"), "Connection: Stamp, ID, private", "Private: 1"))
			return err == nil
		})
		h := helper
		if handed {
			h = startCutHost(t, address)
		}
		c := h.dial(t)
		c.send("POST", "/write/x", "one", "", "Connection: Id, Private", "Private: 1")
		response := c.expect("one", http.StatusOK, "seen ")
		if response.Header.Get("Stamp") != "s" || response.Header.Get("Private") != "" {
			t.Errorf("handed over %t: the caller gets %v", handed, response.Header)
		}
	}
}
