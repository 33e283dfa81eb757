package main

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"clementinelock/io/config"
	"clementinelock/io/proto"
	"clementinelock/io/stand"
)

// sendToHost sends a GET to a host with further headers and returns the status, 0 for none. The caller leaves after the
// patience.
func (c *cluster) sendToHost(name, service, target string, headers map[string]string, patience time.Duration) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.hosts[name].Settings.CallerAddress+proto.ServicePath+service+target, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set(proto.Deadline, "1500ms")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: patience}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

const usualPatience = 3 * time.Second

// TestCrashingRequestAmongProcesses guards against a request that ends endpoint after endpoint, sent to nine hosts in
// turn, of which one is killed and starts again once the others know of it.
func TestCrashingRequestAmongProcesses(t *testing.T) {
	repeatCrashingRequest(t, 5*time.Millisecond, usualPatience)
}

// TestAbandonedCrashingRequestAmongProcesses is the same for a request whose callers have left by the time at which the
// endpoint ends, so that the host has closed its connection.
func TestAbandonedCrashingRequestAmongProcesses(t *testing.T) {
	repeatCrashingRequest(t, 300*time.Millisecond, 100*time.Millisecond)
}

// repeatCrashingRequest repeats a request that crashes endpoints after a delay, and checks that all hosts stop it.
func repeatCrashingRequest(t *testing.T, delay, patience time.Duration) {
	const (
		contactWindow   = 3 * time.Second
		maxCrashRetries = 3
	)
	c := newCluster(t)
	tree, err := config.ReadTree(treeFile)
	if err != nil {
		t.Fatal(err)
	}
	upstreams := &stand.Upstreams{Tree: tree, ServiceTime: 5 * time.Millisecond}
	if err := upstreams.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstreams.Stop)
	c.runVerb("apply", treeFile)
	c.runVerb("watch")
	var names []string
	for name := range c.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	service := upstreams.Usages()[0].Service
	for end := time.Now().Add(15 * time.Second); c.sendToHost(names[0], service, "/warm", nil, usualPatience) != http.StatusOK; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request is served")
		}
	}
	crash := map[string]string{stand.CrashHeader: delay.String()}
	send := func(length time.Duration, until func() bool) {
		for end, i := time.Now().Add(length), 0; time.Now().Before(end) && !until(); i++ {
			c.sendToHost(names[i%len(names)], service, "/crash", crash, patience)
			time.Sleep(50 * time.Millisecond)
		}
	}
	send(15*time.Second, func() bool { return upstreams.Crashes() >= 3 })
	if upstreams.Crashes() < 3 {
		t.Fatalf("%d endpoints ended in 15 s", upstreams.Crashes())
	}
	never := func() bool { return false }
	send(contactWindow, never)
	stopped := upstreams.Crashes()
	c.kill(names[4])
	c.start(names[4])
	c.awaitStarted(names[4])
	time.Sleep(contactWindow)
	send(6*time.Second, never)
	t.Logf("%d endpoints ended in the contact window after the third, %d after it", stopped, upstreams.Crashes()-stopped)
	if got := upstreams.Crashes() - stopped; got > maxCrashRetries {
		t.Errorf("%d endpoints ended later than the contact window after the third, %d allowed", got, maxCrashRetries)
	}
	served := 0
	for i := range 45 {
		if c.sendToHost(names[i%len(names)], service, "/other", nil, usualPatience) == http.StatusOK {
			served++
		}
	}
	if served < 40 {
		t.Errorf("%d of 45 other requests are served", served)
	}
}
