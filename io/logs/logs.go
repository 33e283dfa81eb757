package logs

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Logger writes the log of one process.
type Logger struct {
	base  *logrus.Logger
	host  string
	queue *queue
}

// New returns a logger of text lines for a host; level is the name of a logrus level, and an unknown name means info.
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

// entry returns a new line; structured lines have the part as a field, others have it as a prefix of the text.
func (l *Logger) entry(part string) *logrus.Entry {
	e := l.base.WithField("Host", l.host)
	if l.queue != nil {
		e = e.WithField("Part", part)
	}
	return e
}

func (l *Logger) formatText(part, text string) string {
	if l.queue != nil {
		return text
	}
	return part + ": " + text
}

// Info logs a text for a part of the process.
func (l *Logger) Info(part, text string) {
	l.entry(part).Info(l.formatText(part, text))
}

// Error logs an error for a part of the process.
func (l *Logger) Error(part string, err error) {
	l.entry(part).Error(l.formatText(part, err.Error()))
}

// Debug logs a text for a part of the process at debug level.
func (l *Logger) Debug(part, text string) {
	l.entry(part).Debug(l.formatText(part, text))
}

// NewStructured returns a logger that writes one JSON object per line from a queue, so that a slow output does
// not block its callers.
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
