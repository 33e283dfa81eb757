package core

import (
	"fmt"
	"time"
)

// Millis is an instant since the Unix epoch or a length of time, in milliseconds.
type Millis int64

// Lengths of time that settings and parts are written in.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Never is an instant later than every instant that a process can reach.
const Never Millis = 1<<62 - 1

// Duration converts a length of time to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts an instant to the standard library's type.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// String writes a length of time with its unit, such as 1.5s.
func (m Millis) String() string {
	return m.Duration().String()
}

// MarshalText writes a length of time as settings hold it.
func (m Millis) MarshalText() ([]byte, error) {
	return []byte(m.String()), nil
}

// UnmarshalText reads a length of time such as 250ms; it errs on a missing unit or a part of a millisecond.
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a length of time with a unit, such as 250ms", text)
	}
	if d%time.Millisecond != 0 {
		return fmt.Errorf("%q is not a whole number of milliseconds", text)
	}
	*m = Millis(d.Milliseconds())
	return nil
}
