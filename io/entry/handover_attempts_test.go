package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"clementinelock/core/reach"
	"clementinelock/io/pool"
)

// reachedEndpoints notes which endpoints get each request.
type reachedEndpoints struct {
	mutex sync.Mutex
	byID  map[string]map[string]bool
}

// watch lets the hosts' endpoints note their requests before they answer.
func (r *reachedEndpoints) watch(answer func(conn net.Conn, request *http.Request, body []byte) bool, hosts ...*host) {
	r.byID = map[string]map[string]bool{}
	for h, each := range hosts {
		for i, e := range each.endpoints {
			name := fmt.Sprint(h, "-", i)
			e.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				r.mutex.Lock()
				id := request.Header.Get("Id")
				if r.byID[id] == nil {
					r.byID[id] = map[string]bool{}
				}
				r.byID[id][name] = true
				r.mutex.Unlock()
				return answer(conn, request, body)
			})
		}
	}
}

func (r *reachedEndpoints) count(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.byID[id])
}

// failures are the ways in which endpoints leave a request without a good answer, or answer it late.
var failures = []struct {
	name   string
	answer func(conn net.Conn, request *http.Request, body []byte) bool
	// retried is set if a request that may run again should reach as many endpoints as its route allows.
	retried bool
}{
	{"silent", func(net.Conn, *http.Request, []byte) bool { time.Sleep(time.Second); return false }, false},
	{"late", func(conn net.Conn, request *http.Request, body []byte) bool {
		time.Sleep(450 * time.Millisecond)
		return echo(conn, request, body)
	}, false},
	{"breaking off", func(net.Conn, *http.Request, []byte) bool { return false }, true},
	{"failing", func(conn net.Conn, request *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, reply(request, 500, "oops"))
		return err == nil
	}, true},
	{"failing late", func(conn net.Conn, request *http.Request, _ []byte) bool {
		time.Sleep(250 * time.Millisecond)
		_, err := io.WriteString(conn, reply(request, 500, "oops"))
		return err == nil
	}, false},
	{"sending garbage", func(conn net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(conn, "\x00garbage\r\n\r\n")
		return false
	}, true},
}

// TestAttemptsOfHandedOverRequests guards against requests that run at more endpoints than their route allows, because each
// of the hosts that they are handed over to makes and hedges attempts of its own, and against a host that makes fewer than
// the route allows where it has several helpers, or one.
func TestAttemptsOfHandedOverRequests(t *testing.T) {
	for _, c := range failures {
		for helperCount := range 4 {
			t.Run(fmt.Sprint(c.name, " ", helperCount), func(t *testing.T) {
				t.Parallel()
				var addresses []string
				var helpers []*host
				for range max(1, helperCount) {
					helper, address := startHelper(t, 5)
					helpers, addresses = append(helpers, helper), append(addresses, address)
				}
				h := startCutHost(t, addresses...)
				var reached reachedEndpoints
				reached.watch(c.answer, helpers...)
				if helperCount == 0 {
					// The host reaches the endpoints itself when it gets the request, and is cut off meanwhile.
					h = startHost(t, 5)
					h.server.Helpers = &reach.Helpers{Region: "r", Zone: "z", Rand: rand.New(rand.NewPCG(1, 2))}
					h.server.HelperPool = &pool.Pool{Dialect: dialect, LocalIP: net.ParseIP(cutHostIP)}
					h.server.HelperAddress = func(name string) string { return name }
					h.server.SetPeers([]reach.Helper{{Name: addresses[0], Region: "r", Zone: "z"}}, nil)
					reached.watch(func(conn net.Conn, request *http.Request, body []byte) bool {
						h.server.CutOff()
						return c.answer(conn, request, body)
					}, append(helpers, h)...)
				}
				for i, path := range []string{"/read/x", "/write/x", "/many/x", "/read/x", "/many/x", "/write/x"} {
					id := fmt.Sprint(i, path)
					caller := h.dial(t)
					method, most := "GET", 2
					switch path {
					case "/write/x":
						method, most = "POST", 1
					case "/many/x":
						most = 4
					}
					caller.send(method, path, id, "", fmt.Sprint("Cookie: object=", i))
					if _, _, err := caller.readAnswer(); err != nil {
						t.Fatal(err)
					}
					time.Sleep(30 * time.Millisecond)
					got := reached.count(id)
					if got > most {
						t.Errorf("request %s reached %d endpoints, the route allows %d", id, got, most)
					}
					if i < 3 && c.retried && got < most {
						t.Errorf("request %s reached %d endpoints, expected %d", id, got, most)
					}
				}
			})
		}
	}
}

// TestHandoverHeader guards against hosts of different builds that read more attempts out of the header between them than
// the one that wrote it allows.
func TestHandoverHeader(t *testing.T) {
	for text, attempts := range map[string]int{
		"Reached=0 Counted=false Version=1": 1, "Reached=1 Counted=true Version=1 Attempts=1": 1, "Reached=0 Counted=false Version=1 Attempts=3": 3,
		"Reached=0 Counted=false Version=1 Attempts=-3": 1, "Reached=0 Counted=false Version=1 Customer=\"Attempts=9\"": 1, "": 1, "x": 1,
	} {
		helper, address := startHelper(t, 5)
		var reached reachedEndpoints
		reached.watch(failures[2].answer, helper)
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(cutHostIP)}}
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		c := &caller{t, conn, bufio.NewReader(conn)}
		c.send("GET", "/many/x", "r", "", "Clementinelock-Handover: "+text)
		response, _, err := c.readAnswer()
		_ = conn.Close()
		if err != nil {
			t.Fatal(err)
		}
		if got := reached.count("r"); got != attempts || response.Header.Get("Clementinelock-Reached") != fmt.Sprint(attempts) {
			t.Errorf("%q: %d endpoints were reached, the answer tells %q; expected %d", text, got, response.Header.Get("Clementinelock-Reached"), attempts)
		}
	}
}
