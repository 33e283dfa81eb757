package proto_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/io/proto"
)

// TestParseRetryAfter covers fractions, values beyond any use and texts that are not a positive number.
func TestParseRetryAfter(t *testing.T) {
	for _, c := range []struct {
		text    string
		expect  core.Millis
		invalid bool
	}{
		{"2", 2000, false},
		{" 0.25 ", 250, false},
		{"0.0004", 1, false},
		{"1000000000", 86400 * core.Second, false},
		{"Inf", 86400 * core.Second, false},
		{"", 0, true},
		{"0", 0, true},
		{"-1", 0, true},
		{"NaN", 0, true},
		{"soon", 0, true},
		{"Fri, 04 Dec 2026 07:00:00 GMT", 0, true},
	} {
		got, err := proto.ParseRetryAfter(c.text)
		if got != c.expect || (err != nil) != c.invalid {
			t.Errorf("%q is read as %s, %v; expected %s, invalid: %t", c.text, got, err, c.expect, c.invalid)
		}
	}
}
