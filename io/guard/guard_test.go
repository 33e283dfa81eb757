package guard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"clementinelock/io/clock"
	"clementinelock/io/guard"
)

const (
	crowdSize = 40
	maxBytes  = 3 << 20
)

// start serves requests by their length; it waits before it answers those for /slow.
func start(t *testing.T, g *guard.Guard) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.Now = clock.New().Now
	server := g.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/slow" {
			time.Sleep(300 * time.Millisecond)
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	go func() { _ = server.Serve(g.Listen(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// dial opens a connection and sends a text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	// The server may close the connection.
	_, _ = io.WriteString(conn, text)
	return conn
}

// expect reads an answer and checks its status and body.
func expect(t *testing.T, conn net.Conn, status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(response.Body)
	if response.StatusCode != status || !strings.Contains(string(got), body) {
		t.Fatalf("status %d with %q, expected %d with %q", response.StatusCode, got, status, body)
	}
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// TestCrowds guards against memory that grows with the number of connections, which send within the limits of one request and stay.
func TestCrowds(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":                          "",
		"unfinished header of short lines": "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3900),
		"header of short lines":            "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3900) + "\r\n",
		"one chunk a byte short":           "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("x", 0x3ffff),
		"chunks of one byte":               "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 100_000),
		"body a byte short":                strings.TrimSuffix(post("/", strings.Repeat("x", 500_000)), "x"),
	} {
		t.Run(name, func(t *testing.T) {
			g := &guard.Guard{MaxBytes: maxBytes, MaxConnections: 64, MaxBodyBytes: 1 << 20}
			address := start(t, g)
			for range crowdSize {
				dial(t, address, text)
				if got := g.Counts().Bytes; got > maxBytes {
					t.Fatalf("%d bytes are held, %d allowed", got, maxBytes)
				}
			}
			time.Sleep(100 * time.Millisecond)
			expect(t, dial(t, address, post("/", "ordinary")), 200, "8")
			if got := g.Counts().Bytes; got > maxBytes {
				t.Errorf("%d bytes are held, %d allowed", got, maxBytes)
			}
		})
	}
}

// TestLargeBodyInCalm guards against limits that a single request meets, and against memory that is not given back.
func TestLargeBodyInCalm(t *testing.T) {
	g := &guard.Guard{MaxBytes: 16 << 20, MaxConnections: 4, MaxBodyBytes: 3 << 20}
	address := start(t, g)
	conn := dial(t, address, "")
	before := g.Counts().Bytes
	for _, size := range []int{0, 100, 1 << 20, 3 << 20, 4 << 20} {
		if _, err := io.WriteString(conn, post("/", strings.Repeat("x", size))); err != nil {
			t.Fatal(err)
		}
		expect(t, conn, 200, fmt.Sprint(size))
	}
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3900)+"\r\n"); err != nil {
		t.Fatal(err)
	}
	expect(t, conn, 200, "0")
	for end := time.Now().Add(5 * time.Second); g.Counts().Bytes > max(before, 32<<10); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("held: %+v", g.Counts())
		}
	}
	if got := g.Counts(); got.Refused+got.Evicted != 0 {
		t.Errorf("a client alone met the limits: %+v", got)
	}
}

// TestConnectionsBeyondTheLimit guards against idle connections that keep out others, and against the end of requests under way.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	g := &guard.Guard{MaxConnections: 6}
	address := start(t, g)
	running := dial(t, address, post("/slow", "under way"))
	time.Sleep(50 * time.Millisecond)
	for range 20 {
		dial(t, address, "")
	}
	expect(t, dial(t, address, post("/", "new")), 200, "3")
	expect(t, running, 200, "9")
	if got := g.Counts(); got.Accounts > 6 {
		t.Errorf("%d connections are open, 6 allowed", got.Accounts)
	}
}

// TestBodyWithoutRoom guards against an answer that ends a client's call for good: a body for which there is no room gets 503 with a
// time to return.
func TestBodyWithoutRoom(t *testing.T) {
	address := start(t, &guard.Guard{MaxBytes: 1 << 20, MaxBodyBytes: 4 << 20})
	conn := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("x", 900_000))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("answer %v, %v; expected 503 with Retry-After", response, err)
	}
}
