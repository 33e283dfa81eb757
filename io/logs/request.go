package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Sizes of the queue between a process and its log.
const (
	maxQueuedLines = 4096
	maxBatchBytes  = 32 << 10
	// closeTimeout keeps an output that takes nothing from holding up a stop.
	closeTimeout = 200 * time.Millisecond
)

// queue writes lines without ever holding up those who log.
type queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	// closing ends the queue, written tells that its last line is out.
	closing chan struct{}
	done    chan struct{}
	batch   []byte
}

// Write queues a line; when the queue is full the line is dropped and counted.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the lines, several at once when they wait; an output that fails loses them.
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

// Close writes what still waits, as far as the output takes it within a moment.
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

// Fields are the typed fields of a line.
type Fields = logrus.Fields

// Line writes a structured line of a part with its fields.
func (l *Logger) Line(part, text string, fields Fields) {
	l.base.WithFields(fields).WithField("Part", part).Info(text)
}

// Dropped returns how many lines were dropped.
func (l *Logger) Dropped() uint64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped.Load()
}
