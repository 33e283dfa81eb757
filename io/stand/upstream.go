package stand

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"clementinelock/core"
	"clementinelock/core/tree"
	"clementinelock/io/feed"
	"clementinelock/io/proto"
)

// RequestHeader is the header that carries the ID of an experiment's request.
const RequestHeader = "Clementinelock-Test-Request"

// CrashHeader is the header of a request under which the endpoint that runs it ends after the time that the header holds;
// the endpoint is back after crashDowntime.
const CrashHeader = "Clementinelock-Test-Crash"

const (
	answerBytes   = 512
	crashDowntime = 1500 * time.Millisecond
)

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	Address string
	Service string
	Slots   int

	mutex     sync.Mutex
	inFlight  int
	peak      int
	overLimit int
	served    int
	delay     time.Duration
	shed      bool
	lastBegan time.Time
	server    *http.Server
	crashes   int
}

// Upstreams holds the stand-in endpoints of all upstreams of a tree. Set the exported fields before Start.
type Upstreams struct {
	Tree *tree.Tree
	// ServiceTime is the mean run time of a request.
	ServiceTime time.Duration
	Seed        uint64

	mutex     sync.Mutex
	endpoints map[string]*Endpoint
	runs      map[string]int
	leaving   map[string]int64
	random    *rand.Rand
	wait      sync.WaitGroup
	stopped   bool
}

// Start opens every endpoint of the tree.
func (f *Upstreams) Start() error {
	f.endpoints = map[string]*Endpoint{}
	f.runs = map[string]int{}
	f.leaving = map[string]int64{}
	f.random = rand.New(rand.NewPCG(f.Seed, 1))
	view := tree.NewView(f.Tree)
	for _, zone := range view.Zones {
		for _, service := range view.Services {
			settings := view.Service(zone.Name, service)
			for _, address := range settings.Endpoints {
				e := &Endpoint{Address: address, Service: service, Slots: settings.Slots}
				f.endpoints[address] = e
				if err := f.open(e); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *Upstreams) open(e *Endpoint) error {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.handler(e), ReadHeaderTimeout: time.Second}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stopped {
		return listener.Close()
	}
	e.server = server
	f.wait.Add(1)
	go func() {
		defer f.wait.Done()
		// After Close, Serve returns http.ErrServerClosed.
		_ = server.Serve(listener)
	}()
	return nil
}

// crash ends an endpoint with all of its connections, and opens it again after crashDowntime.
func (f *Upstreams) crash(e *Endpoint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	server := e.server
	if server == nil || f.stopped {
		return
	}
	e.server = nil
	e.crashes++
	// Nothing is left to be done if the endpoint can't be closed cleanly.
	_ = server.Close()
	time.AfterFunc(crashDowntime, func() {
		if err := f.open(e); err != nil {
			panic(fmt.Sprintf("endpoint %s is not back after a crash: %v", e.Address, err))
		}
	})
}

// Crashes returns how often endpoints have ended under requests with CrashHeader.
func (f *Upstreams) Crashes() (n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, e := range f.endpoints {
		n += e.crashes
	}
	return n
}

// Stop closes every endpoint.
func (f *Upstreams) Stop() {
	f.mutex.Lock()
	f.stopped = true
	for _, e := range f.endpoints {
		if e.server != nil {
			_ = e.server.Close()
		}
	}
	f.mutex.Unlock()
	f.wait.Wait()
}

// Kill closes an endpoint and its connections, as a crash does.
func (f *Upstreams) Kill(address string) error {
	e, err := f.find(address)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if e.server == nil {
		return nil
	}
	return e.server.Close()
}

func (f *Upstreams) find(address string) (*Endpoint, error) {
	e := f.endpoints[address]
	if e == nil {
		return nil, fmt.Errorf("the tree has no endpoint %q", address)
	}
	return e, nil
}

// SetDelay sets a time that an endpoint adds to the run time of every request.
func (f *Upstreams) SetDelay(address string, delay time.Duration) error {
	e, err := f.find(address)
	if err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.delay = delay
	return nil
}

// MarkLeaving marks an endpoint as leaving in the platform's list.
func (f *Upstreams) MarkLeaving(address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaving[address] = time.Now().UnixMilli()
}

// List returns the platform's list.
func (f *Upstreams) List() feed.List {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list feed.List
	for address, since := range f.leaving {
		list.Endpoints = append(list.Endpoints, feed.Endpoint{Endpoint: address, State: "Leaving", Since: since})
	}
	return list
}

// ListHandler serves the platform's list.
func (f *Upstreams) ListHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { proto.WriteJSON(w, http.StatusOK, f.List()) })
}

func (f *Upstreams) handler(e *Endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == proto.LoadPath {
			w.Header().Set(proto.Load, proto.FormatLoad(e.loadReport()))
			return
		}
		f.serve(e, w, r)
	})
}

func (e *Endpoint) loadReport() core.Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return core.Report{InFlight: e.inFlight}
}

func (f *Upstreams) serve(e *Endpoint, w http.ResponseWriter, r *http.Request) {
	slow := e.begin()
	defer e.finish()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.countRun(r)
	if delay, err := time.ParseDuration(r.Header.Get(CrashHeader)); err == nil {
		// The endpoint goes on when the connection is closed meanwhile.
		time.Sleep(delay)
		f.crash(e)
		return
	}
	if !f.simulateWork(r.Context(), slow) {
		return
	}
	header := w.Header()
	header.Set(proto.Load, proto.FormatLoad(e.loadReport()))
	header.Set(RequestHeader, r.Header.Get(RequestHeader))
	header.Set(proto.RequestID, r.Header.Get(proto.RequestID))
	header.Set("Content-Length", strconv.Itoa(answerBytes))
	_, _ = w.Write(answerBody(r.Header.Get(RequestHeader), len(body)))
}

// answerBody returns a body by which a caller can check that it is complete and belongs to its request.
func answerBody(request string, size int) []byte {
	data := make([]byte, answerBytes)
	copy(data, fmt.Sprintf("%s %d\n", request, size))
	return data
}

// IsCompleteAnswer reports whether a body is the complete answer to the request with the given ID
// and body size in bytes.
func IsCompleteAnswer(body []byte, request string, size int) bool {
	return string(body) == string(answerBody(request, size))
}

func (e *Endpoint) begin() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inFlight++
	e.served++
	e.lastBegan = time.Now()
	e.peak = max(e.peak, e.inFlight)
	if e.inFlight > e.Slots {
		e.overLimit++
	}
	return e.delay
}

func (e *Endpoint) finish() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inFlight--
}

// countRun counts the runs of a request by its idempotency key or, without one, by its ID.
func (f *Upstreams) countRun(r *http.Request) {
	id := r.Header.Get(proto.IdempotencyKey)
	if id == "" {
		id = r.Header.Get(RequestHeader)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runs[id]++
}

// simulateWork waits for a random run time plus the delay; it returns false if the request was cancelled.
func (f *Upstreams) simulateWork(ctx context.Context, slow time.Duration) bool {
	f.mutex.Lock()
	length := time.Duration(f.random.ExpFloat64() * float64(f.ServiceTime))
	f.mutex.Unlock()
	timer := time.NewTimer(min(length, 8*f.ServiceTime) + slow)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Runs returns how often the request with the idempotency key or ID ran.
func (f *Upstreams) Runs(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runs[id]
}

// Usage counts what one endpoint served; Peak is its largest number of requests in flight.
type Usage struct {
	Address, Service string
	Served           int
	Peak, OverLimit  int
	LastBegan        time.Time
}

// Usages returns the usage of each endpoint.
func (f *Upstreams) Usages() []Usage {
	var out []Usage
	for _, e := range f.endpoints {
		e.mutex.Lock()
		out = append(out, Usage{e.Address, e.Service, e.served, e.peak, e.overLimit, e.lastBegan})
		e.mutex.Unlock()
	}
	return out
}
