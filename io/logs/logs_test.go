package logs_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"clementinelock/io/logs"
)

// blockedWriter is a writer that blocks while its gate is locked.
type blockedWriter struct {
	gate  sync.Mutex
	bytes bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.gate.Lock()
	defer b.gate.Unlock()
	return b.bytes.Write(p)
}

// TestStructuredLines checks that lines are JSON objects with their fields, and that Close writes all queued lines.
func TestStructuredLines(t *testing.T) {
	var out bytes.Buffer
	log := logs.NewStructured(&out, "host-1")
	for range 100 {
		log.Line("request", "Answers.", logs.Fields{"Status": 200})
	}
	log.Close()
	decoder := json.NewDecoder(&out)
	for i := range 100 {
		var line struct {
			Part, Text string
			Status     int
		}
		if err := decoder.Decode(&line); err != nil {
			t.Fatalf("line %d: %v", i, err)
		}
		if line.Part != "request" || line.Text != "Answers." || line.Status != 200 {
			t.Fatalf("line %d is %+v", i, line)
		}
	}
}

// TestSlowOutput checks that an output that blocks does not block the logger, and that dropped lines are counted.
func TestSlowOutput(t *testing.T) {
	out := &blockedWriter{}
	out.gate.Lock()
	log := logs.NewStructured(out, "host-1")
	const lines = 20000
	for range lines {
		log.Info("part", "text")
	}
	out.gate.Unlock()
	log.Close()
	written := bytes.Count(out.bytes.Bytes(), []byte("\n"))
	if dropped := int(log.Dropped()); dropped == 0 || written+dropped != lines {
		t.Fatalf("%d lines were written and %d counted as dropped, expected %d together", written, dropped, lines)
	}
}
