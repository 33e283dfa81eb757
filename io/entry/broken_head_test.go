package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"clementinelock/core/reach"
)

const brokenBody = "bytes of the endpoint..."

// brokenHeads are heads of answers of which no line may reach a caller, and no body; %s stands for the request's id. The body behind them
// is brokenBody, and the connection ends in good order.
var brokenHeads = map[string]string{
	"a blank before the colon":                 "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nOther : v\r\nContent-Length: 24\r\n\r\n",
	"a blank in a name":                        "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nOt her: v\r\nContent-Length: 24\r\n\r\n",
	"a blank in the name of a length":          "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length : 7\r\n\r\n",
	"two lengths, a blank in one":              "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length : 7\r\nContent-Length: 24\r\n\r\n",
	"a blank in the name of an encoding":       "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding : chunked\r\n\r\n",
	"a blank in the name of another id":        "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nId : other\r\nContent-Length: 24\r\n\r\n",
	"a blank in the name of another stamp":     "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nStamp : t\r\nContent-Length: 24\r\n\r\n",
	"a name that is a blank":                   "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 24\r\nStamp: s\r\n : v\r\n\r\n",
	"a name that begins with a blank":          "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 24\r\nStamp: s\r\n Other: v\r\n\r\n",
	"a name that begins with a tab":            "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 24\r\nStamp: s\r\n\tOther: v\r\n\r\n",
	"a folded length":                          "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nOther: v\r\n Content-Length: 7\r\n\r\n",
	"a blank in the name of an interim answer": "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 24\r\n\r\n",
	"a control byte in the reason phrase":      "HTTP/1.1 200 O\x01K\r\nId: %s\r\nStamp: s\r\nContent-Length: 24\r\n\r\n",
	"a CR in the reason phrase":                "HTTP/1.1 200 O\rK\r\nId: %s\r\nStamp: s\r\nContent-Length: 24\r\n\r\n",
	"a blank in the name of the first field":   "HTTP/1.1 200 OK\r\nOt her: v\r\nId: %s\r\nStamp: s\r\nContent-Length: 24\r\n\r\n",
	"an empty name":                            "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n: v\r\nContent-Length: 24\r\n\r\n",
	"no colon":                                 "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nOther\r\nContent-Length: 24\r\n\r\n",
}

func init() {
	for _, b := range []byte("\x00\x01\t\v\r\x7f\x80\xff/\"(){}<>@,;\\[]?=") {
		brokenHeads[fmt.Sprintf("byte %#02x in a name", b)] = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nOt" + string([]byte{b}) + "her: v\r\nContent-Length: 24\r\n\r\n"
	}
	for _, b := range []byte("\x00\x01\v\r\x1b\x7f") {
		brokenHeads[fmt.Sprintf("byte %#02x in a value", b)] = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nOther: a" + string([]byte{b}) + "b\r\nContent-Length: 24\r\n\r\n"
	}
}

// helperFields are the fields by which another host tells which endpoint has answered.
const helperFields = "Clementinelock-Endpoint: i-0\r\nClementinelock-Reached: 1\r\n"

// brokenWays are the ways on which a broken answer comes: from an endpoint, from an endpoint of a host that requests are handed over to,
// and from that host.
var brokenWays = []string{"direct", "endpoint of a helper", "helper"}

// startBroken starts a host whose endpoints, or whose helper, serve requests by a function.
func startBroken(t *testing.T, way string, answer func(conn net.Conn, request *http.Request, body []byte) bool) *host {
	t.Helper()
	switch way {
	case "direct":
		h := startHost(t, 2)
		h.setAnswer(answer)
		return h
	case "endpoint of a helper":
		helper, address := startHelper(t, 2)
		helper.setAnswer(answer)
		return startCutHost(t, address)
	}
	address := startFakeHelper(t, func(conn net.Conn, request *http.Request) bool { return answer(conn, request, nil) })
	h := startCutHost(t, address)
	h.server.SetPeers([]reach.Helper{{Name: address, Region: "r", Zone: "z"}}, nil)
	return h
}

// testBroken sends a request whose endpoints answer it by broken answers of the given text. The caller gets a failure that promises
// nothing, an unsafe request runs once, and the next request on the caller's connection gets its own answer, which is tested directly.
func testBroken(t *testing.T, way, method, text string) {
	if way == "helper" {
		text = strings.Replace(text, "Id: %s\r\n", "Id: %s\r\n"+helperFields, 1)
	}
	var runs atomic.Int64
	h := startBroken(t, way, func(conn net.Conn, request *http.Request, body []byte) bool {
		id := request.Header.Get("Id")
		if id != "broken" {
			return echo(conn, request, body)
		}
		runs.Add(1)
		_, _ = fmt.Fprintf(conn, text, id)
		// The connection stays open in one case, and ends in good order in the other.
		return method == "GET"
	})
	path := map[string]string{"GET": "/read/", "POST": "/write/"}[method]
	c := h.dial(t)
	c.send(method, path+"broken", "broken", "")
	response, body, err := c.readAnswer()
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadGateway || body != "" || response.Header.Get("Stamp") != "" || response.Header.Get("Other") != "" {
		t.Errorf("the caller got %d with %q, %v", response.StatusCode, body, response.Header)
	}
	if got, most := runs.Load(), map[string]int64{"GET": 2, "POST": 1}[method]; got > most || got == 0 {
		t.Errorf("the request ran %d times, %d allowed", got, most)
	}
	if way != "direct" {
		return
	}
	// Endpoints that failed get no requests for a time.
	time.Sleep(700 * time.Millisecond)
	c.send(method, path+"next", "next", "")
	c.expect("next", http.StatusOK, method+" "+path+"next ")
}

// TestBrokenHeads guards against an answer whose head has a line that is no field: net/http lets blanks in names pass and joins a line
// that begins with a blank to the one before it, so that the caller gets that line, another length or another stamp.
func TestBrokenHeads(t *testing.T) {
	for name, head := range brokenHeads {
		for _, way := range brokenWays {
			for _, method := range []string{"GET", "POST"} {
				t.Run(fmt.Sprint(name, ", ", way, ", ", method), func(t *testing.T) {
					t.Parallel()
					testBroken(t, way, method, head+brokenBody)
				})
			}
		}
	}
}

// TestBrokenTrailers does the same for the fields behind a body in chunks.
func TestBrokenTrailers(t *testing.T) {
	for name, trailer := range map[string]string{
		"a blank before the colon": "Other : v\r\n", "a blank in a name": "Ot her: v\r\n", "a blank in another stamp": "Stamp : t\r\n",
		"a control byte in a name": "Ot\x01her: v\r\n", "a control byte in a value": "Other: \x01\r\n", "a name that is a blank": " : v\r\n",
	} {
		for _, way := range brokenWays {
			for _, method := range []string{"GET", "POST"} {
				t.Run(fmt.Sprint(name, ", ", way, ", ", method), func(t *testing.T) {
					t.Parallel()
					testBroken(t, way, method, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n"+trailer+"\r\n")
				})
			}
		}
	}
}

// TestSafeRequestAfterABrokenHead guards against a safe request that fails although another endpoint could have answered it.
func TestSafeRequestAfterABrokenHead(t *testing.T) {
	h := startHost(t, 2)
	var broken atomic.Bool
	h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		if broken.CompareAndSwap(false, true) {
			_, _ = fmt.Fprintf(conn, brokenHeads["a blank in a name"]+brokenBody, request.Header.Get("Id"))
			return false
		}
		return echo(conn, request, body)
	})
	c := h.dial(t)
	c.send("GET", "/read/x", "one", "")
	c.expect("one", http.StatusOK, "GET /read/x ")
	if runs := h.runs(); runs != 2 {
		t.Errorf("endpoints received the request %d times, expected 2", runs)
	}
	if ending := h.record(t, "one"); ending.Attempts != 2 {
		t.Errorf("the record has %d attempts", ending.Attempts)
	}
}

// TestOddHeads guards against an answer that is refused though its head is one: with any byte that a name or a value may hold, without a
// reason phrase, with line feeds alone at the ends of lines, behind interim answers, long, or byte by byte.
func TestOddHeads(t *testing.T) {
	const fields = "Id: one\r\nStamp: s\r\nContent-Length: 5\r\n"
	for name, head := range map[string]string{
		"each byte of names":       "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\n" + fields + "\r\n",
		"each byte of values":      "HTTP/1.1 200 OK\r\nOther:\ta \t~\x80\xff:\t \r\n" + fields + "\r\n",
		"an empty value":           "HTTP/1.1 200 OK\r\nOther:\r\nAnother: \r\n" + fields + "\r\n",
		"no reason phrase":         "HTTP/1.1 200 \r\n" + fields + "\r\n",
		"no blank after the code":  "HTTP/1.1 200\r\n" + fields + "\r\n",
		"blanks before the code":   "HTTP/1.1   200 OK\r\n" + fields + "\r\n",
		"bytes in a reason phrase": "HTTP/1.1 200 O\tK: \x80\xff\r\n" + fields + "\r\n",
		"line feeds alone":         strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+"\r\n", "\r\n", "\n"),
		"interim answers":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\nA: b\r\n\r\nHTTP/1.1 103 X\n\nHTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"a long head":              "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 50_000) + "\r\n" + fields + "\r\n",
		"many fields":              "HTTP/1.1 200 OK\r\n" + strings.Repeat("Field: x\r\n", 2000) + fields + "\r\n",
	} {
		for _, slow := range []bool{false, true} {
			if slow && len(head) > 1000 {
				continue
			}
			t.Run(fmt.Sprint(name, ", byte by byte ", slow), func(t *testing.T) {
				t.Parallel()
				h := startHost(t, 1)
				h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
					if request.Header.Get("Id") != "one" {
						return echo(conn, request, body)
					}
					if !slow {
						_, err := io.WriteString(conn, head+"whole")
						return err == nil
					}
					for _, b := range []byte(head + "whole") {
						if _, err := conn.Write([]byte{b}); err != nil {
							return false
						}
						time.Sleep(100 * time.Microsecond)
					}
					return true
				})
				c := h.dial(t)
				c.send("GET", "/read/x", "one", "")
				c.expect("one", http.StatusOK, "whole")
				c.send("GET", "/read/next", "two", "")
				c.expect("two", http.StatusOK, "GET /read/next ")
				if accepted := h.endpoints[0].conns.Load(); accepted != 1 {
					t.Errorf("the endpoint accepted %d connections, expected one for both requests", accepted)
				}
			})
		}
	}
}
