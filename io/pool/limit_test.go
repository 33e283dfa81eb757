package pool_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"clementinelock/io/pool"
	"clementinelock/io/proto"
)

// TestConnectionsLeaveDescriptors guards against connections to endpoints, idle ones among them, that leave no descriptor for callers
// and disks: at the limit the one that has been idle for longest makes room, and a request that finds all in use is not sent.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	const limit = 3
	p := &pool.Pool{Dialect: proto.Dialect{RequestID: "Id", Deadline: "Deadline", ExpectInstance: "Instance"}, MaxConnections: limit}
	var addresses []string
	answers := make(chan bool)
	for range limit + 1 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-answers
			}
			w.Header().Set("Id", r.Header.Get("Id"))
		})}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		addresses = append(addresses, listener.Addr().String())
	}
	do := func(address, id, path string) pool.Result {
		request := &pool.Request{ID: id, Method: http.MethodGet, Target: path, Host: "h", Header: http.Header{"Id": {id}}, Idempotent: true}
		return p.Do(context.Background(), request, pool.Target{Address: address, Deadline: time.Now().Add(10 * time.Second)})
	}
	for i, address := range addresses {
		if got := do(address, string(rune('a'+i)), "/"); got.Ending != pool.Answered {
			t.Fatalf("request %d: %s %s", i, got.Ending, got.Detail)
		}
	}
	idle := 0
	for _, address := range addresses {
		if p.HasIdle(address) {
			idle++
		}
	}
	if idle != limit || p.HasIdle(addresses[0]) {
		t.Errorf("%d connections are idle, expected %d without the first one", idle, limit)
	}
	done := make(chan pool.Result, limit)
	for i := range limit {
		go func() { done <- do(addresses[i], string(rune('p'+i)), "/wait") }()
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.HasIdle(addresses[0]) || p.HasIdle(addresses[1]) || p.HasIdle(addresses[2]) || p.HasIdle(addresses[3]) {
			continue
		}
		if got := do(addresses[3], "z", "/"); got.Ending == pool.Withdrawn {
			break
		} else if got.Ending != pool.Answered {
			t.Fatalf("a request while all connections are in use: %s %s", got.Ending, got.Detail)
		}
	}
	close(answers)
	for range limit {
		if got := <-done; got.Ending != pool.Answered {
			t.Errorf("a request that was under way: %s %s", got.Ending, got.Detail)
		}
	}
	if got := do(addresses[3], "y", "/"); got.Ending != pool.Answered {
		t.Errorf("a request afterwards: %s %s", got.Ending, got.Detail)
	}
}
