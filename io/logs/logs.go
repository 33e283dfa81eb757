package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Logger writes the lines of one process.
type Logger struct {
	base  *logrus.Logger
	host  string
	queue *queue
}

// New returns a logger for a host; level is a logrus level's name.
func New(w io.Writer, host, level string) *Logger {
	base := logrus.New()
	base.SetOutput(w)
	base.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	base.SetLevel(parsed)
	return &Logger{base: base, host: host}
}

// entry begins a line; structured lines have the part as a field, others as the prefix of their text.
func (l *Logger) entry(part string) *logrus.Entry {
	e := l.base.WithField("Host", l.host)
	if l.queue != nil {
		e = e.WithField("Part", part)
	}
	return e
}

func (l *Logger) text(part, text string) string {
	if l.queue != nil {
		return text
	}
	return part + ": " + text
}

// Info writes a line under a part's prefix.
func (l *Logger) Info(part, text string) {
	l.entry(part).Info(l.text(part, text))
}

// Error writes an error under a part's prefix.
func (l *Logger) Error(part string, err error) {
	l.entry(part).Error(l.text(part, err.Error()))
}

// Debug writes a line that is shown only on request.
func (l *Logger) Debug(part, text string) {
	l.entry(part).Debug(l.text(part, text))
}

// NewStructured returns a logger that writes one JSON object a line from a queue, so that a slow output holds nobody up.
func NewStructured(w io.Writer, host string) *Logger {
	q := &queue{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	base := logrus.New()
	base.SetOutput(q)
	base.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", FieldMap: logrus.FieldMap{
		logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Text",
	}})
	go q.run(w)
	return &Logger{base: base, host: host, queue: q}
}
