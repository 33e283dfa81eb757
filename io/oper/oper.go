package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"clementinelock/core"
	"clementinelock/core/ctrl"
	"clementinelock/core/host"
	"clementinelock/io/certs"
	"clementinelock/io/proto"

	"github.com/gorilla/mux"
)

const (
	askPath          = "/v1/ask"
	dumpPath         = "/v1/dump"
	handshakeTimeout = 3 * time.Second
	requestTimeout   = 12 * time.Second
)

// MaxBodyBytes bounds the body of a question and of an answer.
const MaxBodyBytes = 32 << 20

// Backend answers the questions that the server receives.
type Backend interface {
	// Ask answers a question or refuses it.
	Ask(ctx context.Context, ask ctrl.Request) (ctrl.Body, *core.Refusal)
	// Dump returns the process's state.
	Dump() host.Dump
}

// Reply is the JSON form of an answer or a refusal.
type Reply struct {
	Refusal *core.Refusal
	Body    ctrl.Body
}

// Handler returns the HTTP handler of the operators' protocol.
func Handler(backend Backend) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(askPath, func(w http.ResponseWriter, r *http.Request) { serveAsk(backend, w, r) }).Methods(http.MethodPost)
	router.HandleFunc(dumpPath, func(w http.ResponseWriter, _ *http.Request) {
		proto.WriteJSON(w, http.StatusOK, backend.Dump())
	}).Methods(http.MethodGet)
	return router
}

func serveAsk(backend Backend, w http.ResponseWriter, r *http.Request) {
	var ask ctrl.Request
	decoder := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ask); err != nil {
		proto.WriteJSON(w, http.StatusBadRequest, Reply{Refusal: core.Refuse(core.BadRequest, core.RanNo, "the question can't be read: %v", err)})
		return
	}
	if ask.Edit != nil {
		ask.Edit.Author = certs.PeerName(*r.TLS)
	}
	body, refusal := backend.Ask(r.Context(), ask)
	status := http.StatusOK
	if refusal != nil {
		status = core.Answers[refusal.Kind].Status
	}
	proto.WriteJSON(w, status, Reply{refusal, body})
}

// Client sends an operator's questions to hosts.
type Client struct {
	Keys *certs.Keys
	// Hosts lists the hosts' operator addresses as IP:PORT, which are tried in turn.
	Hosts []string
}

func (c *Client) http() *http.Client {
	transport := &http.Transport{TLSClientConfig: c.Keys.Config(nil, certs.Hosts), TLSHandshakeTimeout: handshakeTimeout, DisableKeepAlives: true}
	return &http.Client{Transport: transport, Timeout: requestTimeout}
}

// Ask sends a question to the first host that can be reached. A refusal is returned as an error of type
// *core.Refusal.
func (c *Client) Ask(ctx context.Context, ask ctrl.Request) (ctrl.Body, error) {
	data, err := json.Marshal(ask)
	if err != nil {
		return ctrl.Body{}, err
	}
	var reply Reply
	if err := c.tryHosts(ctx, http.MethodPost, askPath, data, &reply); err != nil {
		return ctrl.Body{}, err
	}
	if reply.Refusal != nil {
		return reply.Body, reply.Refusal
	}
	return reply.Body, nil
}

// Dump returns the state of the first host that can be reached.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var dump json.RawMessage
	err := c.tryHosts(ctx, http.MethodGet, dumpPath, nil, &dump)
	return dump, err
}

// tryHosts sends the request to the hosts in turn until one replies. Sending an edit to several is safe, since its id
// applies once.
func (c *Client) tryHosts(ctx context.Context, method, path string, data []byte, into any) error {
	lastErr := fmt.Errorf("no host address given")
	client := c.http()
	for _, address := range c.Hosts {
		lastErr = exchange(ctx, client, method, "https://"+address+path, data, into)
		if lastErr == nil {
			return nil
		}
		lastErr = fmt.Errorf("host %s: %w", address, lastErr)
	}
	return lastErr
}

func exchange(ctx context.Context, client *http.Client, method, url string, data []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(io.LimitReader(response.Body, MaxBodyBytes)).Decode(into)
}
