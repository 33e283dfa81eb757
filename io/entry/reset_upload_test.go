package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
	"clementinelock/io/stand"

	"golang.org/x/sys/unix"
)

// earlyAnswer is an answer without a length to an upload that is still being written: its part of a body, how long its end comes after
// it, and how the upload is framed.
type earlyAnswer struct {
	part    int
	wait    time.Duration
	chunked bool
}

// earlyAnswers returns each combination. The longest part is passed on before its end has come.
func earlyAnswers() (all []earlyAnswer) {
	for _, part := range []int{0, 40, 9_000, 200 << 10, 400 << 10} {
		for _, wait := range []time.Duration{0, 2 * time.Millisecond, 30 * time.Millisecond} {
			all = append(all, earlyAnswer{part, wait, false}, earlyAnswer{part, wait, true})
		}
	}
	return all
}

// name encodes the answer in the path of a request.
func (a earlyAnswer) name() string {
	return fmt.Sprintf("%d-%s-%t", a.part, a.wait, a.chunked)
}

// earlyUploads is an entry host, and the one that sends to endpoints, which read the beginning of an upload and answer it.
type earlyUploads struct {
	*host
	// reached holds the ids of the requests that an endpoint has read.
	reached sync.Map
}

// startEarlyUploads starts hosts in front of an endpoint for each answer, which ends its connection by end.
func startEarlyUploads(t *testing.T, way string, answers []earlyAnswer, end func(conn *net.TCPConn, wait time.Duration)) *earlyUploads {
	t.Helper()
	u := &earlyUploads{}
	byName := map[string]earlyAnswer{}
	for _, a := range answers {
		byName[a.name()] = a
	}
	sender := startSender(t, way, &u.host)
	for i := range answers {
		address, stop, err := stand.Serve(func(conn net.Conn) {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil || request.Method != http.MethodPost {
				return
			}
			_, _ = io.CopyN(io.Discard, request.Body, 140_000)
			id := request.Header.Get("Id")
			u.reached.Store(id, true)
			a := byName[strings.TrimPrefix(request.URL.Path, "/write/")]
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n%s", id, strings.Repeat("x", a.part))
			end(conn.(*net.TCPConn), a.wait)
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		sender.change(func(view *fleet.View, _ *routes.Table, _ *pick.Table) {
			view.Endpoints = append(view.Endpoints, roster.Entry{ID: fmt.Sprint("i-early-", i), Service: "s", Zone: "z", Address: address, Slots: 4})
		})
	}
	return u
}

// startSender starts an entry host that sends to endpoints: the one that callers connect to, or one that it hands requests over to.
func startSender(t *testing.T, way string, entered **host) *host {
	t.Helper()
	if way == "direct" {
		*entered = startHost(t, 0)
		return *entered
	}
	helper, address := startHelper(t, 0)
	*entered = startCutHost(t, address)
	return helper
}

// earlyResult is what a caller got of an early answer.
type earlyResult struct {
	status int
	bytes  int64
	err    error
}

// send sends an upload of 600 KB and reads its answer meanwhile.
func (u *earlyUploads) send(t *testing.T, id string, a earlyAnswer) earlyResult {
	c := u.dial(t)
	defer func() { _ = c.conn.Close() }()
	const size = 600_000
	framing, body := fmt.Sprintf("Content-Length: %d", size), strings.Repeat("u", size)
	if a.chunked {
		framing, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	go func() {
		_, _ = fmt.Fprintf(c.conn, "POST /write/%s HTTP/1.1\r\nHost: h\r\nId: %s\r\nDeadline: 2000\r\n%s\r\n\r\n%s", a.name(), id, framing, body)
	}()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return earlyResult{err: err}
	}
	n, err := io.Copy(io.Discard, response.Body)
	return earlyResult{response.StatusCode, n, err}
}

// sendAll sends an upload for each answer at once.
func (u *earlyUploads) sendAll(t *testing.T, answers []earlyAnswer, check func(id string, a earlyAnswer, got earlyResult)) {
	var callers sync.WaitGroup
	for i, a := range answers {
		callers.Go(func() {
			id := fmt.Sprint("up-", i)
			check(id, a, u.send(t, id, a))
		})
	}
	callers.Wait()
}

// earlyRounds is how often each answer is sent: which goroutine of a connection learns of its reset first is left to chance here, and
// set in TestResetSeenByTheWriter of io/pool.
const earlyRounds = 8

// TestResetDuringAnUpload guards against the part of an answer that reaches its caller as a complete one: the endpoint answers without a
// length while the upload is still being written, and resets the connection.
func TestResetDuringAnUpload(t *testing.T) {
	answers := earlyAnswers()
	for _, way := range []string{"direct", "through another host"} {
		for round := range earlyRounds {
			t.Run(fmt.Sprint(way, ", ", round), func(t *testing.T) {
				u := startEarlyUploads(t, way, answers, func(conn *net.TCPConn, wait time.Duration) {
					time.Sleep(wait)
					_ = conn.SetLinger(0)
				})
				u.sendAll(t, answers, func(id string, a earlyAnswer, got earlyResult) {
					_, reached := u.reached.Load(id)
					if got.err == nil && got.status < http.StatusInternalServerError {
						t.Errorf("%s: the caller got status %d with %d bytes as a complete answer", a.name(), got.status, got.bytes)
					}
					if reached && got.status == http.StatusServiceUnavailable {
						t.Errorf("%s: the caller is told that a request which an endpoint has read was not run", a.name())
					}
				})
			})
		}
	}
}

// TestOrderlyEndDuringAnUpload guards against an answer without a length that is withheld or cut short though its endpoint ended its side
// of the connection in good order, while the upload is still being written. Some endpoints read on, others close the connection, which
// resets it since there are bytes that nobody has read.
func TestOrderlyEndDuringAnUpload(t *testing.T) {
	answers := earlyAnswers()
	for name, afterEnd := range map[string]func(conn *net.TCPConn){
		"reads on":      func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		"reads nothing": func(*net.TCPConn) { time.Sleep(300 * time.Millisecond) },
		"closes":        awaitReceived,
	} {
		for _, way := range []string{"direct", "through another host"} {
			t.Run(name+", "+way, func(t *testing.T) {
				u := startEarlyUploads(t, way, answers, func(conn *net.TCPConn, wait time.Duration) {
					time.Sleep(wait)
					_ = conn.CloseWrite()
					afterEnd(conn)
				})
				u.sendAll(t, answers, func(_ string, a earlyAnswer, got earlyResult) {
					if got.err != nil || got.status != http.StatusOK || got.bytes != int64(a.part) {
						t.Errorf("%s: the caller got status %d with %d bytes, %v", a.name(), got.status, got.bytes, got.err)
					}
				})
			})
		}
	}
}

// awaitReceived waits until the peer's system has received all that was sent, and the end: a reset discards the rest.
func awaitReceived(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	for pending := 1; err == nil && pending > 0; time.Sleep(100 * time.Microsecond) {
		_ = raw.Control(func(fd uintptr) { pending, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}
