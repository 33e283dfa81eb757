package wire_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"clementinelock/io/stand"
	"clementinelock/io/wire"
)

// connect returns both ends of a connection on loopback.
func connect(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection fails, and returns the error.
func writeUntilError(conn net.Conn) (err error) {
	for err == nil {
		_, err = conn.Write(make([]byte, 1<<10))
		time.Sleep(time.Millisecond)
	}
	return err
}

// readAll reads to the end, with a bound on the time.
func readAll(t *testing.T, conn net.Conn) (string, error) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	data, err := io.ReadAll(conn)
	return string(data), err
}

// TestResetIsReportedToTheReader guards against a reset that the reader takes for the end of the file since it was reported to the
// writer: before the reader comes to it, at the same time, or not at all.
func TestResetIsReportedToTheReader(t *testing.T) {
	reset := func(there *net.TCPConn) {
		_, _ = io.WriteString(there, "part")
		_ = there.SetLinger(0)
		_ = there.Close()
	}
	t.Run("after the write has failed", func(t *testing.T) {
		here, there := connect(t)
		conn := wire.NewConn(here)
		reset(there)
		if err := writeUntilError(conn); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("the write ends with %v, expected a reset", err)
		}
		for range 2 {
			if _, err := readAll(t, conn); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the reads end with %v, expected a reset", err)
			}
		}
	})
	t.Run("before the failed write has returned", func(t *testing.T) {
		here, there := connect(t)
		conn := wire.NewConn(stand.NewOrderedConn(here, len("part")))
		reset(there)
		go func() { _ = writeUntilError(conn) }()
		if _, err := readAll(t, conn); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the reads end with %v, expected a reset", err)
		}
	})
	t.Run("without a write", func(t *testing.T) {
		here, there := connect(t)
		conn := wire.NewConn(here)
		reset(there)
		for range 2 {
			if _, err := readAll(t, conn); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the reads end with %v, expected a reset", err)
			}
		}
	})
}

// TestOrderlyEndIsTheEndOfTheFile guards against an orderly end that is taken for a failure: the peer reads on, or resets the connection
// after its end, which fails a write; or against a reader that waits for a write which the peer never reads.
func TestOrderlyEndIsTheEndOfTheFile(t *testing.T) {
	expect := func(t *testing.T, conn net.Conn) {
		t.Helper()
		if text, err := readAll(t, conn); text != "whole" || err != nil {
			t.Errorf("the reads end with %q, %v", text, err)
		}
	}
	t.Run("the peer reads on", func(t *testing.T) {
		here, there := connect(t)
		_, _ = io.WriteString(there, "whole")
		_ = there.CloseWrite()
		expect(t, wire.NewConn(here))
	})
	t.Run("the peer resets after its end", func(t *testing.T) {
		here, there := connect(t)
		conn := wire.NewConn(here)
		_, _ = io.WriteString(there, "whole")
		_ = there.Close()
		if err := writeUntilError(conn); !errors.Is(err, syscall.EPIPE) {
			t.Fatalf("the write ends with %v, expected a broken pipe", err)
		}
		expect(t, conn)
	})
	t.Run("a write waits", func(t *testing.T) {
		here, there := connect(t)
		conn := wire.NewConn(here)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = conn.Write(make([]byte, 64<<20))
		}()
		// The write has begun, and does not end since the peer reads no more.
		if _, err := io.ReadFull(there, make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(there, "whole")
		_ = there.CloseWrite()
		const bound = 2 * time.Second
		closing := time.AfterFunc(bound, func() { _ = here.Close() })
		expect(t, conn)
		if !closing.Stop() {
			t.Errorf("the reader waited %s for the write", bound)
		}
		_ = here.Close()
		<-done
	})
}

// TestFailedWriteOfATransport guards against a failed write that ends before the reads have, or that never ends since nobody reads.
func TestFailedWriteOfATransport(t *testing.T) {
	for _, closes := range []bool{false, true} {
		accepted := make(chan net.Conn, 1)
		address, stop, err := stand.Serve(func(conn net.Conn) {
			_, _ = io.WriteString(conn, "whole")
			accepted <- conn
		})
		if err != nil {
			t.Fatal(err)
		}
		defer stop()
		conn, err := wire.NewTransport(&http.Transport{}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		<-accepted
		ended := make(chan error, 1)
		go func() { ended <- writeUntilError(conn) }()
		select {
		case err := <-ended:
			t.Fatalf("the write ended before the reads: %v", err)
		case <-time.After(100 * time.Millisecond):
		}
		if closes {
			_ = conn.Close()
		} else if text, err := readAll(t, conn); text != "whole" || err != nil {
			t.Errorf("the reads end with %q, %v", text, err)
		}
		select {
		case err := <-ended:
			if !errors.Is(err, syscall.EPIPE) {
				t.Errorf("the write ends with %v, expected a broken pipe", err)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("the write does not end, closed %t", closes)
		}
		_ = conn.Close()
	}
}
