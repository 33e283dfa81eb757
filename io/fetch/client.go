package fetch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/io/proto"
	"clementinelock/io/wire"
)

// Limits of connections to endpoints and of their load reports.
const (
	dialTimeout     = 300 * time.Millisecond
	idleConnTimeout = time.Second
	pollTimeout     = 400 * time.Millisecond
	maxReportBytes  = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

// Request is a caller's request as it is sent to an endpoint.
type Request struct {
	Method string
	// Target is the path with the query.
	Target  string
	Host    string
	Header  http.Header
	Trailer http.Header
	// Prefix is the part of the body that was read ahead; Rest streams the remainder, or is nil.
	Prefix []byte
	Rest   io.Reader
	Length int64
	// Idempotent reports whether the request may run twice, and so may be sent on a shared connection.
	Idempotent bool
}

// Client sends requests to endpoints.
type Client struct {
	shared   *wire.Transport
	unshared *wire.Transport
	// returnsID holds, by endpoint, whether its latest answer returned the id of its attempt. Only such an endpoint's
	// connections are shared: a late second copy of an answer is told from the answer that is expected by its id.
	returnsID sync.Map
}

// New returns a client that opens at most the given number of connections to one endpoint, of shared and of unshared
// ones each.
func New(connections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	shared := &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	fresh := shared.Clone()
	fresh.DisableKeepAlives = true
	return &Client{shared: wire.NewTransport(shared), unshared: wire.NewTransport(fresh)}
}

// Attempt is one attempt to send a request to an endpoint.
type Attempt struct {
	Response  *http.Response
	StartTime time.Time
	sent      atomic.Int64
	gotConn   atomic.Bool
	id        string
	endpoint  string
	cancel    context.CancelFunc
}

// Cancel aborts the attempt.
func (a *Attempt) Cancel() {
	a.cancel()
}

// Sent returns how many bytes of the request body the transport has read for sending.
func (a *Attempt) Sent() int64 {
	return a.sent.Load()
}

// Start sends the request and returns once the head of the answer has arrived; fresh asks for an unshared connection. On
// an error, the end says whether any byte of the request may have been sent.
func (c *Client) Start(ctx context.Context, r *Request, endpoint string, remaining core.Millis, fresh bool) (*Attempt, *call.End) {
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	a := &Attempt{StartTime: time.Now(), id: strconv.FormatUint(rand.Uint64(), 16), endpoint: endpoint, cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.gotConn.Store(true) }}
	request, err := a.build(httptrace.WithClientTrace(ctx, trace), r, endpoint, remaining)
	if err != nil {
		cancel()
		return nil, &call.End{Ending: call.NotSent, Detail: err.Error()}
	}
	transport := c.shared
	if returns, _ := c.returnsID.Load(endpoint); returns != true || fresh || !r.Idempotent || r.Length == 0 && bodyMethods[r.Method] {
		transport = c.unshared
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		end := a.errorEnd(err)
		end.EndpointGone = end.Ending == call.Broken && !isOwnEnd(err) && isRefused(endpoint)
		cancel()
		return nil, end
	}
	a.Response = response
	got := response.Header.Get(proto.RequestID)
	c.returnsID.Store(endpoint, got == a.id)
	if got != a.id && (got != "" || transport == c.shared) {
		// Cancelling closes the connection, on which the expected answer may still follow.
		cancel()
		_ = response.Body.Close()
		return nil, &call.End{Ending: call.Broken, Latency: a.latency(), Detail: fmt.Sprintf("answer has id %q of another attempt", got)}
	}
	return a, nil
}

func (a *Attempt) errorEnd(err error) *call.End {
	end := &call.End{Ending: call.Broken, Latency: a.latency(), Detail: shortError(err), Abandoned: isOwnEnd(err)}
	if !a.gotConn.Load() {
		end.Ending = call.NotSent
	}
	return end
}

// isOwnEnd reports whether this host ended the attempt, by its deadline or because it was cancelled.
func isOwnEnd(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// isRefused reports whether the address refuses connections, as that of a process that has ended does.
func isRefused(address string) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return isConnRefused(err)
	}
	_ = conn.Close()
	return false
}

func isConnRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

func shortError(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer within the deadline"
	}
	if errors.Is(err, context.Canceled) {
		return "cancelled"
	}
	return err.Error()
}

func (a *Attempt) latency() core.Millis {
	return core.Millis(time.Since(a.StartTime).Round(time.Millisecond).Milliseconds())
}

func (a *Attempt) build(ctx context.Context, r *Request, endpoint string, remaining core.Millis) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+endpoint+r.Target, nil)
	if err != nil {
		return nil, err
	}
	request.Header = endToEnd(r.Header)
	request.Header.Set(proto.RequestID, a.id)
	request.Header.Set(proto.Deadline, strconv.FormatInt(int64(remaining), 10))
	request.Host = r.Host
	request.Trailer = r.Trailer
	request.ContentLength = r.Length
	if r.Length == 0 && r.Rest == nil {
		// An empty body that is not nil keeps the transport from resending the request by itself on a broken shared
		// connection: only the entry host decides on retries.
		if !bodyMethods[r.Method] {
			request.Body = io.NopCloser(strings.NewReader(""))
		}
		return request, nil
	}
	var body io.Reader = bytes.NewReader(r.Prefix)
	if r.Rest != nil {
		body = io.MultiReader(body, r.Rest)
	}
	// Without GetBody, the transport can't resend the body by itself.
	request.Body = io.NopCloser(&countingReader{body, &a.sent})
	return request, nil
}

// bodyMethods holds the methods for which the transport would send an empty body with chunked encoding; requests with
// these methods and no body are sent on unshared connections.
var bodyMethods = map[string]bool{http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true}

type countingReader struct {
	io.Reader
	count *atomic.Int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// hopHeaders holds the hop-by-hop headers.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd returns a copy of the headers without the hop-by-hop ones.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// AnswerHeader returns a copy of the answer's headers without the hop-by-hop ones.
func (a *Attempt) AnswerHeader() http.Header {
	header := endToEnd(a.Response.Header)
	header.Del(proto.RequestID)
	return header
}

// Head returns the answer's status, whether the request did not run, and the load report.
func (a *Attempt) Head() call.Head {
	header := a.Response.Header
	var retryAfter core.Millis
	if a.Response.StatusCode == http.StatusServiceUnavailable {
		// A value that can't be read asks for nothing.
		retryAfter, _ = proto.ParseRetryAfter(header.Get("Retry-After"))
	}
	// A value that can't be read names no limit.
	limit, named, _ := proto.ParseLimit(header, proto.Limit)
	return call.Head{
		Status: a.Response.StatusCode, Limit: limit, LimitNamed: named,
		NotRun: a.Response.StatusCode == http.StatusServiceUnavailable && header.Get(proto.Ran) == string(core.RanNo),
		Report: proto.ParseLoad(header.Get(proto.Load)), RetryAfter: retryAfter,
	}
}

// Copy writes the answer's body to the writer and keeps up to capture bytes of it; the end says whether the body was
// complete. If capture is negative, nothing is kept and a failed write ends the copy; otherwise the rest of the body is
// still read.
func (a *Attempt) Copy(w io.Writer, capture int64, flush func()) (end call.End, bytesRead int64, writeErr error) {
	defer a.cancel()
	defer func() { _ = a.Response.Body.Close() }()
	kept := []byte{}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := a.Response.Body.Read(buffer)
		bytesRead += int64(n)
		if room := capture - int64(len(kept)); room > 0 {
			kept = append(kept, buffer[:min(int64(n), room)]...)
		}
		if n > 0 && writeErr == nil {
			_, writeErr = w.Write(buffer[:n])
			flush()
		}
		if writeErr != nil && capture < 0 {
			return call.End{Ending: call.Truncated, Latency: a.latency(), Detail: "the caller has gone"}, bytesRead, writeErr
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			end := call.End{Ending: call.Truncated, Latency: a.latency(), Detail: shortError(err)}
			end.EndpointGone = !isOwnEnd(err) && isRefused(a.endpoint)
			return end, bytesRead, writeErr
		}
	}
	return a.completeEnd(capture, kept, bytesRead), bytesRead, writeErr
}

const copyBufferBytes = 32 << 10

func (a *Attempt) completeEnd(capture int64, kept []byte, size int64) call.End {
	end := call.End{Ending: call.Whole, Latency: a.latency()}
	if capture < 0 {
		return end
	}
	end.Answer = &core.StoredAnswer{Status: a.Response.StatusCode, Header: a.AnswerHeader(), Whole: size <= capture}
	if end.Answer.Whole {
		end.Answer.Body = kept
	}
	return end
}

// Discard aborts the attempt and drops its answer.
func (a *Attempt) Discard() call.End {
	a.cancel()
	_ = a.Response.Body.Close()
	return call.End{Ending: call.Truncated, Latency: a.latency(), Detail: "not used"}
}

// Poll requests an endpoint's load report; an answer without one gives the zero report.
func (c *Client) Poll(ctx context.Context, endpoint string) (core.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint+proto.LoadPath, nil)
	if err != nil {
		return core.Report{}, err
	}
	response, err := c.shared.RoundTrip(request)
	if err != nil {
		return core.Report{}, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return core.Report{}, err
	}
	report := proto.ParseLoad(response.Header.Get(proto.Load))
	if report == nil {
		return core.Report{}, nil
	}
	return *report, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.unshared.CloseIdleConnections()
}
