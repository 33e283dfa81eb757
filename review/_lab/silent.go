package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// answer is how one client's request ended.
type answer struct {
	id     string
	status int
	// ended is when the answer was complete or the connection ended, after the request was sent; 0 if neither happened.
	ended time.Duration
	whole bool
	bytes int
	err   string
}

// call sends one request on a new connection and reads its answer until the client gives up.
func call(f *fleet, p *process, id, method, path string, deadline, patience time.Duration, body string) answer {
	a := answer{id: id}
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, callerPort), time.Second)
	if err != nil {
		a.err = err.Error()
		return a
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	_ = c.SetDeadline(began.Add(patience))
	length := ""
	if body != "" || method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	f.record.logf("client sends %s %s %s to %s", id, method, path, p.ip)
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s", method, path, hostName, id, deadline.Milliseconds(), length, body)
	if err != nil {
		a.err = err.Error()
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err == nil {
		a.status = response.StatusCode
		var n int64
		n, err = io.Copy(io.Discard, response.Body)
		a.bytes = int(n)
		a.whole = err == nil
	}
	var network net.Error
	if err != nil {
		a.err = err.Error()
	}
	if timedOut := err != nil && asTimeout(err, &network); !timedOut {
		a.ended = time.Since(began)
	}
	f.record.logf("client: %s status %d, %d bytes, whole %t, ended after %d ms (0: not), error %q", id, a.status, a.bytes, a.whole, a.ended.Milliseconds(), a.err)
	return a
}

func asTimeout(err error, network *net.Error) bool {
	for err != nil {
		if n, ok := err.(net.Error); ok {
			*network = n
			return n.Timeout()
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}

// descriptors returns the number of a process's open TCP connections to callers, by its own metrics, and of its descriptors.
func descriptors(p *process) (connections string, open int) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	connections = "unknown"
	if response, err := client.Get(fmt.Sprintf("http://%s:9464/metrics", p.ip)); err == nil {
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		for _, line := range strings.Split(string(data), "\n") {
			if value, found := strings.CutPrefix(line, "clementinelock_entry_connections "); found {
				connections = value
			}
		}
	}
	files, _ := os.ReadDir(filepath.Join("/proc", fmt.Sprint(p.command.Process.Pid), "fd"))
	return connections, len(files)
}

// silentEndpoint lets endpoints fall silent in the middle of long answers. A request must have its final answer, or the end of its
// connection, half a second after its route's timeout at the latest.
func silentEndpoint(f *fleet, trouble bool) (outcome, error) {
	const (
		endpoints, silent = 14, 2
		slots             = 8
		timeout           = 2000 * time.Millisecond
		size              = 600_000
	)
	var all []*endpoint
	for i := range endpoints {
		e, err := f.addEndpoint(i, "galeri", slots, 1000*time.Millisecond, size)
		if err != nil {
			return unable, err
		}
		all = append(all, e)
	}
	if err := f.start(3, 3); err != nil {
		return unable, err
	}
	if err := f.operate("/config/put", configuration(3, []string{"galeri"}, []route{{"r-photo", "/leny950/", "safe", "galeri", int(timeout.Milliseconds()), 2}}), 10*time.Second); err != nil {
		return unable, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return unable, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	answers := make([]answer, endpoints*slots)
	for i := range answers {
		time.Sleep(2 * time.Millisecond)
		group.Go(func() {
			answers[i] = call(f, f.entries[i%len(f.entries)], fmt.Sprintf("%016x", i+1), http.MethodGet, fmt.Sprintf("/leny950/%d", i), 4*time.Second, 4*time.Second, "")
		})
	}
	if trouble {
		// By now the answers are half sent.
		time.Sleep(700 * time.Millisecond)
		for _, e := range all[:silent] {
			e.goDark(5 * time.Second)
		}
	}
	group.Wait()
	late, hung := 0, 0
	for _, a := range answers {
		if a.ended == 0 || a.ended > timeout {
			late++
			if a.ended == 0 || a.ended > timeout+500*time.Millisecond {
				hung++
			}
		}
	}
	f.record.logf("%d of %d requests lasted longer than timeoutMs, %d of these had no final answer half a second later", late, len(answers), hung)
	time.Sleep(5 * time.Second)
	for _, p := range f.entries {
		connections, open := descriptors(p)
		f.record.logf("5 s after the last client has left, entry host %s holds %s connections of callers and %d descriptors", p.ip, connections, open)
	}
	if hung >= 8 && 4*hung > late {
		return broken, nil
	}
	return held, nil
}
