package caller

import (
	"net"
	"net/http"
	"net/netip"
	"strings"

	"clementinelock/core"
	"clementinelock/core/call"
	"clementinelock/core/route"
	"clementinelock/io/proto"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// Backend handles the requests that the server receives.
type Backend interface {
	// NextID returns a request number that has not been used.
	NextID() uint64
	// Submit starts a request; its outcome comes through Deliver.
	Submit(e *Exchange)
	// Cancel reports that a request's caller has disconnected.
	Cancel(id uint64)
	// Directory returns the look-up table, or nil before there is one.
	Directory() *route.Directory
	// IssueKey returns a new idempotency key whose home is this host's region.
	IssueKey() string
	// Ready reports whether the host takes requests, and if not, why.
	Ready() (ready bool, reason string)
}

// Server answers callers. The exported fields must be set before Handler is called.
type Server struct {
	Host    string
	Backend Backend
	// OnLookup is called for each look-up.
	OnLookup func()
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(proto.LookupPath, s.lookup).Methods(http.MethodGet)
	router.HandleFunc(proto.KeyPath, s.key).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", s.ready)
	router.PathPrefix(proto.ServicePath).HandlerFunc(s.call)
	return router
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.Backend.Ready()
	if !ready {
		proto.WriteRefusal(w, core.Refuse(core.NotReady, core.RanNo, "host %q %s", s.Host, reason))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// LookupAnswer is the JSON form of a look-up's answer.
type LookupAnswer struct {
	Service    string
	Region     string
	Version    uint64
	TimeToLive core.Millis
	Hosts      []route.EntryHost
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	s.OnLookup()
	directory := s.Backend.Directory()
	if directory == nil {
		proto.WriteRefusal(w, core.Refuse(core.NotReady, core.RanNo, "host %q has no configuration yet", s.Host))
		return
	}
	client, err := clientAddr(r)
	if err != nil {
		proto.WriteRefusal(w, core.Refuse(core.BadRequest, core.RanNo, "parameter client: %v", err))
		return
	}
	service := r.URL.Query().Get("service")
	seed := xxhash.Sum64String(client.String())
	hosts, timeToLive, ok := directory.Find(service, client, seed, nil)
	if !ok {
		proto.WriteRefusal(w, core.Refuse(core.UnknownService, core.RanNo, "service %q is not in version %d of the tree", service, directory.Version))
		return
	}
	proto.WriteJSON(w, http.StatusOK, LookupAnswer{service, directory.RegionOf(client), directory.Version, timeToLive, hosts})
}

// clientAddr returns the client's address: that of the query parameter, or else the remote address of the connection.
func clientAddr(r *http.Request) (netip.Addr, error) {
	if text := r.URL.Query().Get("client"); text != "" {
		if prefix, err := netip.ParsePrefix(text); err == nil {
			return prefix.Addr(), nil
		}
		return netip.ParseAddr(text)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, err
	}
	return netip.ParseAddr(host)
}

// KeyAnswer is the JSON form of an issued idempotency key.
type KeyAnswer struct {
	Key string
}

func (s *Server) key(w http.ResponseWriter, _ *http.Request) {
	proto.WriteJSON(w, http.StatusOK, KeyAnswer{s.Backend.IssueKey()})
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(proto.ServedBy, s.Host)
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), proto.ServicePath), "/")
	id := s.Backend.NextID()
	e, err := newExchange(id, service, rest, r)
	if err != nil {
		ran := core.RanNo
		if r.Header.Get(proto.IdempotencyKey) != "" {
			ran = core.RanUnknown
		}
		proto.WriteRefusal(w, core.Refuse(core.BadRequest, ran, "%v", err))
		return
	}
	defer e.closeBody()
	s.Backend.Submit(e)
	select {
	case d := <-e.delivery:
		s.write(w, r, d)
	case <-r.Context().Done():
		s.Backend.Cancel(id)
		go drain(e)
	}
}

// drain reads a request's answer to its end after its caller has disconnected, so that the ledger can store the answer
// of a keyed request.
func drain(e *Exchange) {
	d, ok := <-e.delivery
	if !ok || d.Attempt == nil {
		return
	}
	end, size, _ := d.Attempt.Copy(discard{}, d.Capture, func() {})
	d.Finish(end, toBits(size+d.Attempt.Sent()))
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func toBits(size int64) int64 {
	const bitsPerByte = 8
	return size * bitsPerByte
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, d Delivery) {
	switch {
	case d.Refusal != nil:
		proto.WriteRefusal(w, d.Refusal)
	case d.Stored != nil:
		writeStored(w, d.Stored)
	default:
		s.stream(w, r, d)
	}
}

func writeStored(w http.ResponseWriter, stored *core.StoredAnswer) {
	header := w.Header()
	for name, values := range stored.Header {
		header[name] = values
	}
	header.Set(proto.Ran, string(core.RanYes))
	header.Set(proto.Replayed, "true")
	if !stored.Whole {
		header.Del("Content-Length")
		header.Set(proto.Stored, "OutcomeOnly")
	}
	w.WriteHeader(stored.Status)
	_, _ = w.Write(stored.Body)
}

// stream copies an endpoint's answer to the caller. If the answer is truncated, the caller's connection is aborted, so
// that the caller can't take the answer for complete.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, d Delivery) {
	header := w.Header()
	response := d.Attempt.Response
	for name, values := range d.Attempt.AnswerHeader() {
		header[name] = values
	}
	header.Del(proto.Load)
	if header.Get(proto.Ran) == "" {
		header.Set(proto.Ran, string(core.RanYes))
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	stop := cancelOnDisconnect(r, d)
	end, size, writeErr := d.Attempt.Copy(w, d.Capture, flusher(w, response))
	stop()
	for name, values := range response.Trailer {
		header[name] = values
	}
	d.Finish(end, toBits(size+d.Attempt.Sent()))
	if end.Ending != call.Whole || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// cancelOnDisconnect aborts an attempt when its caller disconnects, unless the ledger needs the complete answer.
func cancelOnDisconnect(r *http.Request, d Delivery) (stop func() bool) {
	if d.Capture >= 0 {
		return func() bool { return true }
	}
	ctx := r.Context()
	streamDone := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
			d.Attempt.Cancel()
		case <-streamDone:
		}
	}()
	return func() bool { close(streamDone); return true }
}

// flusher returns a function that flushes what was written if the answer's length is unknown, as that of a stream;
// otherwise the function does nothing.
func flusher(w http.ResponseWriter, response *http.Response) func() {
	if response.ContentLength >= 0 {
		return func() {}
	}
	controller := http.NewResponseController(w)
	return func() { _ = controller.Flush() }
}
