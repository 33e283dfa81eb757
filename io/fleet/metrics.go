package fleet

import (
	"net/http"
	"strconv"

	"clementinelock/io/entry"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are those of one process.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

func newMetrics(registry *prometheus.Registry, h *host) *metrics {
	m := &metrics{
		registry: registry,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementinelock_entry_requests_total", Help: "Answered requests by service, status and error kind."}, []string{"service", "status", "kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "clementinelock_entry_attempts_total", Help: "Sendings to endpoints by service."}, []string{"service"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "clementinelock_entry_request_seconds", Help: "Time from a request's arrival to its answer, by service.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"service"}),
	}
	logged := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "clementinelock_log_dropped_total", Help: "Log lines that were dropped because the output was slow."}, func() float64 { return float64(h.Log.Dropped()) })
	sent := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "clementinelock_peer_bytes_sent_total", Help: "Bytes to other hosts."}, func() float64 {
		if h.network == nil {
			return 0
		}
		return float64(h.network.Stats.Read().SentBytes)
	})
	registry.MustRegister(m.requests, m.attempts, m.latency, logged, sent)
	return m
}

func (m *metrics) count(a entry.Account) {
	m.requests.WithLabelValues(a.Service, strconv.Itoa(a.Status), string(a.Kind)).Inc()
	m.attempts.WithLabelValues(a.Service).Add(float64(a.Attempts))
	m.latency.WithLabelValues(a.Service).Observe(a.Took.Duration().Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
