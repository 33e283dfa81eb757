package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"clementinelock/core"
	"clementinelock/io/proto"
	"clementinelock/io/stand"
)

const (
	loopbackWorkers     = 6
	loopbackDuration    = 3 * time.Second
	loopbackServiceTime = 2 * time.Millisecond
)

// benchLoopback compares requests through an entry host with the same requests sent directly to the endpoints,
// over real connections.
func benchLoopback(ctx context.Context, b *bench) error {
	folder, err := os.MkdirTemp("", "clementinelab-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c := &Cluster{TreeFile: "examples/instituto/tree.toml", Folder: folder, ServiceTime: loopbackServiceTime, Seed: b.seed, StopWithin: 10 * core.Second}
	defer c.Stop()
	if err := c.Start(ctx); err != nil {
		return err
	}
	if err := c.waitServing(ctx); err != nil {
		return err
	}
	view := viewOf(c.Tree)
	endpoints := view.Service(view.Zones[0].Name, "estado-guia").Endpoints
	direct := runClosedLoop(func(worker int, client *http.Client) error {
		return get(client, "http://"+endpoints[worker%len(endpoints)]+"/work")
	})
	caller := c.Callers()[0]
	answer, err := caller.Lookup(ctx, "estado-guia")
	if err != nil {
		return err
	}
	through := runClosedLoop(func(_ int, client *http.Client) error {
		return get(client, "http://"+answer.Hosts[0].Address+proto.ServicePath+"estado-guia/work")
	})
	b.add("direct to the endpoints, 6 at once", direct.failed == 0, "", "%.0f/s, p50 %s, p99 %s", direct.rate, direct.p50, direct.p99)
	b.add("through an entry host", through.failed == 0, "", "%.0f/s, p50 %s, p99 %s, %d failed", through.rate, through.p50, through.p99, through.failed)
	b.add("through over direct", true, "", "rate %.2f, p50 %.2f, p99 %.2f", through.rate/direct.rate, ratio(through.p50, direct.p50), ratio(through.p99, direct.p99))
	lookups := runClosedLoop(func(_ int, client *http.Client) error {
		return get(client, "http://"+answer.Hosts[0].Address+proto.LookupPath+"?service=estado-guia&client=10.20.1.1")
	})
	b.add("look-ups over HTTP, 6 callers", lookups.failed == 0, "", "%.0f/s, p99 %s", lookups.rate, lookups.p99)
	return nil
}

func ratio(a, b time.Duration) float64 {
	return float64(a) / float64(b)
}

// loopResult is the result of a closed loop of requests.
type loopResult struct {
	rate     float64
	p50, p99 time.Duration
	failed   int64
}

// runClosedLoop runs workers that each send a request as soon as the one before has ended.
func runClosedLoop(send func(worker int, client *http.Client) error) loopResult {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loopbackWorkers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var failed atomic.Int64
	var mutex sync.Mutex
	var latencies []int64
	var wait sync.WaitGroup
	end := time.Now().Add(loopbackDuration)
	for worker := range loopbackWorkers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var own []int64
			for time.Now().Before(end) {
				began := time.Now()
				if err := send(worker, client); err != nil {
					failed.Add(1)
				}
				own = append(own, int64(time.Since(began)))
			}
			mutex.Lock()
			latencies = append(latencies, own...)
			mutex.Unlock()
		}()
	}
	wait.Wait()
	return loopResult{
		rate: float64(len(latencies)) / loopbackDuration.Seconds(), failed: failed.Load(),
		p50: time.Duration(quantile(latencies, 0.5)).Round(10 * time.Microsecond), p99: time.Duration(quantile(latencies, 0.99)).Round(10 * time.Microsecond),
	}
}

func get(client *http.Client, url string) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set(stand.RequestHeader, "bench")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s failed with status %d", url, response.StatusCode)
	}
	return nil
}
