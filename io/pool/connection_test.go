package pool

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestCancelledAfterAnswer cancels a request whose answer is complete and whose connection another request uses
// already: the answer is delivered, and the connection stays open.
func TestCancelledAfterAnswer(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := newConnection(&Pool{}, "a", ours)
	answered := &exchange{id: "one", result: make(chan Result, 1)}
	c.pending = &exchange{id: "two", result: make(chan Result, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	time.AfterFunc(10*time.Millisecond, func() { answered.result <- Result{Answer: &Answer{Status: 200}} })
	if result := c.await(ctx, answered); result.Answer == nil {
		t.Fatalf("the request ends %s, expected its answer", result.Ending)
	}
	if !c.isOpen() {
		t.Fatal("the connection of the other request is closed")
	}
}
