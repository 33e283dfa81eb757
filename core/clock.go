package core

import (
	"fmt"
	"math"
	"time"
)

// Millis is an instant since the Unix epoch or a length of time, in milliseconds.
type Millis int64

// Units of time in which settings and constants are written.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Never is later than every instant that a process can reach.
const Never Millis = 1<<62 - 1

// MillisOf converts a number of milliseconds from outside. One that is out of range gives Never or its negative, and NaN gives 0:
// what a plain conversion makes of them depends on the processor.
func MillisOf(milliseconds float64) Millis {
	switch {
	case milliseconds >= float64(Never):
		return Never
	case milliseconds <= -float64(Never):
		return -Never
	case milliseconds != milliseconds:
		return 0
	}
	return Millis(milliseconds)
}

// Duration converts a length of time to a time.Duration, at most the longest there is.
func (m Millis) Duration() time.Duration {
	const most = Millis(math.MaxInt64 / int64(time.Millisecond))
	return time.Duration(min(max(m, -most), most)) * time.Millisecond
}

// Time converts an instant to a time.Time.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// String formats a length of time with its unit, such as 1.5s.
func (m Millis) String() string {
	return m.Duration().String()
}

// MarshalText formats a length of time as settings hold it.
func (m Millis) MarshalText() ([]byte, error) {
	return []byte(m.String()), nil
}

// UnmarshalText parses a length of time such as 250ms.
// It returns an error if the unit is missing or the value is not a whole number of milliseconds.
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
