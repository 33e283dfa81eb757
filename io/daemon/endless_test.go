package daemon_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinelock/io/proto"
)

// TestHeadsWithoutEnd guards against a host of a tree's deployment whose memory grows while endpoints send heads without
// end, and against a stream without end that is kept.
func TestHeadsWithoutEnd(t *testing.T) {
	const (
		requests  = 16
		maxMemory = 32 << 20
	)
	o := startOneHost(t)
	for name, begin := range map[string]string{
		"line":   "HTTP/1.1 200 ",
		"fields": "HTTP/1.1 200 OK\r\nX-Field: ",
		"body":   "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			endless := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				// The endpoint is in the same process, and must not add to the memory that is measured.
				part := []byte(strings.Repeat("x", 32<<10))
				for _, err = io.WriteString(conn, begin); err == nil; {
					_, err = conn.Write(part)
				}
			})
			o.handler.Store(&endless)
			runtime.GC()
			var first, now runtime.MemStats
			runtime.ReadMemStats(&first)
			var callers sync.WaitGroup
			for range requests {
				callers.Add(1)
				go func() {
					defer callers.Done()
					response, err := http.Get("http://" + hostAddress + proto.ServicePath + "s/endless")
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, response.Body, 16<<20)
					_ = response.Body.Close()
				}()
			}
			done := make(chan struct{})
			go func() { callers.Wait(); close(done) }()
			most := uint64(0)
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
					runtime.ReadMemStats(&now)
					most = max(most, now.HeapInuse)
				}
			}
			if grown := int64(most) - int64(first.HeapInuse); grown > maxMemory {
				t.Errorf("%d requests took %d MB of memory, %d allowed", requests, grown>>20, maxMemory>>20)
			}
		})
	}
}
