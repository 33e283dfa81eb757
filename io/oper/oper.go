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
	askPath    = "/v1/ask"
	dumpPath   = "/v1/dump"
	maxBody    = 32 << 20
	dialWithin = 3 * time.Second
	waitWithin = 12 * time.Second
)

// Desk is the process behind the server.
type Desk interface {
	// Ask puts a question and waits for its answer.
	Ask(ctx context.Context, ask ctrl.Request) (ctrl.Body, *core.Refusal)
	// Dump returns the process's state.
	Dump() host.Dump
}

// Reply is the JSON form of an answer.
type Reply struct {
	Refusal *core.Refusal
	Body    ctrl.Body
}

// Handler serves operators.
func Handler(desk Desk) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(askPath, func(w http.ResponseWriter, r *http.Request) { serveAsk(desk, w, r) }).Methods(http.MethodPost)
	router.HandleFunc(dumpPath, func(w http.ResponseWriter, _ *http.Request) {
		proto.WriteJSON(w, http.StatusOK, desk.Dump())
	}).Methods(http.MethodGet)
	return router
}

func serveAsk(desk Desk, w http.ResponseWriter, r *http.Request) {
	var ask ctrl.Request
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ask); err != nil {
		proto.WriteJSON(w, http.StatusBadRequest, Reply{Refusal: core.Refuse(core.BadRequest, core.RanNo, "the question can't be read: %v", err)})
		return
	}
	if ask.Edit != nil {
		ask.Edit.Author = certs.PeerName(*r.TLS)
	}
	body, refusal := desk.Ask(r.Context(), ask)
	status := http.StatusOK
	if refusal != nil {
		status = core.Answers[refusal.Kind].Status
	}
	proto.WriteJSON(w, status, Reply{refusal, body})
}

// Client asks hosts on behalf of an operator.
type Client struct {
	Keys *certs.Keys
	// Hosts lists operators' addresses, which are tried in turn.
	Hosts []string
}

func (c *Client) http() *http.Client {
	transport := &http.Transport{TLSClientConfig: c.Keys.Config(nil, certs.Hosts), TLSHandshakeTimeout: dialWithin, DisableKeepAlives: true}
	return &http.Client{Transport: transport, Timeout: waitWithin}
}

// Ask puts a question to the first host that can be reached; a refusal is returned as the error.
func (c *Client) Ask(ctx context.Context, ask ctrl.Request) (ctrl.Body, error) {
	data, err := json.Marshal(ask)
	if err != nil {
		return ctrl.Body{}, err
	}
	var reply Reply
	if err := c.each(ctx, http.MethodPost, askPath, data, &reply); err != nil {
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
	err := c.each(ctx, http.MethodGet, dumpPath, nil, &dump)
	return dump, err
}

// each tries the hosts in turn; sending an edit to several is safe, since its id applies once.
func (c *Client) each(ctx context.Context, method, path string, data []byte, into any) error {
	last := fmt.Errorf("no host is named")
	client := c.http()
	for _, address := range c.Hosts {
		last = exchange(ctx, client, method, "https://"+address+path, data, into)
		if last == nil {
			return nil
		}
		last = fmt.Errorf("host %s: %w", address, last)
	}
	return last
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
	return json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(into)
}
