package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/creds"
	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/quota"
	"clementinelock/core/roster"
	"clementinelock/core/routes"
)

// customers are those of the tests: a has two keys, b a quota, c its home in another region and d in the local one.
func customers() []creds.Account {
	return []creds.Account{
		{Customer: creds.Customer{Name: "a"}, Keys: []string{"key-a", "key-a2"}},
		{Customer: creds.Customer{Name: "b", Quota: quota.Limit{PerSecond: 1, Burst: 1}}, Keys: []string{"key-b"}},
		{Customer: creds.Customer{Name: "c", Regions: []string{"q"}}, Keys: []string{"key-c"}},
		{Customer: creds.Customer{Name: "d", Regions: []string{"r"}}, Keys: []string{"key-d"}},
	}
}

// setCustomers brings a version with these customers into force; its routes are those of startHost and a public one.
func (h *host) setCustomers(t *testing.T, version uint64, accounts []creds.Account) {
	t.Helper()
	to := []routes.Destination{{Service: "s", Weight: 1}}
	table, err := routes.NewTable(version, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, IdleTimeout: core.Second, HeaderTimeout: 300}, []routes.Service{{Name: "s"}}, []routes.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Timeout: 600, Destinations: to, MaxAttempts: 2, Affinity: true},
		{Name: "write", Host: "h", Prefix: "/write/", Timeout: 600, Destinations: to, MaxAttempts: 2},
		{Name: "public", Host: "h", Prefix: "/public/", Idempotent: true, Timeout: 600, Destinations: to, MaxAttempts: 2, Public: true},
		{Name: "homed", Host: "h", Prefix: "/homed/", Idempotent: true, Timeout: 600, Destinations: to, MaxAttempts: 2, Regions: []string{"q"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if table.Customers, err = creds.NewDirectory(accounts); err != nil {
		t.Fatal(err)
	}
	h.server.Update(table, func(*pick.Table) {})
}

// startKeyedHost starts a host with the customers, and returns it with the requests that its endpoints get.
func startKeyedHost(t *testing.T) (*host, chan *http.Request) {
	t.Helper()
	h := startHost(t, 2)
	h.server.Dialect.Customer = "Customer"
	h.setCustomers(t, 2, customers())
	return h, h.recordRequests()
}

// recordRequests returns the requests that the endpoints get.
func (h *host) recordRequests() chan *http.Request {
	seen := make(chan *http.Request, 64)
	h.setAnswer(func(conn net.Conn, request *http.Request, _ []byte) bool {
		seen <- request
		_, err := io.WriteString(conn, reply(request, 200, "ok"))
		return err == nil
	})
	return seen
}

// fakeQuotas grants a number of tokens.
type fakeQuotas struct {
	mutex              sync.Mutex
	tokens             int
	acquired, returned []string
}

func (q *fakeQuotas) Acquire(_ context.Context, customer string, _ uint64) *core.Refusal {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.acquired = append(q.acquired, customer)
	if q.tokens == 0 {
		return core.Refuse(core.QuotaExceeded, core.RanNo, "no token")
	}
	q.tokens--
	return nil
}

func (q *fakeQuotas) Return(customer string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.returned = append(q.returned, customer)
}

func (q *fakeQuotas) counts() (acquired, returned int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.acquired), len(q.returned)
}

// TestCustomerOfARequest guards against endpoints that get a caller's key, or another customer than the one that holds it,
// whatever headers the caller sends.
func TestCustomerOfARequest(t *testing.T) {
	h, seen := startKeyedHost(t)
	cases := []struct {
		id, path string
		headers  []string
		status   int
		customer string
	}{
		{"1", "/read/x", []string{"Authorization: Bearer key-a"}, 200, "a"},
		{"2", "/read/x", []string{"authorization: bearer key-a2", "CUSTOMER: b", "customer: c"}, 200, "a"},
		{"3", "/read/x", nil, 401, ""},
		{"4", "/read/x", []string{"Customer: a"}, 401, ""},
		{"5", "/read/x", []string{"Authorization: Bearer none"}, 401, ""},
		{"6", "/read/x", []string{"Authorization: Bearer KEY-A"}, 401, ""},
		{"7", "/read/x", []string{"Authorization: Bearer key-a", "Authorization: Bearer key-b"}, 401, ""},
		{"8", "/public/x", []string{"Customer: a"}, 200, ""},
		{"9", "/public/x", []string{"Authorization: Bearer none", "Customer: a"}, 200, ""},
		{"10", "/public/x", []string{"Authorization: Bearer key-a"}, 200, "a"},
		{"11", "/read/x", []string{"Authorization: Bearer key-a", "Connection: Authorization, Customer"}, 200, "a"},
		{"12", "/none/x", []string{"Authorization: Bearer key-a"}, 404, ""},
	}
	for _, c := range cases {
		conn := h.dial(t)
		conn.send("GET", c.path, c.id, "", c.headers...)
		response, _, err := conn.readAnswer()
		if err != nil || response.StatusCode != c.status {
			t.Fatalf("request %s: status %v, error %v, expected %d", c.id, response, err, c.status)
		}
		if (c.status == 401) != (response.Header.Get("WWW-Authenticate") != "") {
			t.Errorf("request %s: WWW-Authenticate is %q", c.id, response.Header.Get("WWW-Authenticate"))
		}
		if record := h.record(t, c.id); record.Customer != c.customer || strings.Contains(record.Detail, "key-") {
			t.Errorf("request %s: the record has customer %q and detail %q", c.id, record.Customer, record.Detail)
		}
		if c.status != 200 {
			continue
		}
		request := <-seen
		if got := request.Header.Values("Customer"); strings.Join(got, ",") != c.customer || request.Header.Get("Authorization") != "" {
			t.Errorf("request %s: the endpoint gets %v", c.id, request.Header)
		}
	}
	if h.runs() != 6 {
		t.Errorf("%d requests ran, expected 6", h.runs())
	}
}

// TestCustomerInATrailer guards against a caller that names a customer in the trailer of a chunked body.
func TestCustomerInATrailer(t *testing.T) {
	h := startHost(t, 1)
	h.server.Dialect.Customer = "Customer"
	h.setCustomers(t, 2, customers())
	raw := make(chan string, 1)
	h.endpoints[0].setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
		raw <- request.Header.Get("Customer") + "|" + request.Trailer.Get("Customer") + "|" + string(body)
		_, err := io.WriteString(conn, reply(request, 200, "ok"))
		return err == nil
	})
	c := h.dial(t)
	_, err := io.WriteString(c.conn, "POST /write/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nAuthorization: Bearer key-a\r\nTransfer-Encoding: chunked\r\nTrailer: Customer\r\n\r\n4\r\nbody\r\n0\r\nCustomer: b\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if response, _, err := c.readAnswer(); err != nil || response.StatusCode != 200 {
		t.Fatalf("got %v, error %v", response, err)
	}
	if got := <-raw; got != "a||body" {
		t.Errorf("the endpoint gets %q, expected customer a and no trailer", got)
	}
}

// TestWithoutCustomers guards against a deployment without customers whose requests lose headers.
func TestWithoutCustomers(t *testing.T) {
	h := startHost(t, 1)
	h.server.Dialect.Customer = "Customer"
	seen := h.recordRequests()
	c := h.dial(t)
	c.send("GET", "/read/x", "1", "", "Authorization: Basic x", "Customer: y")
	c.expect("1", 200, "ok")
	if request := <-seen; request.Header.Get("Authorization") != "Basic x" || request.Header.Get("Customer") != "y" {
		t.Errorf("the endpoint gets %v", request.Header)
	}
}

// TestRevokedKeys guards against a revoked key that still lets requests in: on an open connection, while the request waits
// for a token or for the request before it, and where the key has moved to another customer.
func TestRevokedKeys(t *testing.T) {
	h, seen := startKeyedHost(t)
	c := h.dial(t)
	c.send("GET", "/read/x", "1", "", "Authorization: Bearer key-a")
	c.expect("1", 200, "ok")
	<-seen
	waits, waiting := make(chan struct{}), make(chan struct{})
	h.server.Quotas = waitingQuotas{waits: waits, waiting: waiting}
	other := h.dial(t)
	other.send("POST", "/write/x", "2", "", "Authorization: Bearer key-b")
	<-waiting
	accounts := customers()
	accounts[0].Keys, accounts[1].Keys = []string{"key-a2"}, nil
	accounts[3].Keys = append(accounts[3].Keys, "key-a")
	h.setCustomers(t, 3, accounts)
	close(waits)
	if response, _, err := other.readAnswer(); err != nil || response.StatusCode != 401 {
		t.Errorf("a request whose key was revoked while it waited: %v, error %v", response, err)
	}
	c.send("GET", "/read/x", "3", "", "Authorization: Bearer key-a")
	c.expect("3", 200, "ok")
	if request := <-seen; request.Header.Get("Customer") != "d" {
		t.Errorf("a key that has moved belongs to customer %q, expected d", request.Header.Get("Customer"))
	}
	accounts[3].Keys = nil
	h.setCustomers(t, 4, accounts)
	c.send("GET", "/read/x", "4", "", "Authorization: Bearer key-a")
	if response, _, err := c.readAnswer(); err != nil || response.StatusCode != 401 {
		t.Errorf("a revoked key on an open connection: %v, error %v", response, err)
	}
	if h.runs() != 2 {
		t.Errorf("%d requests ran, expected 2", h.runs())
	}
}

// waitingQuotas grants tokens once waits is closed.
type waitingQuotas struct{ waits, waiting chan struct{} }

// Acquire waits and grants.
func (q waitingQuotas) Acquire(context.Context, string, uint64) *core.Refusal {
	close(q.waiting)
	<-q.waits
	return nil
}

// Return does nothing.
func (q waitingQuotas) Return(string) {}

// TestKeysWithoutContact guards against a 401 for a key that a host without contact may lack, and, where the deployment
// limits how long keys hold without contact, against requests beyond that.
func TestKeysWithoutContact(t *testing.T) {
	h, _ := startKeyedHost(t)
	status := func(id, path, key string) int {
		c := h.dial(t)
		c.send("GET", path, id, "", "Authorization: Bearer "+key)
		response, _, err := c.readAnswer()
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}
	h.server.RecordContact(h.server.Now())
	if got := status("1", "/read/x", "new"); got != 401 {
		t.Errorf("an unknown key gets %d, expected 401", got)
	}
	h.server.RecordContact(h.server.Now() - 3*core.Second)
	if got := status("2", "/read/x", "new"); got != 503 {
		t.Errorf("an unknown key without contact gets %d, expected 503", got)
	}
	if got := status("3", "/read/x", "key-a"); got != 200 {
		t.Errorf("a key without contact gets %d, expected 200", got)
	}
	h.server.MaxKeyAge = 2 * core.Second
	if got := status("4", "/read/x", "key-a"); got != 503 {
		t.Errorf("a key after the limit without contact gets %d, expected 503", got)
	}
	if got := status("5", "/public/x", "none"); got != 200 {
		t.Errorf("a public route after the limit without contact gets %d, expected 200", got)
	}
	h.server.RecordContact(h.server.Now())
	if got := status("6", "/read/x", "key-a"); got != 200 {
		t.Errorf("a key in contact again gets %d, expected 200", got)
	}
}

// TestQuotaOfARequest guards against requests beyond a quota, tokens that are taken twice for a request with two attempts, and
// tokens that are lost with requests that have not run.
func TestQuotaOfARequest(t *testing.T) {
	h, _ := startKeyedHost(t)
	q := &fakeQuotas{tokens: 2}
	h.server.Quotas = q
	get := func(id, path, key string) *http.Response {
		c := h.dial(t)
		c.send("GET", path, id, "", "Authorization: Bearer "+key)
		response, _, err := c.readAnswer()
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	get("1", "/read/x", "key-a")
	if acquired, _ := q.counts(); acquired != 0 {
		t.Error("a customer without a quota takes a token")
	}
	first := true
	h.setAnswer(func(conn net.Conn, request *http.Request, _ []byte) bool {
		if first {
			first = false
			return false
		}
		_, err := io.WriteString(conn, reply(request, 200, "ok"))
		return err == nil
	})
	if response := get("2", "/read/x", "key-b"); response.StatusCode != 200 {
		t.Errorf("a request with a second attempt gets %d", response.StatusCode)
	}
	if acquired, returned := q.counts(); acquired != 1 || returned != 0 {
		t.Errorf("a request with two attempts takes %d tokens and returns %d", acquired, returned)
	}
	h.setAnswer(func(conn net.Conn, request *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 503 X\r\nId: "+request.Header.Get("Id")+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	if response := get("3", "/read/x", "key-b"); response.StatusCode != 503 {
		t.Errorf("a request that no endpoint takes gets %d", response.StatusCode)
	}
	if acquired, returned := q.counts(); acquired != 2 || returned != 1 {
		t.Errorf("%d tokens were taken and %d returned, expected 2 and 1", acquired, returned)
	}
	before := h.runs()
	response := get("4", "/read/x", "key-b")
	if response.StatusCode != 429 || response.Header.Get("Retry-After") == "" || h.runs() != before {
		t.Errorf("a request beyond the quota gets %d with Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
}

// TestHomes guards against requests that leave the home regions of their customer or route, and against ones that fit nowhere
// and wait.
func TestHomes(t *testing.T) {
	h, seen := startKeyedHost(t)
	remote := startEndpoint(t)
	view := fleet.View{ListKnown: true, Entries: fleet.EntryCounts{Zone: 1, Region: 1, All: 2}, Endpoints: []roster.Entry{
		{ID: "i-0", Service: "s", Zone: "z", Address: h.endpoints[0].listener.Addr().String(), Slots: 3},
		{ID: "i-9", Service: "s", Zone: "y", Address: remote.listener.Addr().String(), Slots: 3},
	}}
	h.server.Update(nil, func(p *pick.Table) {
		p.RegionByZone = map[string]string{"z": "r", "y": "q"}
		p.Update(h.server.Now(), view, h.server.Table())
	})
	for _, c := range []struct {
		id, path, key string
		status        int
		remote        bool
	}{
		{"1", "/read/x", "key-c", 200, true}, {"2", "/homed/x", "key-a", 200, true}, {"3", "/read/x", "key-d", 200, false}, {"4", "/homed/x", "key-c", 200, true}, {"5", "/homed/x", "key-d", 503, false},
	} {
		before := remote.runs.Load()
		conn := h.dial(t)
		began := time.Now()
		conn.send("GET", c.path, c.id, "", "Authorization: Bearer "+c.key)
		response, _, err := conn.readAnswer()
		if err != nil || response.StatusCode != c.status {
			t.Fatalf("request %s: %v, error %v, expected %d", c.id, response, err, c.status)
		}
		if ran := remote.runs.Load() != before; ran != c.remote {
			t.Errorf("request %s: ran in the other region: %t, expected %t", c.id, ran, c.remote)
		}
		if c.status == 503 && time.Since(began) > 300*time.Millisecond {
			t.Errorf("request %s fits nowhere and was refused after %s", c.id, time.Since(began))
		}
		if c.status == 200 && !c.remote {
			<-seen
		}
	}
}

// TestCustomersDuringHandover guards against a customer that is lost or not checked on the way through another entry host, a
// key that reaches it, and a quota that is charged twice.
func TestCustomersDuringHandover(t *testing.T) {
	helper, address := startHelper(t, 2)
	helper.server.Dialect.Customer = "Customer"
	helper.setCustomers(t, 2, customers())
	seen := helper.recordRequests()
	q := &fakeQuotas{tokens: 10}
	helper.server.Quotas = q
	h := startCutHost(t, address)
	h.server.Dialect.Customer = "Customer"
	h.setCustomers(t, 2, customers())
	own := &fakeQuotas{tokens: 10}
	h.server.Quotas = own
	c := h.dial(t)
	c.send("POST", "/write/x", "1", "body", "Authorization: Bearer key-b", "Customer: a", `Clementinelock-Handover: Reached=0 Counted=false Version=2 Customer="a"`)
	c.expect("1", 200, "ok")
	request := <-seen
	if request.Header.Get("Customer") != "b" || request.Header.Get("Authorization") != "" {
		t.Errorf("the endpoint gets %v", request.Header)
	}
	if acquired, _ := q.counts(); acquired != 0 {
		t.Error("the helper charged the quota again")
	}
	if acquired, _ := own.counts(); acquired != 1 {
		t.Errorf("the host charged the quota %d times, expected once", acquired)
	}
	helper.setCustomers(t, 3, customers()[:1])
	c.send("GET", "/read/x", "2", "", "Authorization: Bearer key-b")
	if response, _, err := c.readAnswer(); err != nil || response.StatusCode != 401 {
		t.Errorf("a customer that the helper's newer version lacks: %v, error %v", response, err)
	}
	intruder := helperCaller(t, address)
	intruder.send("GET", "/read/x", "3", "", `Clementinelock-Handover: Reached=0 Counted=false Version=2 Customer="a"`)
	if response, _, err := intruder.readAnswer(); err != nil || response.StatusCode != 503 {
		t.Errorf("a caller that pretends to be a host: %v, error %v", response, err)
	}
}

// helperCaller connects to a host's address for hosts from an address that is not that of a host which is cut off.
func helperCaller(t *testing.T, address string) *caller {
	t.Helper()
	h := &host{address: address}
	return h.dial(t)
}

// TestDigestsWithoutKeys guards against digests of requests, which hosts tell each other, that depend on a caller's key.
func TestDigestsWithoutKeys(t *testing.T) {
	h, seen := startKeyedHost(t)
	digests := map[string]string{}
	for id, key := range map[string]string{"1": "key-a", "2": "key-a2", "3": "key-d"} {
		c := h.dial(t)
		c.send("GET", "/public/x", id, "", "Authorization: Bearer "+key)
		c.expect(id, 200, "ok")
		<-seen
		digests[id] = h.record(t, id).Digest.String()
	}
	if digests["1"] != digests["2"] || digests["1"] == digests["3"] {
		t.Errorf("digests are %v, expected the same for the keys of one customer only", digests)
	}
}
