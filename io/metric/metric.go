package metric

import (
	"net/http"

	"clementinelock/core/host"
	"clementinelock/io/link"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Source provides the state that the metrics show.
type Source interface {
	// Dump returns the state of the process.
	Dump() host.Dump
	// LinkCounts returns the counts of messages to and from other hosts.
	LinkCounts() link.Counts
}

// Set holds the metrics of a process.
type Set struct {
	registry *prometheus.Registry
	Lookups  prometheus.Counter
	Latency  *prometheus.HistogramVec
}

// New returns the metrics of a process, registered together with those of the Go runtime.
func New(source Source) *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		Lookups:  prometheus.NewCounter(prometheus.CounterOpts{Name: "clementinelock_lookups_total", Help: "Look-ups that were answered."}),
		Latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "clementinelock_request_seconds", Help: "Time from a request's arrival to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service"}),
	}
	s.registry.MustRegister(s.Lookups, s.Latency, &collector{source}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Handler returns the handler that serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// stateMetric describes one metric that is read from the state.
type stateMetric struct {
	name, help string
	counter    bool
	value      func(d *host.Dump, c link.Counts) float64
}

var stateMetrics = []stateMetric{
	{"config_version", "Version of the tree in force.", false, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Version) }},
	{"config_confirmed_version", "Version that this host has confirmed.", false, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Confirmed) }},
	{"requests_total", "Requests that arrived.", true, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Calls.Arrived) }},
	{"answers_total", "Requests that were answered by an upstream or from the ledger.", true, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Calls.Answered) }},
	{"retries_total", "Extra attempts after a failure.", true, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Calls.Retried) }},
	{"hedges_total", "Extra attempts beside a slow one.", true, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Calls.Hedged) }},
	{"replays_total", "Answers from the ledger.", true, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Calls.Replayed) }},
	{"open_requests", "Requests under way.", false, func(d *host.Dump, _ link.Counts) float64 { return float64(d.OpenCalls) }},
	{"slots_in_use", "Slots that this host holds.", false, func(d *host.Dump, _ link.Counts) float64 { return float64(d.SlotsInUse) }},
	{"leases_held", "Leases that this host holds.", false, func(d *host.Dump, _ link.Counts) float64 { return float64(len(d.Leases)) }},
	{"ledger_entries", "Idempotency keys that this host notes.", false, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Ledger.Entries) }},
	{"ledger_bytes", "Memory of the ledger.", false, func(d *host.Dump, _ link.Counts) float64 { return float64(d.Ledger.Bytes) }},
	{"ledger_recovered", "1 when this host can vote on every key.", false, func(d *host.Dump, _ link.Counts) float64 { return boolValue(d.Ledger.Recovered) }},
	{"stopping", "1 during a planned stop.", false, func(d *host.Dump, _ link.Counts) float64 { return boolValue(d.Stopping) }},
	{"peer_messages_sent_total", "Messages to other hosts.", true, func(_ *host.Dump, c link.Counts) float64 { return float64(c.SentMessages) }},
	{"peer_bytes_sent_total", "Bytes to other hosts.", true, func(_ *host.Dump, c link.Counts) float64 { return float64(c.SentBytes) }},
	{"peer_messages_received_total", "Messages from other hosts.", true, func(_ *host.Dump, c link.Counts) float64 { return float64(c.ReceivedMessages) }},
	{"peer_messages_dropped_total", "Messages that a full queue dropped.", true, func(_ *host.Dump, c link.Counts) float64 { return float64(c.Dropped) }},
	{"peer_connections_lost_total", "Connections to other hosts that were lost.", true, func(_ *host.Dump, c link.Counts) float64 { return float64(c.Lost) }},
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

const prefix = "clementinelock_"

var refusalsDesc = prometheus.NewDesc(prefix+"refusals_total", "Refused requests by kind.", []string{"kind"}, nil)

// collector collects all stateMetrics from one dump.
type collector struct {
	source Source
}

// Describe sends no descriptions, so that the metrics need not be known beforehand.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends all metrics.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	dump := c.source.Dump()
	counts := c.source.LinkCounts()
	for _, r := range stateMetrics {
		kind := prometheus.GaugeValue
		if r.counter {
			kind = prometheus.CounterValue
		}
		desc := prometheus.NewDesc(prefix+r.name, r.help, nil, nil)
		out <- prometheus.MustNewConstMetric(desc, kind, r.value(&dump, counts))
	}
	for kind, count := range dump.Calls.RefusedBy {
		out <- prometheus.MustNewConstMetric(refusalsDesc, prometheus.CounterValue, float64(count), string(kind))
	}
}

// Names returns the names and help texts of the metrics, for the docs.
func Names() [][2]string {
	out := [][2]string{
		{prefix + "lookups_total", "Look-ups that were answered."},
		{prefix + "request_seconds", "Time from a request's arrival to the head of its answer, by service."},
		{prefix + "refusals_total", "Refused requests by kind."},
	}
	for _, r := range stateMetrics {
		out = append(out, [2]string{prefix + r.name, r.help})
	}
	return out
}
