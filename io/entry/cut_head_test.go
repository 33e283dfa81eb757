package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"clementinelock/core/reach"
)

// framings are the ways in which an answer tells its end.
var framings = []struct{ name, header, body string }{
	{"with a length", "Content-Length: 5\r\n", "whole"},
	{"empty", "Content-Length: 0\r\n", ""},
	{"in chunks", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
	{"to the end of the connection", "Connection: close\r\n", "whole"},
	{"without any framing", "", "whole"},
	{"folded", "Other: a\r\n b\r\nContent-Length: 5\r\n", "whole"},
	{"after an interim answer", "Content-Length: 5\r\n", "whole"},
}

// cutAnswer returns the bytes of an answer and the length of its head.
func cutAnswer(framing int, id string, headers string) (text string, head int) {
	f := framings[framing]
	text = "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\n" + headers + f.header + "\r\n"
	if strings.HasPrefix(f.name, "after") {
		text = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text
	}
	return text + f.body, len(text)
}

// TestHeadCutAtEachByte guards against an answer that ends in the middle of its head and reaches the caller as a whole one with
// an empty or short body, directly and through another host, whichever of both connections ends.
func TestHeadCutAtEachByte(t *testing.T) {
	for framing, f := range framings {
		for _, way := range []string{"direct", "endpoint of a helper", "helper"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(f.name, ", ", way, ", reset ", reset), func(t *testing.T) {
					t.Parallel()
					testCutHead(t, framing, way, reset)
				})
			}
		}
	}
}

func testCutHead(t *testing.T, framing int, way string, reset bool) {
	cut := 0
	answer := func(conn net.Conn, request *http.Request, body []byte) bool {
		id := request.Header.Get("Id")
		if strings.HasPrefix(id, "good") {
			return echo(conn, request, body)
		}
		headers := ""
		if way == "helper" {
			headers = "Clementinelock-Endpoint: i-0\r\nClementinelock-Reached: 1\r\n"
		}
		text, _ := cutAnswer(framing, id, headers)
		_, _ = io.WriteString(conn, text[:cut])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
	var h *host
	know := func() {}
	switch way {
	case "direct":
		h = startHost(t, 1)
		h.setAnswer(answer)
	case "endpoint of a helper":
		helper, address := startHelper(t, 1)
		helper.setAnswer(answer)
		h = startCutHost(t, address)
	case "helper":
		address := startFakeHelper(t, func(conn net.Conn, request *http.Request) bool { return answer(conn, request, nil) })
		h = startCutHost(t, address)
		// A helper that breaks off gets nothing for a while.
		know = func() {
			h.server.SetPeers(nil, nil)
			h.server.SetPeers([]reach.Helper{{Name: address, Region: "r", Zone: "z"}}, nil)
		}
	}
	caller := h.dial(t)
	headers := ""
	if way == "helper" {
		headers = "Clementinelock-Endpoint: i-0\r\nClementinelock-Reached: 1\r\n"
	}
	_, head := cutAnswer(framing, "cut0000", headers)
	for cut = 0; cut < head; cut++ {
		know()
		// Endpoints that fail again and again get no requests for a time.
		good := fmt.Sprint("good", cut)
		caller.send("POST", "/write/x", good, "")
		caller.expect(good, http.StatusOK, "POST /write/x ")
		know()
		id := fmt.Sprintf("cut%04d", cut)
		caller.send("POST", "/write/x", id, "")
		response, body, err := caller.readAnswer()
		if err != nil {
			t.Fatalf("cut after byte %d: %v", cut, err)
		}
		if response.StatusCode != http.StatusBadGateway {
			t.Errorf("cut after byte %d of %d: the caller gets %d with %q", cut, head, response.StatusCode, body)
		}
		if h.record(t, id).Status != response.StatusCode {
			t.Errorf("cut after byte %d: the record has another status", cut)
		}
	}
}
