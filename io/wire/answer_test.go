package wire_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"clementinelock/io/stand"
	"clementinelock/io/wire"
)

// answers are the bytes of answers, and whether each is one.
var answers = []struct {
	name, text string
	whole      bool
}{
	{"a field", "HTTP/1.1 200 OK\r\nOther: v\r\nContent-Length: 5\r\n\r\nwhole", true},
	{"an interim answer", "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true},
	{"odd bytes", "HTTP/1.1 200 O\tK \xff\r\n!#$%&'*+-.^_`|~: \t\xff:\t\r\nContent-Length: 5\r\n\r\nwhole", true},
	{"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nOther: v\r\n\r\n", true},
	{"an announced trailer that does not come", "HTTP/1.1 200 OK\r\nTrailer: Ot her\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
	{"a body that looks like a head", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n : \r\n", true},
	{"a blank before the colon", "HTTP/1.1 200 OK\r\nOther : v\r\nContent-Length: 5\r\n\r\nwhole", false},
	{"a blank in a name", "HTTP/1.1 200 OK\r\nOt her: v\r\nContent-Length: 5\r\n\r\nwhole", false},
	{"a blank in the name of a length", "HTTP/1.1 200 OK\r\nContent-Length : 7\r\n\r\nbytes that are more than seven", false},
	{"a name that is a blank", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nOther: v\r\n : v\r\n\r\nwhole", false},
	{"a line that begins with a tab", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nOther: v\r\n\tOther: v\r\n\r\nwhole", false},
	{"a folded length", "HTTP/1.1 200 OK\r\nOther: v\r\n Content-Length: 7\r\n\r\nbytes that are more than seven", false},
	{"a blank in a name of an interim answer", "HTTP/1.1 103 X\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false},
	{"a control byte in the reason phrase", "HTTP/1.1 200 \x01\r\nContent-Length: 5\r\n\r\nwhole", false},
	{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false},
	{"status 099 without a reason phrase", "HTTP/1.1 099\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false},
	{"status 101", "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false},
	{"a blank in a name of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nOt her: v\r\n\r\n", false},
}

// sendInParts writes a text whole, or byte by byte.
func sendInParts(conn net.Conn, text string, slow bool) (err error) {
	size := len(text)
	if slow {
		size = 1
	}
	for ; text != "" && err == nil; text = text[size:] {
		if _, err = io.WriteString(conn, text[:size]); slow {
			time.Sleep(50 * time.Microsecond)
		}
	}
	return err
}

// TestTransport guards against an answer of the other side that is none and is returned by a client of net/http, as the first one of its
// connection or behind another one; the connection stays open, so that the end of it tells nothing.
func TestTransport(t *testing.T) {
	for _, a := range answers {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprint(a.name, ", byte by byte ", slow), func(t *testing.T) {
				t.Parallel()
				address, stop, err := stand.Serve(func(conn net.Conn) {
					for reader := bufio.NewReader(conn); ; {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						text := a.text
						if request.URL.Path == "/good" {
							text = answers[0].text
						}
						if sendInParts(conn, text, slow) != nil {
							return
						}
					}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer stop()
				transport := wire.NewTransport(&http.Transport{})
				defer transport.CloseIdleConnections()
				get := func(path string) error {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
					if err != nil {
						return err
					}
					response, err := transport.RoundTrip(request)
					if err != nil {
						return err
					}
					defer func() { _ = response.Body.Close() }()
					_, err = io.Copy(io.Discard, response.Body)
					return err
				}
				for _, path := range []string{"/", "/good", "/"} {
					began := time.Now()
					if err := get(path); (err == nil) != (a.whole || path == "/good") {
						t.Errorf("path %s: %v", path, err)
					}
					if took := time.Since(began); took > 2*time.Second {
						t.Errorf("path %s took %s", path, took)
					}
				}
			})
		}
	}
}

// TestAnswersOfOneConnection guards against heads that are not checked since they were read ahead with the body of the answer before.
func TestAnswersOfOneConnection(t *testing.T) {
	for _, a := range answers {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprint(a.name, ", byte by byte ", slow), func(t *testing.T) {
				t.Parallel()
				here, there := connect(t)
				go func() { _ = sendInParts(there, answers[3].text+answers[0].text+answers[1].text+a.text, slow) }()
				_ = here.SetReadDeadline(time.Now().Add(5 * time.Second))
				conn := wire.NewConn(here)
				reader := bufio.NewReader(conn)
				for i := range 4 {
					response, err := conn.ReadAnswer(reader, http.MethodGet)
					text := ""
					if err == nil {
						var data []byte
						data, err = io.ReadAll(response.Body)
						text = string(data)
					}
					if i < 3 && (err != nil || text != "whole") {
						t.Fatalf("answer %d: %q, %v", i, text, err)
					}
					if i == 3 && (err == nil) != a.whole {
						t.Errorf("the last answer: %q, %v", text, err)
					}
				}
			})
		}
	}
}

// TestTransportOverTLS guards against encrypted bytes that are checked as a head.
func TestTransportOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer server.Close()
	transport := wire.NewTransport(server.Client().Transport.(*http.Transport))
	for range 2 {
		request, err := http.NewRequest(http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(response.Body); err != nil || string(data) != "whole" {
			t.Errorf("the answer is %q, %v", data, err)
		}
		_ = response.Body.Close()
	}
}
