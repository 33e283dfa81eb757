package fleet

import (
	"net/http"
	"strconv"
	"sync"

	"clementinelock/core/hold"
	"clementinelock/core/pick"
	"clementinelock/core/quota"
	"clementinelock/core/reach"
	"clementinelock/io/entry"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the metrics of one process.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	// customers counts requests by customer, named holds the customers that are counted by name.
	customers *prometheus.CounterVec
	mutex     sync.Mutex
	named     map[string]bool
}

// metricTable lists the names and help texts of the metrics; docs/METRICS.md is generated from it.
var metricTable = [][2]string{
	{"clementinelock_entry_requests_total", "Answered requests by service, status and error kind."},
	{"clementinelock_entry_attempts_total", "Sendings to endpoints by service."},
	{"clementinelock_entry_request_seconds", "Time from a request's arrival to its answer, by service."},
	{"clementinelock_log_dropped_total", "Log lines that were dropped because the output was slow."},
	{"clementinelock_peer_bytes_sent_total", "Bytes to other hosts."},
	{"clementinelock_entry_notices_total", "Answers in which endpoints said something about themselves, by notice: Leaving, Backoff (503 with Retry-After), Limit (of requests from all hosts together) or Invalid (a Retry-After or limit that can't be read)."},
	{"clementinelock_entry_cut", "1 while this host reaches no endpoint."},
	{"clementinelock_entry_cuts_total", "How often this host was cut off from all endpoints."},
	{"clementinelock_entry_handed_over_total", "Requests handed over to other entry hosts, by result: Took, Full (no room), Unwilling (cut off itself, stopping, or does not know of this host's cut) Broken (not reached, or the answer broke off) or Unanswered (given up before)."},
	{"clementinelock_entry_helped_total", "Requests taken from entry hosts that are cut off."},
	{"clementinelock_entry_customer_requests_total", "Answered requests by customer and status, for the first 200 customers of a process; the others are counted together as other."},
	{"clementinelock_entry_quota_decisions_total", "Requests of customers with a quota, by result: Granted, Exceeded or Unreached (no control host answered in time)."},
	{"clementinelock_entry_quota_draws_total", "Draws of quota tokens from control hosts, by result: Sent, or Unanswered (given up)."},
	{"clementinelock_entry_connections", "Connections of callers."},
	{"clementinelock_entry_held_bytes", "Memory that is held for callers, as the host estimates it."},
	{"clementinelock_entry_evictions_total", "Connections of callers that were closed for want of memory or descriptors."},
	{"clementinelock_entry_denials_total", "How often there was no memory or descriptor for a connection or the next part of a request, which is refused by 503 or waits for the answers before it."},
}

// maxCustomers bounds the customers that are counted by name, since each takes memory in every process.
const maxCustomers = 200

// otherCustomers is the label of the customers beyond maxCustomers.
const otherCustomers = "other"

// MetricNames returns the names and help texts of the metrics, for the docs.
func MetricNames() [][2]string {
	return metricTable
}

// counterOpts returns the name and help text of the metric at an index of metricTable.
func counterOpts(index int) prometheus.CounterOpts {
	return prometheus.CounterOpts{Name: metricTable[index][0], Help: metricTable[index][1]}
}

func newMetrics(registry *prometheus.Registry, h *host) *metrics {
	m := &metrics{
		registry: registry,
		requests: prometheus.NewCounterVec(counterOpts(0), []string{"service", "status", "kind"}),
		attempts: prometheus.NewCounterVec(counterOpts(1), []string{"service"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricTable[2][0], Help: metricTable[2][1], Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"service"}),
		customers: prometheus.NewCounterVec(counterOpts(10), []string{"customer", "status"}), named: map[string]bool{},
	}
	dropped := prometheus.NewCounterFunc(counterOpts(3), func() float64 { return float64(h.Log.Dropped()) })
	sent := prometheus.NewCounterFunc(counterOpts(4), func() float64 { return float64(h.network.Stats.Read().SentBytes) })
	registry.MustRegister(m.requests, m.attempts, m.latency, m.customers, dropped, sent)
	return m
}

// observeNotices registers the counters of endpoints' notices, which read reads.
func (m *metrics) observeNotices(read func() pick.NoticeCounts) {
	counters := map[string]func(pick.NoticeCounts) uint64{
		"Leaving": func(c pick.NoticeCounts) uint64 { return c.Leaving },
		"Backoff": func(c pick.NoticeCounts) uint64 { return c.Backoff },
		"Limit":   func(c pick.NoticeCounts) uint64 { return c.Limit },
		"Invalid": func(c pick.NoticeCounts) uint64 { return c.Invalid },
	}
	for name, field := range counters {
		options := counterOpts(5)
		options.ConstLabels = prometheus.Labels{"notice": name}
		m.registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(field(read())) }))
	}
}

// observeReach registers the counters of cuts and handed-over requests, which read reads.
func (m *metrics) observeReach(read func() entry.ReachCounts) {
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts(counterOpts(6)), func() float64 {
		if read().Current {
			return 1
		}
		return 0
	})
	cuts := prometheus.NewCounterFunc(counterOpts(7), func() float64 { return float64(read().Cuts) })
	helped := prometheus.NewCounterFunc(counterOpts(9), func() float64 { return float64(read().Helped) })
	m.registry.MustRegister(gauge, cuts, helped)
	for _, result := range []reach.Result{reach.Took, reach.Full, reach.Unwilling, reach.Broken, reach.Unanswered} {
		options := counterOpts(8)
		options.ConstLabels = prometheus.Labels{"result": result.String()}
		m.registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(read().Handed[result]) }))
	}
}

func (m *metrics) count(record entry.RequestRecord) {
	m.requests.WithLabelValues(record.Service, strconv.Itoa(record.Status), string(record.Kind)).Inc()
	m.attempts.WithLabelValues(record.Service).Add(float64(record.Attempts))
	m.latency.WithLabelValues(record.Service).Observe(record.Latency.Duration().Seconds())
	m.countCustomer(record)
}

// countCustomer counts a request of a customer.
func (m *metrics) countCustomer(record entry.RequestRecord) {
	if record.Customer == "" {
		return
	}
	m.mutex.Lock()
	name := record.Customer
	if !m.named[name] && len(m.named) >= maxCustomers {
		name = otherCustomers
	}
	m.named[name] = true
	m.mutex.Unlock()
	m.customers.WithLabelValues(name, strconv.Itoa(record.Status)).Inc()
}

// observeQuotas registers the counters of decisions by quota, which read reads.
func (m *metrics) observeQuotas(read func() quota.ClientCounts) {
	register := func(index int, result string, field func(quota.ClientCounts) uint64) {
		options := counterOpts(index)
		options.ConstLabels = prometheus.Labels{"result": result}
		m.registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(field(read())) }))
	}
	register(11, "Granted", func(c quota.ClientCounts) uint64 { return c.Granted })
	register(11, "Exceeded", func(c quota.ClientCounts) uint64 { return c.Exceeded })
	register(11, "Unreached", func(c quota.ClientCounts) uint64 { return c.Unreached })
	register(12, "Sent", func(c quota.ClientCounts) uint64 { return c.Draws })
	register(12, "Unanswered", func(c quota.ClientCounts) uint64 { return c.Unanswered })
}

// observeHeld registers the metrics of what is held for callers, which read reads.
func (m *metrics) observeHeld(read func() hold.Counts) {
	connections := prometheus.NewGaugeFunc(prometheus.GaugeOpts(counterOpts(13)), func() float64 { return float64(read().Accounts) })
	bytes := prometheus.NewGaugeFunc(prometheus.GaugeOpts(counterOpts(14)), func() float64 { return float64(read().Bytes) })
	evictions := prometheus.NewCounterFunc(counterOpts(15), func() float64 { return float64(read().Evicted) })
	denials := prometheus.NewCounterFunc(counterOpts(16), func() float64 { return float64(read().Refused) })
	m.registry.MustRegister(connections, bytes, evictions, denials)
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
