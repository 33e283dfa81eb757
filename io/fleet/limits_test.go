package fleet

import (
	"bytes"
	"math"
	"runtime/debug"
	"strings"
	"testing"

	"clementinelock/core/hold"
	"clementinelock/io/entry"
	"clementinelock/io/logs"

	"github.com/prometheus/client_golang/prometheus"
)

// TestLimitsOfTheMachine guards against limits for callers that do not follow from the machine, or that take what endpoints, files
// and other hosts need.
func TestLimitsOfTheMachine(t *testing.T) {
	for _, megabytes := range []float64{0, 184, 284} {
		s := Settings{MemoryMegabytes: megabytes, MaxDescriptors: 4100}
		memory := s.MemoryMegabytes
		if memory == 0 {
			memory = defaultMemoryMegabytes
		}
		if held := float64(s.heldBytes()); held <= 0 || held > memory*bytesPerMegabyte/2 {
			t.Errorf("%v MB: %v bytes for callers", megabytes, held)
		}
		// Each connection of a caller may need one to an endpoint; 200 descriptors are for files.
		if connections := s.callerConnections(); connections < 1500 || 2*connections > 4100-200 {
			t.Errorf("%d of %d descriptors for callers", connections, s.MaxDescriptors)
		}
	}
	unknown := Settings{}
	if unknown.descriptors() < 0 || unknown.callerConnections() > unknown.descriptors()/2 {
		t.Errorf("%d of %d descriptors for callers", unknown.callerConnections(), unknown.descriptors())
	}
}

// TestCollectorKnowsTheMemory guards against garbage up to the size of what lives, beyond the memory of the machine.
func TestCollectorKnowsTheMemory(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	debug.SetMemoryLimit(math.MaxInt64)
	unknown := Settings{}
	if unknown.limitMemory(); debug.SetMemoryLimit(-1) != math.MaxInt64 {
		t.Error("a limit was set though the memory is not known")
	}
	known := Settings{MemoryMegabytes: 284}
	if known.limitMemory(); debug.SetMemoryLimit(-1) != 213<<20 {
		t.Errorf("limit %d, expected 213 MB", debug.SetMemoryLimit(-1))
	}
	larger := Settings{MemoryMegabytes: 1000}
	if larger.limitMemory(); debug.SetMemoryLimit(-1) != 213<<20 {
		t.Error("a lower limit was raised")
	}
}

// TestRefusalsAreLoggedRarely guards against a line for each client of a crowd.
func TestRefusalsAreLoggedRarely(t *testing.T) {
	var l heldLog
	if l.line(2000, hold.Counts{Accounts: 3}) != "" {
		t.Error("a line without a refusal")
	}
	if l.line(2000, hold.Counts{Refused: 2}) == "" || l.line(2100, hold.Counts{Refused: 9}) != "" || l.line(3100, hold.Counts{Refused: 9}) == "" || l.line(9000, hold.Counts{Refused: 9}) != "" {
		t.Error("lines are not one a second while there are refusals")
	}
}

// TestLongTextsOfCallersInTheLog guards against log lines of many times the size of a request, of which thousands wait for a slow
// output.
func TestLongTextsOfCallersInTheLog(t *testing.T) {
	var output bytes.Buffer
	log := logs.NewStructured(&output, "h")
	e := NewEntry(Settings{}, nil, log)
	e.metrics = newMetrics(prometheus.NewRegistry(), &e.host)
	long := strings.Repeat("\x01é", 8000)
	e.recordRequest(entry.RequestRecord{RequestID: long, Detail: long, Status: 404})
	e.recordRequest(entry.RequestRecord{RequestID: "9c41d07be2a35f68", Detail: "short"})
	log.Close()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 || len(lines[0]) > 4096 || !strings.Contains(lines[1], `"9c41d07be2a35f68"`) || !strings.Contains(lines[1], `"short"`) {
		t.Errorf("%d lines, the first of %d bytes, the last %q", len(lines), len(lines[0]), lines[len(lines)-1])
	}
}
