package link

import (
	"testing"
	"time"
)

// TestStaleMessages guards against messages that are sent seconds after they were queued, as by a process that was paused
// meanwhile.
func TestStaleMessages(t *testing.T) {
	p := &peer{network: &Network{}, queue: make(chan queued, 8)}
	now := time.Now()
	for _, age := range []time.Duration{0, 5 * time.Second, maxQueueTime + 100*time.Millisecond, 0} {
		p.queue <- queued{[]byte{byte(age / time.Second)}, now.Add(-age)}
	}
	buffer, count := p.batch(queued{[]byte{9}, now.Add(-time.Hour)})
	if string(buffer) != "\x01\x00\x01\x00" || count != 2 {
		t.Fatalf("%d messages are sent: %q, expected the two that were queued just now", count, buffer)
	}
	if lost := p.network.Stats.Read().Lost; lost != 3 {
		t.Fatalf("%d messages are counted as lost, expected 3", lost)
	}
}
