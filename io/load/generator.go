package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"clementinelock/core"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3
)

// Generator sends requests of several callers at a fixed mean rate. Set the exported fields before Run.
type Generator struct {
	Callers  []*Caller
	Services []string
	// Rate is the number of requests per second that all callers start together.
	Rate     float64
	Duration time.Duration
	Deadline core.Millis
	// KeyedShare is the share of requests that are not idempotent and carry a key.
	// Some of them are sent twice at the same time.
	KeyedShare float64
	Seed       uint64
}

// Result is one finished request with its outcome.
type Result struct {
	Request
	Outcome
}

// Report is the summary of a load.
type Report struct {
	mutex     sync.Mutex
	Results   []Result
	Latencies *hdrhistogram.Histogram
	Kinds     map[core.Kind]int
	Answered  int
	Wrong     int
	CutOff    int
	Failed    int
}

// Run starts requests at Rate regardless of response times (open loop) and returns when all have ended.
func (m *Generator) Run(ctx context.Context) *Report {
	report := &Report{Latencies: hdrhistogram.New(lowestMicros, highestMicros, significantDigits), Kinds: map[core.Kind]int{}}
	random := rand.New(rand.NewPCG(m.Seed, 2))
	var wait sync.WaitGroup
	began := time.Now()
	due := time.Duration(0)
	for number := 0; due < m.Duration && ctx.Err() == nil; number++ {
		time.Sleep(time.Until(began.Add(due)))
		request := m.request(random, number)
		caller := m.Callers[random.IntN(len(m.Callers))]
		duplicate := request.Key != "" && random.Float64() < 0.1
		wait.Add(1)
		go func() {
			defer wait.Done()
			if duplicate {
				wait.Add(1)
				go func() {
					defer wait.Done()
					report.add(request, caller.Do(ctx, request))
				}()
			}
			report.add(request, caller.Do(ctx, request))
		}()
		due += time.Duration(random.ExpFloat64() / m.Rate * float64(time.Second))
	}
	wait.Wait()
	return report
}

func (m *Generator) request(random *rand.Rand, number int) Request {
	r := Request{
		Service: m.Services[random.IntN(len(m.Services))], Method: http.MethodGet,
		ID: fmt.Sprintf("m%d-%d", m.Seed, number), Deadline: m.Deadline,
	}
	if random.Float64() < m.KeyedShare {
		r.Method, r.Body = http.MethodPost, fmt.Sprintf("{\"Amount\": %d}", number)
		r.Key = fmt.Sprintf("key-%d-%d", m.Seed, number)
	}
	return r
}

func (r *Report) add(request Request, o Outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Results = append(r.Results, Result{request, o})
	switch {
	case o.CutOff:
		r.CutOff++
	case o.Error != nil:
		r.Failed++
	case o.Kind != "":
		r.Kinds[o.Kind]++
	default:
		r.Answered++
		// RecordValue fails for latencies above the upper bound of the histogram, 60 s; they are left out.
		_ = r.Latencies.RecordValue(o.Latency.Microseconds())
	}
	if o.Wrong {
		r.Wrong++
	}
}

// Quantile returns the q-quantile of the latencies of answered requests, with q from 0 to 1.
func (r *Report) Quantile(q float64) time.Duration {
	const percent = 100
	return time.Duration(r.Latencies.ValueAtQuantile(q*percent)) * time.Microsecond
}
