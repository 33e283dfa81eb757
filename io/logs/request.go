package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of the queue between a process and its log.
const (
	maxQueuedLines = 4096
	maxBatchBytes  = 32 << 10
	// closeTimeout prevents an output that blocks from delaying a stop.
	closeTimeout = 200 * time.Millisecond
)

// queue writes lines in the background without blocking the callers that log.
type queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed to end the queue; done is closed when the last line is written.
	closing chan struct{}
	done    chan struct{}
	batch   []byte
}

// Write queues a line; if the queue is full, the line is dropped and counted.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until closing is closed; lines that wait together are written in one batch, and a batch whose write
// fails is dropped.
func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeBatch(w, line)
		case <-q.closing:
			for len(q.lines) > 0 {
				q.writeBatch(w, <-q.lines)
			}
			return
		}
	}
}

func (q *queue) writeBatch(w io.Writer, line []byte) {
	batch := append(q.batch[:0], line...)
	for len(q.lines) > 0 && len(batch) < maxBatchBytes {
		batch = append(batch, <-q.lines...)
	}
	if _, err := w.Write(batch); err != nil {
		q.dropped.Add(1)
	}
	q.batch = batch
}

// Close writes the queued lines, as far as the output accepts them within closeTimeout.
func (l *Logger) Close() {
	if l.queue == nil {
		return
	}
	close(l.queue.closing)
	select {
	case <-l.queue.done:
	case <-time.After(closeTimeout):
	}
}

// Fields holds the typed fields of a line.
type Fields = logrus.Fields

// Line logs a text for a part of the process at info level, with fields.
func (l *Logger) Line(part, text string, fields Fields) {
	l.base.WithFields(fields).WithField("Part", part).Info(text)
}

// Dropped returns the number of dropped lines; a batch whose write failed counts as one.
func (l *Logger) Dropped() uint64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped.Load()
}
