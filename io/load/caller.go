package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"clementinelock/core"
	"clementinelock/io/caller"
	"clementinelock/io/proto"
	"clementinelock/io/stand"
)

// Caller looks up entry hosts and sends requests for one client. Set the exported fields before use.
type Caller struct {
	// Bootstrap lists the addresses of the entry hosts that are asked for look-ups.
	Bootstrap     []string
	ClientAddress string
	HTTP          *http.Client

	mutex   sync.Mutex
	lookups map[string]cachedLookup
	next    int
}

type cachedLookup struct {
	answer  caller.LookupAnswer
	expires time.Time
}

// Outcome is the outcome of one request.
type Outcome struct {
	Status  int
	Kind    core.Kind
	Ran     core.Ran
	Latency time.Duration
	Tries   int
	// Wrong reports whether an answer was incomplete or belonged to another request.
	Wrong bool
	// CutOff reports whether reading the answer failed.
	CutOff bool
	// Error is set when no answer could be read.
	Error error
}

// Lookup returns the entry hosts for a service. An answer is cached for its time to live;
// after that it is still returned when no entry host can be reached.
func (c *Caller) Lookup(ctx context.Context, service string) (caller.LookupAnswer, error) {
	c.mutex.Lock()
	cached, ok := c.lookups[service]
	c.mutex.Unlock()
	if ok && time.Now().Before(cached.expires) {
		return cached.answer, nil
	}
	var last error
	for range c.Bootstrap {
		answer, err := c.fetchLookup(ctx, service)
		if err == nil {
			c.cacheLookup(service, answer)
			return answer, nil
		}
		last = err
	}
	if ok {
		return cached.answer, nil
	}
	return caller.LookupAnswer{}, last
}

func (c *Caller) cacheLookup(service string, answer caller.LookupAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lookups == nil {
		c.lookups = map[string]cachedLookup{}
	}
	c.lookups[service] = cachedLookup{answer, time.Now().Add(answer.TimeToLive.Duration())}
}

func (c *Caller) fetchLookup(ctx context.Context, service string) (caller.LookupAnswer, error) {
	c.mutex.Lock()
	c.next++
	address := c.Bootstrap[c.next%len(c.Bootstrap)]
	c.mutex.Unlock()
	var answer caller.LookupAnswer
	query := url.Values{"service": {service}, "client": {c.ClientAddress}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+proto.LookupPath+"?"+query.Encode(), nil)
	if err != nil {
		return answer, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("look-up at %s failed with status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// Request is one request to make.
type Request struct {
	Service  string
	Method   string
	ID       string
	Key      string
	Body     string
	Deadline core.Millis
}

// Do sends a request to one entry host after another until one answers it or a retry is not safe:
// a request that may have run is sent again only with a key or an idempotent method.
func (c *Caller) Do(ctx context.Context, r Request) Outcome {
	began := time.Now()
	answer, err := c.Lookup(ctx, r.Service)
	if err != nil {
		return Outcome{Error: err, Ran: core.RanNo}
	}
	var out Outcome
	tries := 0
	for _, host := range answer.Hosts {
		tries++
		out = c.SendTo(ctx, host.Address, r)
		safe := out.Ran == core.RanNo || r.Key != "" || r.Method == http.MethodGet
		if out.Error == nil && out.Kind == "" || !safe || tries >= maxTries || out.Kind == core.OutcomeLost || out.Kind == core.DeadlinePassed {
			break
		}
	}
	out.Tries, out.Latency = tries, time.Since(began)
	return out
}

const maxTries = 4

// SendTo sends a request to one entry host.
func (c *Caller) SendTo(ctx context.Context, address string, r Request) Outcome {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+proto.ServicePath+r.Service+"/work", strings.NewReader(r.Body))
	if err != nil {
		return Outcome{Error: err, Ran: core.RanNo}
	}
	// Without GetBody, net/http does not send the request again on its own.
	request.GetBody = nil
	request.Header.Set(stand.RequestHeader, r.ID)
	request.Header.Set(proto.Deadline, r.Deadline.String())
	if r.Key != "" {
		request.Header.Set(proto.IdempotencyKey, r.Key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Outcome{Error: err, Ran: core.RanUnknown}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	out := Outcome{
		Status: response.StatusCode, Kind: core.Kind(response.Header.Get(proto.Kind)), Ran: core.Ran(response.Header.Get(proto.Ran)),
		Error: err, CutOff: err != nil,
	}
	if err == nil && out.Kind == "" && response.Header.Get(proto.Stored) == "" {
		out.Wrong = !c.isCompleteAnswer(body, r, response)
	}
	return out
}

// isCompleteAnswer reports whether a body is the complete answer to a request.
// A replayed answer has the ID of the copy that ran.
func (c *Caller) isCompleteAnswer(body []byte, r Request, response *http.Response) bool {
	id := r.ID
	if response.Header.Get(proto.Replayed) != "" {
		id = response.Header.Get(stand.RequestHeader)
	}
	return stand.IsCompleteAnswer(body, id, len(r.Body))
}
