package fetch_test

import (
	"net"
	"testing"
	"time"

	"clementinelock/io/fetch"
)

// TestEndsWithin guards against an endpoint whose end is not seen, and against one that is taken for gone since it closes
// connections that carry no request.
func TestEndsWithin(t *testing.T) {
	const watch, after = 400 * time.Millisecond, 100 * time.Millisecond
	for _, c := range []struct {
		name           string
		closes, refuse bool
		ended          bool
	}{{"goes on", false, false, false}, {"closes the connection", true, false, false}, {"ends", true, true, true}, {"takes no more", false, true, false}} {
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
			time.Sleep(after)
			if c.refuse {
				_ = listener.Close()
			}
			if c.closes {
				_ = conn.Close()
			}
			time.Sleep(watch)
			_ = conn.Close()
		}()
		began := time.Now()
		if ended := fetch.EndsWithin(listener.Addr().String(), watch); ended != c.ended {
			t.Errorf("%s: ended %t, expected %t", c.name, ended, c.ended)
		}
		if passed := time.Since(began); passed > 2*watch {
			t.Errorf("%s: the watch took %s", c.name, passed)
		}
	}
	if !fetch.EndsWithin("127.0.0.1:1", 400*time.Millisecond) {
		t.Error("an endpoint that refuses connections has not ended")
	}
}
