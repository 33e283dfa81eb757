package entry_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"clementinelock/core/fleet"
	"clementinelock/core/pick"
	"clementinelock/core/routes"
)

// TestProbeOfAColdEndpoint guards against a host that hears from an endpoint itself that it is cold, and sends it requests as
// if it were warm until a list shows it.
func TestProbeOfAColdEndpoint(t *testing.T) {
	for _, c := range []struct {
		text string
		cold bool
	}{{"3000", true}, {"0.5", true}, {"0", false}, {"", false}, {"-4", false}, {"NaN", false}, {"soon", false}, {"1e99", true}} {
		t.Run(c.text, func(t *testing.T) {
			h := startHost(t, 1)
			h.change(func(_ *fleet.View, _ *routes.Table, picks *pick.Table) { picks.Bounds.ColdSlack = 8 })
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				if request.RequestURI != "/" {
					return echo(conn, request, body)
				}
				_, err := io.WriteString(conn, reply(request, 200, "", "Cold: "+c.text))
				return err == nil
			})
			h.server.CutOff()
			for end := time.Now().Add(5 * time.Second); h.server.Cut() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				h.server.Probe(t.Context())
			}
			caller := h.dial(t)
			caller.send("GET", "/read/x", "r-1", "")
			caller.expect("r-1", http.StatusOK, "GET /read/x ")
			if got := h.record(t, "r-1").Cold; got != c.cold {
				t.Errorf("after a probe that told %q the endpoint counts as cold: %t", c.text, got)
			}
		})
	}
}

// TestProbeWithABrokenHead guards against a cold time that is believed though it stands in a head that is none.
func TestProbeWithABrokenHead(t *testing.T) {
	for name, head := range map[string]string{
		"a blank in a name":      "HTTP/1.1 200 OK\r\nCold: 3000\r\nOt her: v\r\nContent-Length: 0\r\n\r\n",
		"a name that is a blank": "HTTP/1.1 200 OK\r\nCold: 3000\r\nOther: v\r\n : v\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, 1)
			h.change(func(_ *fleet.View, _ *routes.Table, picks *pick.Table) { picks.Bounds.ColdSlack = 8 })
			h.setAnswer(func(conn net.Conn, request *http.Request, body []byte) bool {
				if request.RequestURI != "/" {
					return echo(conn, request, body)
				}
				_, err := io.WriteString(conn, head)
				return err == nil
			})
			h.server.CutOff()
			for end := time.Now().Add(5 * time.Second); h.server.Cut() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				h.server.Probe(t.Context())
			}
			if h.server.Cut() {
				t.Error("an endpoint that answers does not count as reached")
			}
			caller := h.dial(t)
			caller.send("GET", "/read/x", "r-1", "")
			caller.expect("r-1", http.StatusOK, "GET /read/x ")
			if h.record(t, "r-1").Cold {
				t.Error("the endpoint counts as cold")
			}
		})
	}
}
