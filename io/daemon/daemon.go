package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clementinelock/core"
	"clementinelock/core/host"
	"clementinelock/io/caller"
	"clementinelock/io/certs"
	"clementinelock/io/clock"
	"clementinelock/io/config"
	"clementinelock/io/disk"
	"clementinelock/io/feed"
	"clementinelock/io/fetch"
	"clementinelock/io/guard"
	"clementinelock/io/link"
	"clementinelock/io/logs"
	"clementinelock/io/metric"
	"clementinelock/io/oper"
	"clementinelock/io/proto"

	"github.com/gorilla/mux"
)

const (
	connectionsPerEndpoint = 36
	readHeaderTimeout      = 5 * time.Second
	shutdownTimeout        = 2 * time.Second
	stopCheckInterval      = 20 * time.Millisecond
	// callerDescriptorShare is the part of the descriptors for callers' connections, each of which may need one to an endpoint.
	callerDescriptorShare = 0.4
	operatorConnections   = 128
	maxCallerHeaderBytes  = 64 << 10
	// The memory that may be held for the connections to each port, in bytes. That of operators fits the largest question and what
	// decoding it takes.
	callerBytes   = 96 << 20
	operatorBytes = 136 << 20
	statusBytes   = 8 << 20
)

// Daemon runs one host. The exported fields must be set before Run or Start is called.
type Daemon struct {
	Settings  config.Settings
	LogOutput io.Writer

	driver   *driver
	keys     *certs.Keys
	network  *link.Network
	metrics  *metric.Set
	servers  []*http.Server
	log      *logs.Logger
	cancel   context.CancelFunc
	failures chan error
	wait     sync.WaitGroup
	stopped  chan struct{}
	lookups  atomic.Uint64
}

// Run starts the host and returns when it has stopped; the error is nil after a planned stop or when the context has
// ended.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Start(ctx); err != nil {
		return err
	}
	return d.Wait()
}

// Start starts the host; it returns an error if the keys, an address or the data folder can't be used.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	d.failures = make(chan error, 8)
	d.stopped = make(chan struct{})
	d.log = logs.New(d.LogOutput, d.Settings.Host, d.Settings.LogLevel)
	err := d.build(ctx)
	if err == nil {
		err = d.serve(ctx)
	}
	if err != nil {
		d.cancel()
		d.close()
	}
	return err
}

func (d *Daemon) build(ctx context.Context) error {
	s := &d.Settings
	d.keys = &certs.Keys{
		Files:   certs.Files{Certificate: s.Keys.Certificate, Key: s.Keys.Key, Authority: s.Keys.Authority},
		OnError: func(err error) { d.log.Error("certs", err) },
	}
	if err := d.keys.Load(); err != nil {
		return err
	}
	d.driver = newDriver(ctx)
	d.driver.clock = clock.New()
	d.driver.log = d.log
	d.driver.fetch = fetch.New(connectionsPerEndpoint)
	d.driver.onFailure = func(err error) { d.failures <- err }
	d.network = &link.Network{
		Self: s.Host, Address: s.PeerAddress, Credentials: d.keys, Receive: d.driver.receive,
		OnError: func(host string, err error) { d.log.Debug("link", fmt.Sprintf("Host %s: %v.", host, err)) },
	}
	d.driver.network = d.network
	if err := d.network.Listen(ctx); err != nil {
		return err
	}
	d.network.SetAddresses(s.Addresses())
	d.metrics = metric.New(d.driver)
	d.driver.observeLatency = func(service string, seconds float64) { d.metrics.Latency.WithLabelValues(service).Observe(seconds) }
	return d.startMachine()
}

// startMachine creates the state machine and starts it with the state on disk.
func (d *Daemon) startMachine() error {
	s := &d.Settings
	now := d.driver.clock.Now()
	d.driver.machine = &host.Machine{
		Self: s.Host, Region: s.Region, Zone: s.Zone, Incarnation: uint64(now),
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ControlHosts: s.ControlHosts(), Seeds: s.Seeds(),
	}
	stored, err := d.openFolder()
	if err != nil {
		return err
	}
	effects, err := d.driver.machine.Start(now, stored)
	if err != nil {
		return fmt.Errorf("data folder %q: %w", s.DataFolder, err)
	}
	d.driver.execute(effects)
	return nil
}

func (d *Daemon) openFolder() (core.Stored, error) {
	if !d.Settings.IsControl() {
		return core.Stored{}, nil
	}
	d.driver.folder = &disk.Folder{Path: d.Settings.DataFolder}
	if err := d.driver.folder.Open(); err != nil {
		return core.Stored{}, err
	}
	return d.driver.folder.Load()
}

// serve opens the listening addresses and starts the goroutines.
func (d *Daemon) serve(ctx context.Context) error {
	s := &d.Settings
	server := &caller.Server{Host: s.Host, Backend: d.driver, OnLookup: d.countLookup}
	callerLimits := &guard.Guard{MaxBytes: callerBytes, MaxConnections: callerConnections()}
	callers := d.newServer(server.Handler(), callerLimits)
	// Requests are passed on while they are read, each with a deadline of its own.
	callers.ReadTimeout, callers.MaxHeaderBytes = 0, maxCallerHeaderBytes
	callers.Protocols = new(http.Protocols)
	callers.Protocols.SetHTTP1(true)
	callers.Protocols.SetHTTP2(true)
	callers.Protocols.SetUnencryptedHTTP2(true)
	if s.CallerTLS {
		callers.TLSConfig = d.keys.Config([]string{"h2", "http/1.1"}, certs.Hosts, certs.Operators)
		callers.TLSConfig.ClientAuth = 0
		callers.TLSConfig.VerifyConnection = nil
	}
	operatorLimits := &guard.Guard{MaxBytes: operatorBytes, MaxConnections: operatorConnections, MaxBodyBytes: oper.MaxBodyBytes}
	operators := d.newServer(oper.Handler(d.driver), operatorLimits)
	operators.TLSConfig = d.keys.Config(nil, certs.Operators)
	statusLimits := &guard.Guard{MaxBytes: statusBytes, MaxConnections: operatorConnections}
	listeners := []struct {
		address string
		server  *http.Server
		limits  *guard.Guard
	}{{s.CallerAddress, callers, callerLimits}, {s.OperatorAddress, operators, operatorLimits}, {s.StatusAddress, d.newServer(d.status(), statusLimits), statusLimits}}
	for _, each := range listeners {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, each.server)
		d.startGoroutine(func() { d.serveOn(each.server, each.limits.Listen(listener)) })
	}
	d.startGoroutine(func() { d.reportFailure(ctx, d.network.Run(ctx)) })
	d.startGoroutine(func() { d.driver.tick(ctx) })
	d.startGoroutine(func() { d.readFeed(ctx) })
	d.startGoroutine(func() { d.watchFence(ctx) })
	if d.driver.folder != nil {
		d.startGoroutine(func() { d.driver.syncWrites(ctx) })
	}
	d.log.Info("host", fmt.Sprintf("Listening for callers on %s.", s.CallerAddress))
	return nil
}

func (d *Daemon) newServer(handler http.Handler, limits *guard.Guard) *http.Server {
	limits.Now = d.driver.clock.Now
	server := limits.NewServer(handler)
	server.ReadHeaderTimeout = readHeaderTimeout
	return server
}

// callerConnections returns how many connections callers may have: a part of the descriptors, or 0 for no limit.
func callerConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(float64(limit.Cur) * callerDescriptorShare)
}

func (d *Daemon) serveOn(server *http.Server, listener net.Listener) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		d.failures <- err
	}
}

func (d *Daemon) startGoroutine(run func()) {
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		run()
	}()
}

func (d *Daemon) reportFailure(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		d.failures <- err
	}
}

// status returns the handler of metrics, health, readiness and the dump.
func (d *Daemon) status() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", d.metrics.Handler())
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if ready, reason := d.driver.Ready(); !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	router.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) { proto.WriteJSON(w, http.StatusOK, d.driver.Dump()) })
	return router
}

// Dump returns the host's state.
func (d *Daemon) Dump() host.Dump {
	return d.driver.Dump()
}

func (d *Daemon) countLookup() {
	d.lookups.Add(1)
	d.metrics.Lookups.Inc()
}

// readFeed reads the platform's list of endpoints periodically.
func (d *Daemon) readFeed(ctx context.Context) {
	if d.Settings.Feed == "" {
		return
	}
	ticker := time.NewTicker(d.Settings.FeedEvery.Duration())
	defer ticker.Stop()
	for {
		list, err := feed.Read(ctx, d.Settings.Feed)
		if err == nil {
			d.driver.step(func(now core.Millis) core.Effects { return d.driver.machine.ApplyFeed(now, list) })
		} else if ctx.Err() == nil {
			d.log.Error("feed", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Roles returns the host's roles.
func (d *Daemon) Roles() []string {
	return slices.Clone(d.Settings.Roles)
}

// Lookups returns how many look-ups the host has answered.
func (d *Daemon) Lookups() uint64 {
	return d.lookups.Load()
}
