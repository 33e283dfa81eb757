package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"clementinelock/core"
	"clementinelock/io/certs"
	"clementinelock/io/clock"
	"clementinelock/io/guard"
	"clementinelock/io/link"
	"clementinelock/io/logs"
	"clementinelock/io/proto"

	"github.com/gorilla/mux"
)

// Time-outs and intervals. Silence is detected by the regular messages between hosts, so that keep-alives can be rare.
const (
	peerSilenceTimeout    = 2 * time.Second
	peerKeepAliveInterval = 900 * time.Millisecond
	// peerIdleTimeout spans several reports, so that a host that has switched to another control host soon costs
	// the former one nothing.
	peerIdleTimeout = 3 * time.Second
)

// host holds what control and entry hosts have in common.
type host struct {
	Settings Settings
	Platform Platform
	Log      *logs.Logger

	clock   *clock.Clock
	network *link.Network
	mutex   sync.Mutex
	failure chan error
	servers []*http.Server
}

// openNetwork opens the network between hosts.
func (h *host) openNetwork(ctx context.Context, receive func(from string, message core.Message)) error {
	h.failure = make(chan error, 1)
	keys, err := certs.NewUnverified(h.Settings.Host)
	if err != nil {
		return err
	}
	h.network = &link.Network{
		Self: h.Settings.Host, Address: cmp.Or(h.Settings.PeerListen, h.Settings.peerAddress(h.Settings.Host)), Credentials: keys, Receive: receive,
		AddressOf: h.Settings.peerAddress, FromOwnAddress: true, ReuseIncoming: true,
		SilenceTimeout: peerSilenceTimeout, KeepAliveInterval: peerKeepAliveInterval, IdleTimeout: peerIdleTimeout,
		OnError: func(peer string, err error) { h.Log.Debug("link", fmt.Sprintf("Host %s: %v.", peer, err)) },
	}
	if err := h.network.Listen(ctx); err != nil {
		return err
	}
	go func() {
		if err := h.network.Run(ctx); err != nil && ctx.Err() == nil {
			h.fail(err)
		}
	}()
	return nil
}

// listen serves a handler at an address within the limits of a guard.
func (h *host) listen(address string, handler http.Handler, limits *guard.Guard) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	limits.Now = h.clock.Now
	server := limits.NewServer(handler)
	h.servers = append(h.servers, server)
	go func() {
		if err := server.Serve(limits.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			h.fail(err)
		}
	}()
	return nil
}

// listenStatus serves the metrics and the dump if the settings have a MetricsPort.
func (h *host) listenStatus(m *metrics, dump func() any) error {
	if h.Settings.MetricsPort == 0 {
		return nil
	}
	router := mux.NewRouter()
	router.Handle("/metrics", m.handler())
	router.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) { proto.WriteJSON(w, http.StatusOK, dump()) })
	return h.listen(net.JoinHostPort(h.Settings.Host, strconv.Itoa(h.Settings.MetricsPort)), router, h.Settings.statusGuard())
}

func (h *host) closeServers() {
	for _, server := range h.servers {
		_ = server.Close()
	}
}

// fail ends the process with an error; only the first one counts.
func (h *host) fail(err error) {
	select {
	case h.failure <- err:
	default:
	}
}

// recoverPanic turns a panic, such as that of a broken invariant, into the failure that ends the process.
func (h *host) recoverPanic() {
	if fault := recover(); fault != nil {
		h.fail(fmt.Errorf("%v\n%s", fault, debug.Stack()))
	}
}

// sendAndLog sends the messages and writes the log lines of a step.
func (h *host) sendAndLog(e core.Effects) {
	for _, line := range e.Logs {
		h.Log.Info(line.Part, line.Text)
	}
	for _, s := range e.Sends {
		h.network.Send(s.To, s.Message)
	}
}

func newHost(s Settings, p Platform, log *logs.Logger) host {
	return host{Settings: s, Platform: p, Log: log, clock: clock.New()}
}

// every calls a function periodically until the context ends.
func every(ctx context.Context, period core.Millis, call func()) {
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
