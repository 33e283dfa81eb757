package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const uploadConfiguration = `{"version":"r1","services":[
{"name":"reads","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":5.2},
{"name":"uploads","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":5.2}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"virtualHosts":[{"hostname":"shop.example","paths":[
{"name":"read","pathPrefix":"/read/","type":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"backend":"reads","maxAttempts":2,"sessionAffinity":false,"allowedRegions":[]},
{"name":"upload","pathPrefix":"/upload/","type":"unsafe","timeoutMs":8000,"targetLatencyMs":4000,"priority":1,"backend":"uploads","maxAttempts":2,"sessionAffinity":false,"allowedRegions":[]}]}]}`

// The disruption: one of two endpoints answers one in earlyOneIn of its uploads early, for troubleTime.
const (
	uploaders   = 40
	earlyOneIn  = 50
	troubleTime = 5500 * time.Millisecond
)

// keptClient sends one request after the other on a kept connection.
type keptClient struct {
	record   *record
	address  string
	number   int
	arrived  func(id string) bool
	answered *atomic.Int64
	lost     *atomic.Int64
	stop     *atomic.Bool
}

func (k *keptClient) run() {
	for !k.stop.Load() {
		conn, err := net.DialTimeout("tcp", k.address, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		k.use(conn)
		conn.Close()
	}
}

// use sends requests on a connection until it ends.
func (k *keptClient) use(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for n := 0; !k.stop.Load(); n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		_, err := fmt.Fprintf(conn, "GET /read/%d-%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", k.number, n, id)
		if err != nil {
			k.record.line("client %d: request %s could not be sent: %v", k.number, id, err)
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			passed := k.arrived(id)
			k.record.line("client %d: request %s, number %d on its connection, has no answer: %v; an endpoint got it: %t", k.number, id, n+1, err, passed)
			var network net.Error
			closed := !errors.As(err, &network) || !network.Timeout()
			if passed && closed && n > 0 {
				k.lost.Add(1)
			}
			return
		}
		k.answered.Add(1)
		if response.Close {
			return
		}
	}
}

// slowUpload sends a long body in chunks with pauses, and reads the answer once the body is sent or can't be sent any more.
func slowUpload(rec *record, address string, bursts int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		rec.line("upload %s: no connection: %v", id, err)
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /upload/%s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	chunk := strings.Repeat("x", 32<<10)
	sent := 0
	for burst := range bursts {
		if burst > 0 {
			time.Sleep(400 * time.Millisecond)
		}
		// A burst is 192 KB in chunks of 32 KB.
		part := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk), 6)
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		n, err := io.WriteString(conn, part)
		sent += n
		if err != nil {
			rec.line("upload %s: %d bytes sent, then %v", id, sent, err)
			break
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.line("upload %s: %d bytes sent, no answer: %v", id, sent, err)
		return
	}
	if response.StatusCode != http.StatusOK {
		rec.line("upload %s: %d bytes sent, answer %d", id, sent, response.StatusCode)
	}
}

// upload is the case of long bodies in chunks that endpoints answer before they have read them.
func upload(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, []string{"mar-a", "ege-a", "akd-a"}, []string{"mar-a"})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if f.platform, err = newPlatform(f.prefix + ".60:0"); err != nil {
		return false, err
	}
	var endpoints []*endpoint
	for i := range 6 {
		service := "reads"
		work := 250 * time.Millisecond
		if i >= 4 {
			service, work = "uploads", 50*time.Millisecond
		}
		e, err := f.newEndpoint(service, fmt.Sprintf("i-%08x", rand.Uint32()), "mar-a", fmt.Sprintf("%s.%d", f.prefix, 70+i), 8, work)
		if err != nil {
			return false, err
		}
		if i == 4 && trouble {
			// It rejects some uploads after the first 160 KB, keeps the connection and reads on.
			e.earlyBytes = 160 << 10
		}
		endpoints = append(endpoints, e)
	}
	if err := f.startAll(uploadConfiguration); err != nil {
		return false, err
	}
	time.Sleep(contactWindow + 2*time.Second)
	entry := f.entries[0]
	var answered, lost atomic.Int64
	var stop atomic.Bool
	arrived := func(id string) bool {
		for _, e := range endpoints {
			if e.hasRun(id) {
				return true
			}
		}
		return false
	}
	var clients, uploads sync.WaitGroup
	for i := range 12 {
		k := &keptClient{record: rec, address: f.callers(entry), number: i, arrived: arrived, answered: &answered, lost: &lost, stop: &stop}
		clients.Go(k.run)
	}
	time.Sleep(2 * time.Second)
	rec.line("uploads begin, %d at a time", uploaders)
	var platform sync.WaitGroup
	var ended atomic.Bool
	var ends atomic.Int64
	platform.Go(func() { f.restart(entry, &ended, &ends) })
	end := time.Now().Add(troubleTime)
	for range uploaders {
		uploads.Go(func() {
			for time.Now().Before(end) {
				slowUpload(rec, f.callers(entry), 2)
			}
		})
	}
	uploads.Wait()
	time.Sleep(time.Second)
	stop.Store(true)
	clients.Wait()
	ended.Store(true)
	platform.Wait()
	for _, e := range endpoints {
		rec.line("endpoint %s of %s: %d requests, %d of them answered early", e.id, e.service, e.arrived.Load(), e.early.Load())
	}
	rec.line("requests on kept connections: %d answered, %d passed on to an endpoint and closed without an answer (the rule allows 3)", answered.Load(), lost.Load())
	rec.line("the entry host ended by itself %d times", ends.Load())
	return lost.Load() > 3, nil
}
