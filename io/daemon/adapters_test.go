package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"clementinelock/core"
	"clementinelock/core/tree"
	"clementinelock/io/certs"
	"clementinelock/io/config"
	"clementinelock/io/daemon"
	"clementinelock/io/deploy"
	"clementinelock/io/proto"
	"clementinelock/io/shell"
)

const (
	hostAddress    = "127.4.1.1:8080"
	largeBodyBytes = 3 << 20
)

// oneHost is a cluster of one host in front of an upstream whose handler a test sets.
type oneHost struct {
	handler       atomic.Pointer[http.HandlerFunc]
	runs          atomic.Int64
	operatorFlags []string
	daemon        *daemon.Daemon
	host          deploy.Host
}

func startOneHost(t *testing.T) *oneHost {
	t.Helper()
	o := &oneHost{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == proto.LoadPath {
			w.Header().Set(proto.Load, proto.FormatLoad(core.Report{}))
			return
		}
		o.runs.Add(1)
		(*o.handler.Load())(w, r)
	})}
	go func() { _ = upstream.Serve(listener) }()
	t.Cleanup(func() { _ = upstream.Close() })
	text := fmt.Sprintf("[Root]\nLookupTimeToLive = \"100ms\"\nRetryBudget = 1.0\n[Regions.r.Zones.z]\nHosts = [\"h %s 127.4.1.1:8443\"]\n[Regions.r.Zones.z.Services.s]\nEndpoints = [%q]\n", hostAddress, listener.Addr())
	parsed, err := config.ParseTree("tree", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	o.start(t, parsed)
	return o
}

func (o *oneHost) start(t *testing.T, parsed *tree.Tree) {
	t.Helper()
	d := &deploy.Deployment{Folder: t.TempDir(), Tree: parsed, Validity: time.Hour, StopWithin: 5 * core.Second}
	hosts, err := d.Write()
	if err != nil {
		t.Fatal(err)
	}
	o.host = hosts[0]
	o.daemon = &daemon.Daemon{Settings: o.host.Settings, LogOutput: io.Discard}
	if err := o.daemon.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { o.daemon.Kill(); _ = o.daemon.Wait() })
	keys := d.OperatorKeys()
	o.operatorFlags = []string{"--hosts", o.host.Settings.OperatorAddress, "--certificate", keys.Certificate, "--key", keys.Key, "--authority", keys.Authority}
	var edits []string
	for path, values := range parsed.Nodes {
		for name, value := range values {
			edits = append(edits, string(path), name+"="+value)
		}
	}
	var out bytes.Buffer
	for tries := 0; ; tries++ {
		code := shell.Main(context.Background(), append(append([]string{"apply"}, o.operatorFlags...), o.write(t, parsed)), &out, &out)
		if code == shell.ExitOK {
			break
		}
		if tries > 50 {
			t.Fatalf("the tree %v was not accepted: %s", edits, out.String())
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.waitReady(t)
}

func (o *oneHost) write(t *testing.T, parsed *tree.Tree) string {
	t.Helper()
	file := t.TempDir() + "/tree.toml"
	if err := writeFile(file, config.WriteTree(parsed)); err != nil {
		t.Fatal(err)
	}
	return file
}

// waitReady waits until a request is served and the ledger has recovered.
func (o *oneHost) waitReady(t *testing.T) {
	t.Helper()
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	o.handler.Store(&ok)
	for range 200 {
		response, err := http.Get("http://" + hostAddress + proto.ServicePath + "s/")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK && o.daemon.Dump().Ledger.Recovered {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("the host is not ready: %+v", o.daemon.Dump())
}

// exchange is one case: a request, the upstream's handler, a check of the answer and how often the upstream runs the
// request (-1 for any number).
type exchange struct {
	name     string
	request  func() *http.Request
	upstream http.HandlerFunc
	check    func(t *testing.T, response *http.Response, body []byte, err error)
	runs     int64
}

func request(method, path string, body io.Reader, headers ...string) func() *http.Request {
	return func() *http.Request {
		r, err := http.NewRequest(method, "http://"+hostAddress+proto.ServicePath+path, body)
		if err != nil {
			panic(err)
		}
		for i := 0; i+1 < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		return r
	}
}

func refusal(kind core.Kind, ran core.Ran) func(*testing.T, *http.Response, []byte, error) {
	return func(t *testing.T, response *http.Response, body []byte, err error) {
		t.Helper()
		if err != nil || response.Header.Get(proto.Kind) != string(kind) || response.Header.Get(proto.Ran) != string(ran) {
			t.Fatalf("got %v %v %s; expected %s %s", err, response, body, kind, ran)
		}
	}
}

func answered(status int, text string) func(*testing.T, *http.Response, []byte, error) {
	return func(t *testing.T, response *http.Response, body []byte, err error) {
		t.Helper()
		if err != nil || response.StatusCode != status || string(body) != text {
			t.Fatalf("got %v, status %d, body %.80q; expected %d and %.80q", err, response.StatusCode, body, status, text)
		}
	}
}

func exchanges() []exchange {
	large := strings.Repeat("x", largeBodyBytes)
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	closeConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	expectBroken := func(t *testing.T, _ *http.Response, body []byte, err error) {
		t.Helper()
		if err == nil {
			t.Fatalf("a truncated answer was delivered as complete: %q", body)
		}
	}
	return []exchange{
		{"path and query", request("GET", "s/a%2Fb/c?q=1&r=%20", nil), func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.EscapedPath()+"?"+r.URL.RawQuery) }, answered(200, "/a%2Fb/c?q=1&r=%20"), 1},
		{"large body both ways", request("PUT", "s/", strings.NewReader(large)), echo, answered(200, large), 1},
		{"body of unknown length", request("POST", "s/", io.MultiReader(strings.NewReader("one "), strings.NewReader("two"))), echo, answered(200, "one two"), 1},
		{"trailers", request("GET", "s/", nil), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			fmt.Fprint(w, "body")
			w.Header().Set("X-Sum", "17")
		}, func(t *testing.T, response *http.Response, _ []byte, err error) {
			t.Helper()
			if err != nil || response.Trailer.Get("X-Sum") != "17" {
				t.Fatalf("trailer %v, error %v", response.Trailer, err)
			}
		}, 1},
		{"answer that breaks off", request("GET", "s/", nil), truncate, expectBroken, 1},
		{"stream that breaks off", request("GET", "s/", nil), func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, expectBroken, 1},
		{"no answer to a read", request("GET", "s/", nil), closeConnection, refusal(core.UpstreamFailed, core.RanUnknown), 3},
		{"no answer to a write", request("POST", "s/", strings.NewReader("x")), closeConnection, refusal(core.UpstreamFailed, core.RanUnknown), 1},
		{"no answer to a keyed write", request("POST", "s/", strings.NewReader("x"), proto.IdempotencyKey, "k-hang"), closeConnection, refusal(core.UpstreamFailed, core.RanUnknown), 1},
		{"the same key again", request("POST", "s/", strings.NewReader("x"), proto.IdempotencyKey, "k-hang"), echo, refusal(core.OutcomeLost, core.RanUnknown), 0},
		{"keyed write", request("POST", "s/", strings.NewReader("pay"), proto.IdempotencyKey, "k-1"), echo, answered(200, "pay"), 1},
		{"keyed write again", request("POST", "s/", strings.NewReader("pay"), proto.IdempotencyKey, "k-1"), echo, answered(200, "pay"), 0},
		{"key with another body", request("POST", "s/", strings.NewReader("other"), proto.IdempotencyKey, "k-1"), echo, refusal(core.KeyReused, core.RanUnknown), 0},
		{"key of another caller", request("POST", "s/", strings.NewReader("theirs"), proto.IdempotencyKey, "k-1", "Authorization", "them"), echo, answered(200, "theirs"), 1},
		{"answer too large to keep", request("POST", "s/", strings.NewReader(large[:60000]), proto.IdempotencyKey, "k-2"), echo, answered(200, large[:60000]), 1},
		{"answer too large to keep, again", request("POST", "s/", strings.NewReader(large[:60000]), proto.IdempotencyKey, "k-2"), echo, func(t *testing.T, response *http.Response, _ []byte, err error) {
			t.Helper()
			if err != nil || response.Header.Get(proto.Stored) != "OutcomeOnly" || response.Header.Get(proto.Ran) != "Yes" {
				t.Fatalf("got %v %v", err, response)
			}
		}, 0},
		{"deadline", request("GET", "s/", nil, proto.Deadline, "150ms"), func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, refusal(core.DeadlinePassed, core.RanUnknown), 1},
		{"bad deadline", request("GET", "s/", nil, proto.Deadline, "soon"), echo, refusal(core.BadRequest, core.RanNo), 0},
		{"unknown service", request("GET", "none/", nil), echo, refusal(core.UnknownService, core.RanNo), 0},
		{"upstream did not start", request("POST", "s/", strings.NewReader("x")), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(proto.Ran, string(core.RanNo))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(t *testing.T, response *http.Response, _ []byte, err error) {
			t.Helper()
			if err != nil || response.Header.Get(proto.Ran) != string(core.RanNo) {
				t.Fatalf("got %v %v", err, response)
			}
		}, -1},
	}
}

// TestExchanges checks what callers get over real connections, and how often the upstream ran each request.
func TestExchanges(t *testing.T) {
	o := startOneHost(t)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range exchanges() {
		t.Run(e.name, func(t *testing.T) {
			o.handler.Store(&e.upstream)
			o.runs.Store(0)
			response, err := client.Do(e.request())
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			e.check(t, response, body, err)
			if runs := o.runs.Load(); e.runs >= 0 && runs != e.runs {
				t.Fatalf("the upstream ran it %d times; expected %d", runs, e.runs)
			}
			// An endpoint that has failed a few times gets no requests for a while; the next case needs it.
			o.waitReady(t)
		})
	}
}

// TestForeignKeys checks that a certificate that has expired or that another authority signed is refused with an error
// that says so.
func TestForeignKeys(t *testing.T) {
	folder := t.TempDir()
	if err := certs.MakeAuthority(folder, "other"); err != nil {
		t.Fatal(err)
	}
	if err := certs.MakeAuthority(folder, "other"); err == nil {
		t.Fatal("an existing authority was replaced")
	}
	cases := []struct {
		name   string
		valid  time.Duration
		expect string
	}{{"old", -time.Hour, "expired on"}, {"good", time.Hour, ""}}
	for _, c := range cases {
		if err := certs.Issue(folder, c.name, certs.Operators, nil, c.valid); err != nil {
			t.Fatal(err)
		}
		keys := &certs.Keys{Files: certs.Files{Certificate: folder + "/" + c.name + ".crt", Key: folder + "/" + c.name + ".key", Authority: folder + "/" + certs.AuthorityFile}}
		err := keys.Load()
		if c.expect == "" && err != nil || c.expect != "" && (err == nil || !strings.Contains(err.Error(), c.expect)) {
			t.Fatalf("%s: error %v; expected %q", c.name, err, c.expect)
		}
	}
	second := t.TempDir()
	if err := certs.MakeAuthority(second, "second"); err != nil {
		t.Fatal(err)
	}
	foreign := &certs.Keys{Files: certs.Files{Certificate: folder + "/good.crt", Key: folder + "/good.key", Authority: second + "/" + certs.AuthorityFile}}
	if err := foreign.Load(); err == nil || !strings.Contains(err.Error(), "was not signed by this cluster's authority") {
		t.Fatalf("a foreign certificate gives %v", err)
	}
}

func writeFile(name string, data []byte) error {
	return os.WriteFile(name, data, 0o600)
}
