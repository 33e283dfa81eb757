package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"clementinelock/io/proto"
	"clementinelock/io/shell"
)

// TestConnectionsThatStayOpen guards against clients that connect to a port of a tree's host and stay, until no descriptor or memory is
// left: the port for operators has at most 128 connections, and each port still serves others.
func TestConnectionsThatStayOpen(t *testing.T) {
	const extra, most = 40, 128
	o := startOneHost(t)
	settings := o.host.Settings
	unfinished := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000)
	for _, port := range []struct {
		address, text string
		count         int
	}{{settings.OperatorAddress, "", most + extra}, {settings.StatusAddress, unfinished, most + extra}, {settings.CallerAddress, unfinished, extra}} {
		var conns []net.Conn
		for range port.count {
			conn, err := net.Dial("tcp", port.address)
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
			// The host may close the connection.
			_, _ = io.WriteString(conn, port.text)
		}
		closed := 0
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			if _, err := io.ReadAll(conn); err == nil || !strings.Contains(err.Error(), "timeout") {
				closed++
			}
		}
		if closed < port.count-most {
			t.Errorf("%s closed %d of %d connections, %d allowed", port.address, closed, port.count, most)
		}
		var out bytes.Buffer
		if code := shell.Main(context.Background(), append([]string{"dump"}, o.operatorFlags...), &out, &out); code != shell.ExitOK {
			t.Errorf("an operator's question beside them: %s", out.String())
		}
		for _, url := range []string{"http://" + settings.StatusAddress + "/healthz", "http://" + hostAddress + proto.ServicePath + "s/"} {
			response, err := http.Get(url)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("%s beside them: %v, %v", url, response, err)
				continue
			}
			_ = response.Body.Close()
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
