package proto

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"clementinelock/core"
)

// Headers of requests and answers.
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
)

// Paths of the callers' and the upstreams' protocols.
const (
	LookupPath  = "/v1/lookup"
	KeyPath     = "/v1/key"
	ServicePath = "/v1/services/"
	LoadPath    = "/clementinelock/load"
)

// Refusal is a refusal's JSON form.
type Refusal struct {
	Kind       core.Kind
	Ran        core.Ran
	RetryAfter core.Millis
	Detail     string
}

// WriteRefusal answers an HTTP request with a refusal.
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

// WriteJSON answers an HTTP request with a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone when this fails, and there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// FormatLoad writes a load report as a header's value.
func FormatLoad(r core.Report) string {
	return fmt.Sprintf("InFlight=%d Queue=%d Cold=%t", r.InFlight, r.Queue, r.Cold)
}

// ParseLoad reads a load report from a header's value; it returns nil when there is none that can be read.
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
		case err != nil || number < 0:
			return nil
		case name == "InFlight":
			report.InFlight = number
		case name == "Queue":
			report.Queue = number
		}
	}
	return report
}

// ParseDeadline reads a deadline such as 250ms, or a whole number of milliseconds; empty text is 0.
func ParseDeadline(text string) (core.Millis, error) {
	if text == "" {
		return 0, nil
	}
	if number, err := strconv.ParseInt(text, 10, 64); err == nil && number > 0 {
		return core.Millis(number), nil
	}
	var m core.Millis
	if err := m.UnmarshalText([]byte(text)); err != nil || m <= 0 {
		return 0, fmt.Errorf("header %s: %q is not a positive length of time, such as 250ms", Deadline, text)
	}
	return m, nil
}

// Dialect names the headers that a deployment's callers and upstreams use; the adapter of a platform sets it.
type Dialect struct {
	// RequestID names one attempt of a caller; upstreams echo it.
	RequestID string
	// Deadline holds how many milliseconds the caller still waits.
	Deadline string
	// ObjectCookie is the cookie that requests for one object have in common.
	ObjectCookie string
	// Stamp is an upstream's signature of an answer that it made.
	Stamp string
	// ExpectInstance names the only endpoint that may run the request.
	ExpectInstance string
	// Load holds an endpoint's running requests, waiting requests and slots.
	Load string
	// NotRun tells that the endpoint did not run the request.
	NotRun string
}

// ParseReport reads running requests, waiting requests and slots, separated by commas; nil when the text is none.
func ParseReport(text string) *core.Report {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return nil
	}
	running, errRunning := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(parts[1]))
	if errRunning != nil || errWaiting != nil {
		return nil
	}
	return &core.Report{InFlight: running, Queue: waiting}
}
