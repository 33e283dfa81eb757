package proto

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"clementinelock/core"
)

// Names of the headers of requests and answers.
const (
	Deadline       = "Clementinelock-Deadline"
	IdempotencyKey = "Idempotency-Key"
	Attempt        = "Clementinelock-Attempt"
	Kind           = "Clementinelock-Kind"
	Ran            = "Clementinelock-Ran"
	RetryAfter     = "Clementinelock-Retry-After"
	Replayed       = "Clementinelock-Replayed"
	Stored         = "Clementinelock-Stored"
	ServedBy       = "Clementinelock-Host"
	Load           = "Clementinelock-Load"
	Limit          = "Clementinelock-Limit"
	// Handover marks a request that one entry host hands over to another, and Endpoint names the endpoint that answered it.
	// Reached is the number of attempts by which the other host's endpoints may have run it.
	Handover = "Clementinelock-Handover"
	Endpoint = "Clementinelock-Endpoint"
	Reached  = "Clementinelock-Reached"
	// RequestID identifies one attempt; upstreams that return it in their answers keep their connections.
	RequestID = "Clementinelock-Request"
)

// Paths of the callers' and the upstreams' protocols.
const (
	LookupPath  = "/v1/lookup"
	KeyPath     = "/v1/key"
	ServicePath = "/v1/services/"
	LoadPath    = "/clementinelock/load"
)

// Refusal is the JSON form of a core.Refusal.
type Refusal struct {
	Kind       core.Kind
	Ran        core.Ran
	RetryAfter core.Millis
	Detail     string
}

// WriteRefusal writes a refusal as an HTTP answer: the status of its kind, the headers and a JSON body.
func WriteRefusal(w http.ResponseWriter, r *core.Refusal) {
	row := core.Answers[r.Kind]
	header := w.Header()
	header.Set(Kind, string(r.Kind))
	header.Set(Ran, string(r.Ran))
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + core.Second - 1) / core.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		header.Set(RetryAfter, r.RetryAfter.String())
	}
	WriteJSON(w, row.Status, Refusal{r.Kind, r.Ran, r.RetryAfter, r.Detail})
}

// WriteJSON writes a value as the JSON body of an HTTP answer.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails when the caller has disconnected, so that the error can't be reported to it.
	_ = json.NewEncoder(w).Encode(value)
}

// FormatLoad formats a load report as a header's value.
func FormatLoad(r core.Report) string {
	return fmt.Sprintf("InFlight=%d Queue=%d Cold=%t", r.InFlight, r.Queue, r.Cold)
}

// ParseLoad parses a load report from the value of the header Load, which FormatLoad formats; it returns nil when the
// value is empty or malformed.
func ParseLoad(value string) *core.Report {
	if value == "" {
		return nil
	}
	report := &core.Report{}
	for _, word := range strings.Fields(value) {
		name, text, _ := strings.Cut(word, "=")
		number, err := strconv.Atoi(text)
		switch {
		case name == "Cold":
			report.Cold = text == "true"
		case err != nil || !isLoad(number):
			return nil
		case name == "InFlight":
			report.InFlight = number
		case name == "Queue":
			report.Queue = number
		}
	}
	return report
}

// maxDeadline bounds what a caller may name, so that sums with it stay in range.
const maxDeadline = 24 * core.Hour

// ParseDeadline parses a deadline such as 250ms, or a whole number of milliseconds, at most 24 hours; empty text gives 0.
func ParseDeadline(text string) (core.Millis, error) {
	if text == "" {
		return 0, nil
	}
	if number, err := strconv.ParseInt(text, 10, 64); err == nil && number > 0 {
		return min(core.Millis(number), maxDeadline), nil
	}
	var m core.Millis
	if err := m.UnmarshalText([]byte(text)); err != nil || m <= 0 {
		return 0, fmt.Errorf("header %s: %q is not a positive length of time, such as 250ms", Deadline, text)
	}
	return min(m, maxDeadline), nil
}

// maxLoad is more requests than an endpoint has.
const maxLoad = 1 << 20

// isLoad reports whether a number can be that of the requests at an endpoint.
func isLoad(number int) bool {
	return number >= 0 && number <= maxLoad
}

// Dialect holds the names of the headers, and of one cookie, that a deployment's callers and upstreams use; the
// platform's adapter sets them.
type Dialect struct {
	// RequestID identifies one attempt of a caller; upstreams echo it.
	RequestID string
	// Deadline holds the caller's remaining time in milliseconds.
	Deadline string
	// ObjectCookie is the cookie whose value is the same in all requests for one object.
	ObjectCookie string
	// Stamp holds an upstream's signature of its answer.
	Stamp string
	// ExpectInstance names the only endpoint that may run the request.
	ExpectInstance string
	// Load holds an endpoint's numbers of running requests, waiting requests and slots.
	Load string
	// NotRun reports that the endpoint did not run the request.
	NotRun string
	// Leaving reports that the endpoint is about to stop.
	Leaving string
	// Limit holds how many requests per second the endpoint takes from all hosts together.
	Limit string
	// Cold holds for how many milliseconds an endpoint remains cold; answers to health checks have it.
	Cold string
	// Customer tells an endpoint the name of the customer whose key the request had.
	Customer string
}

// IsLeaving reports whether an answer's header says that its endpoint is about to stop.
func (d Dialect) IsLeaving(header http.Header) bool {
	return d.Leaving != "" && header.Get(d.Leaving) == "1"
}

// maxColdTime bounds how long an endpoint may call itself cold.
const maxColdTime = core.Hour

// ParseCold returns for how long an endpoint remains cold by an answer's header; 0 if it doesn't tell, or by a text that is not a
// number of 0 or more.
func (d Dialect) ParseCold(header http.Header) core.Millis {
	if d.Cold == "" {
		return 0
	}
	left, err := strconv.ParseFloat(strings.TrimSpace(header.Get(d.Cold)), 64)
	if err != nil || !(left > 0) {
		return 0
	}
	return core.MillisOf(math.Ceil(min(left, float64(maxColdTime))))
}

// ParseLimit returns the limit that an answer's header names, in requests per second; it returns an error when the text
// is not a number of 0 or more.
func (d Dialect) ParseLimit(header http.Header) (perSecond float64, named bool, err error) {
	return ParseLimit(header, d.Limit)
}

// ParseLimit returns the limit in the header of that name, as Dialect.ParseLimit does; no name means that there is none.
func ParseLimit(header http.Header, name string) (perSecond float64, named bool, err error) {
	if name == "" || len(header.Values(name)) == 0 {
		return 0, false, nil
	}
	text := header.Get(name)
	perSecond, err = strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return 0, false, fmt.Errorf("header %s: %q is not a number of requests per second", name, text)
	}
	return perSecond, true, nil
}

// ParseRetryAfter parses the seconds of a Retry-After header, which may have a fraction; it returns an error when the
// text is not a positive number.
func ParseRetryAfter(text string) (core.Millis, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0, fmt.Errorf("header Retry-After: %q is not a positive number of seconds", text)
	}
	return core.Millis(math.Ceil(min(seconds, maxRetryAfterSeconds) * float64(core.Second))), nil
}

// maxRetryAfterSeconds bounds Retry-After; it is a day.
const maxRetryAfterSeconds = 86400

// ParseDialectLoad parses a load report from the value of the header Dialect.Load: the numbers of running requests,
// waiting requests and slots, separated by commas. It ignores the slots, and returns nil when the text is malformed.
func ParseDialectLoad(text string) *core.Report {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return nil
	}
	running, errRunning := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(parts[1]))
	if errRunning != nil || errWaiting != nil || !isLoad(running) || !isLoad(waiting) {
		return nil
	}
	return &core.Report{InFlight: running, Queue: waiting}
}
