package link_test

import (
	"context"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/fleet"
	"clementinelock/io/certs"
	"clementinelock/io/link"
)

// messageTimeout is how long a test waits for an expected message; it is long, so that tests don't depend on speed.
const messageTimeout = 20 * time.Second

// hosts maps the hosts of a test to their addresses, each with a port of its own.
var hosts = map[string]string{"a": "127.0.0.1:17631", "b": "127.0.0.1:17632"}

// testHost is one host with the messages that it has received.
type testHost struct {
	*link.Network
	received chan string
	stop     context.CancelFunc
	ended    chan struct{}
}

// shutdown stops the host and waits until its address is free.
func (s *testHost) shutdown() {
	s.stop()
	<-s.ended
}

func start(t *testing.T, name string, reuse bool, idleTimeout time.Duration) *testHost {
	t.Helper()
	keys, err := certs.NewUnverified(name)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &testHost{received: make(chan string, 1000), stop: stop, ended: make(chan struct{})}
	s.Network = &link.Network{
		Self: name, Address: hosts[name], Credentials: keys, ReuseIncoming: reuse, IdleTimeout: idleTimeout, FromOwnAddress: true,
		AddressOf: func(name string) string { return hosts[name] },
		Receive:   func(from string, _ core.Message) { s.received <- from },
		OnError:   func(host string, err error) { t.Logf("%s to %s: %v", name, host, err) },
	}
	if err := s.Listen(ctx); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(s.ended)
		if err := s.Run(ctx); err != nil {
			t.Logf("host %s ended: %v", name, err)
		}
	}()
	t.Cleanup(s.shutdown)
	return s
}

// sendUntilReceived repeats a message until the receiver has received one from the sender.
func sendUntilReceived(t *testing.T, from *testHost, name string, to *testHost) {
	t.Helper()
	end := time.After(messageTimeout)
	for {
		from.Send(name, &fleet.Update{Process: 1})
		select {
		case got := <-to.received:
			if got == from.Self {
				return
			}
		case <-time.After(20 * time.Millisecond):
		case <-end:
			t.Fatalf("host %s received no message from %s within %s", name, from.Self, messageTimeout)
		}
	}
}

// TestAnswersShareTheConnection checks that with ReuseIncoming a host answers on the incoming connection.
func TestAnswersShareTheConnection(t *testing.T) {
	for _, reuse := range []bool{false, true} {
		a, b := start(t, "a", reuse, 0), start(t, "b", reuse, 0)
		sendUntilReceived(t, a, "b", b)
		sendUntilReceived(t, b, "a", a)
		if dials := b.Stats.Read().Dials; (dials == 0) != reuse {
			t.Errorf("with ReuseIncoming %t host b opened %d connections", reuse, dials)
		}
		a.shutdown()
		b.shutdown()
	}
}

// TestSharedConnectionOfEndedProcess checks that answers reach a restarted host before the connection of its
// previous process has timed out.
func TestSharedConnectionOfEndedProcess(t *testing.T) {
	a, b := start(t, "a", true, 0), start(t, "b", true, 0)
	sendUntilReceived(t, a, "b", b)
	sendUntilReceived(t, b, "a", a)
	a.shutdown()
	restarted := start(t, "a", true, 0)
	sendUntilReceived(t, restarted, "b", b)
	sendUntilReceived(t, b, "a", restarted)
	if dials := b.Stats.Read().Dials; dials > 1 {
		t.Errorf("host b opened %d connections, expected at most 1", dials)
	}
}

// TestSharedConnectionThatEnds checks that a host opens its own connection once the other has closed the shared one.
func TestSharedConnectionThatEnds(t *testing.T) {
	a, b := start(t, "a", true, 50*time.Millisecond), start(t, "b", true, 0)
	sendUntilReceived(t, a, "b", b)
	sendUntilReceived(t, b, "a", a)
	for end := time.Now().Add(messageTimeout); b.Stats.Read().Dials == 0; {
		if time.Now().After(end) {
			t.Fatalf("host b opened no connection of its own within %s", messageTimeout)
		}
		time.Sleep(100 * time.Millisecond)
		sendUntilReceived(t, b, "a", a)
	}
}
