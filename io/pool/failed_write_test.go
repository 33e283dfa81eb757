package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"clementinelock/io/proto"
	"clementinelock/io/stand"
)

// sendUpload sends a request of unknown length on a connection to an endpoint that serves it by a function.
func sendUpload(t *testing.T, wrap func(*net.TCPConn) net.Conn, body io.Reader, serve func(conn *net.TCPConn)) Result {
	t.Helper()
	return sendObserved(t, nil, wrap, body, serve)
}

// onHeader is told of the header of each answer.
type onHeader = func(endpoint string, status int, header http.Header, sentAt time.Time)

// sendObserved does the same in a pool whose OnHeader is given.
func sendObserved(t *testing.T, observe onHeader, wrap func(*net.TCPConn) net.Conn, body io.Reader, serve func(conn *net.TCPConn)) Result {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			serve(conn.(*net.TCPConn))
		}
	}()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p := &Pool{Dialect: proto.Dialect{RequestID: "Id", Deadline: "Deadline"}, OnHeader: observe, open: 1}
	c := newConnection(p, "x", wrap(dialled.(*net.TCPConn)))
	c.acquire()
	go c.readLoop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	request := &Request{ID: "one", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"one"}}, Rest: body, Length: -1}
	return c.roundTrip(ctx, request, Target{Deadline: time.Now().Add(5 * time.Second)})
}

// TestAnswerBeforeAFailedWrite guards against a complete answer that is withheld since the write of the request failed before the answer
// was read: the endpoint has sent it whole and closed the connection.
func TestAnswerBeforeAFailedWrite(t *testing.T) {
	for name, framing := range map[string]string{"with a length": "Content-Length: 4\r\n", "without a length": ""} {
		for _, reset := range []error{syscall.EPIPE, syscall.ECONNRESET} {
			if framing == "" && errors.Is(reset, syscall.ECONNRESET) {
				// Such an answer is not complete.
				continue
			}
			t.Run(name+", "+reset.Error(), func(t *testing.T) {
				wrap := func(conn *net.TCPConn) net.Conn { return stand.NewLateReadConn(conn) }
				result := sendUpload(t, wrap, stand.EndlessBody{}, func(conn *net.TCPConn) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\n"+framing+"\r\nbody")
					if errors.Is(reset, syscall.EPIPE) {
						_ = conn.CloseWrite()
					}
					time.Sleep(stand.LateReadPause)
					_ = conn.SetLinger(0)
				})
				if result.Answer == nil || !result.Answer.Whole || string(result.Answer.Body) != "body" {
					t.Errorf("the request ends %s, %s", result.Ending, result.Detail)
				}
			})
		}
	}
}

// abandonedReader returns an error once the request has been answered.
type abandonedReader struct{ answered chan struct{} }

func (r *abandonedReader) Read([]byte) (int, error) {
	<-r.answered
	return 0, errors.New("request was answered before its body was read")
}

// TestLongAnswerOutlastsItsRequest guards against a long answer that is cut short while it is passed on, since the rest of the request's
// body is not read any more.
func TestLongAnswerOutlastsItsRequest(t *testing.T) {
	const size = 2 * maxBufferedBody
	answered, more := make(chan struct{}), make(chan struct{})
	result := sendUpload(t, func(conn *net.TCPConn) net.Conn { return conn }, &abandonedReader{answered}, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\n\r\n"+strings.Repeat("x", maxBufferedBody))
		<-more
		_, _ = io.WriteString(conn, strings.Repeat("x", size-maxBufferedBody))
		_ = conn.CloseWrite()
	})
	if result.Answer == nil || result.Answer.Rest == nil {
		t.Fatalf("the request ends %s, %s", result.Ending, result.Detail)
	}
	defer result.Discard()
	close(answered)
	time.AfterFunc(stand.LateReadPause, func() { close(more) })
	n, err := io.Copy(io.Discard, result.Answer.Rest)
	if total := int64(len(result.Answer.Body)) + n; total != size || err != nil {
		t.Errorf("the answer has %d bytes, %v; expected %d", total, err, size)
	}
}
