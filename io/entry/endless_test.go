package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// endless is an endpoint's bytes that end only when the connection is closed: a beginning, and a part that is repeated.
type endless struct {
	name   string
	begin  func(request *http.Request) string
	repeat string
	// isAnswer is set if the bytes are an answer to the request, which is passed on as it comes.
	isAnswer bool
}

var filler = strings.Repeat("x", 32<<10)

var endlessBytes = []endless{
	{"status line", func(*http.Request) string { return "HTTP/1.1 200 " }, filler, false},
	{"field", func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-Field: " }, filler, false},
	{"fields", func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" }, strings.Repeat("X-Field: value\r\n", 2048), false},
	{"interim answers", func(*http.Request) string { return "" }, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 1024), false},
	{"body of another answer", func(*http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: other\r\nStamp: s\r\nContent-Length: 100000000000\r\n\r\n"
	}, filler, false},
	{"answers to other requests", func(*http.Request) string { return "" }, strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody", 1024), false},
	{"chunk size", func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	}, strings.Repeat("0", 32<<10), false},
	{"trailer", func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", r.Header.Get("Id"))
	}, strings.Repeat("X-Field: value\r\n", 2048), false},
	{"body", func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n", r.Header.Get("Id"))
	}, filler, true},
}

// Bounds on what endless bytes cost a host; the smallest one has 184 MB for all of its requests.
const (
	maxEndlessMemory = 32 << 20
	endlessRequests  = 16
	// maxUnusedBytes is what a host reads of bytes that are no answer, with what the connection itself holds.
	maxUnusedBytes = 12 << 20
)

// peakMemory returns the largest growth of the memory in use until the returned function is called.
func peakMemory() (stop func() int64) {
	runtime.GC()
	var first runtime.MemStats
	runtime.ReadMemStats(&first)
	done, peak := make(chan struct{}), make(chan int64)
	go func() {
		most := int64(0)
		for {
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				most = max(most, int64(now.HeapInuse)-int64(first.HeapInuse))
			}
		}
	}()
	return func() int64 { close(done); return <-peak }
}

// TestBytesWithoutEnd guards against a host that runs out of memory, or reads on until the deadline, when endpoints send
// bytes without end in a head or a body: their callers are answered, and so is the next request.
func TestBytesWithoutEnd(t *testing.T) {
	for _, each := range endlessBytes {
		t.Run(each.name, func(t *testing.T) {
			h := startHost(t, 4)
			var written atomic.Int64
			// The endpoints are in the same process, and must not add to the memory that is measured.
			repeat := []byte(each.repeat)
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				if !strings.HasPrefix(request.RequestURI, "/write/endless") {
					return echo(conn, request, body)
				}
				n, err := io.WriteString(conn, each.begin(request))
				for written.Add(int64(n)); err == nil; written.Add(int64(n)) {
					n, err = conn.Write(repeat)
				}
				return false
			})
			stop := peakMemory()
			var callers sync.WaitGroup
			for i := range endlessRequests {
				c := h.dial(t)
				callers.Add(1)
				go func() {
					defer callers.Done()
					c.send("POST", "/write/endless", fmt.Sprint("r", i), "")
					c.checkEndless(fmt.Sprint("r", i), each.isAnswer)
				}()
			}
			callers.Wait()
			grown := stop()
			t.Logf("%d requests took %d MB of memory", endlessRequests, grown>>20)
			if grown > maxEndlessMemory {
				t.Errorf("%d requests took %d MB of memory, %d allowed", endlessRequests, grown>>20, maxEndlessMemory>>20)
			}
			if read := written.Load() / endlessRequests; !each.isAnswer && read > maxUnusedBytes {
				t.Errorf("an endpoint could send %d MB that are no answer, %d allowed", read>>20, maxUnusedBytes>>20)
			}
			// Endpoints that failed get no requests for up to 4 s.
			for end, i := time.Now().Add(5*time.Second), 0; ; i++ {
				c := h.dial(t)
				c.send("GET", "/read/next", fmt.Sprint("next", i), "")
				if response, _, err := c.readAnswer(); err == nil && response.StatusCode == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					t.Fatal("no request is served any more")
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// checkEndless reads the answer to a request whose endpoint sends bytes without end: a failure of the host or, if they are
// an answer, its beginning.
func (c *caller) checkEndless(id string, isAnswer bool) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("request %s: %v", id, err)
		return
	}
	if !isAnswer {
		// A request that no endpoint is left for is refused. Only one that waits until its deadline gets 504.
		if response.StatusCode != http.StatusBadGateway && response.StatusCode != http.StatusServiceUnavailable {
			c.t.Errorf("request %s got status %d, expected 502 or 503 at once", id, response.StatusCode)
		}
		return
	}
	if n, err := io.CopyN(io.Discard, response.Body, 8<<20); err != nil || response.StatusCode != http.StatusOK {
		c.t.Errorf("request %s got status %d and %d bytes, %v", id, response.StatusCode, n, err)
	}
	_ = c.conn.Close()
}
