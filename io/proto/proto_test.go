package proto_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/io/proto"
)

func TestParseDeadline(t *testing.T) {
	cases := []struct {
		text  string
		value core.Millis
		valid bool
	}{{"", 0, true}, {"250", 250, true}, {"250ms", 250, true}, {"1.5s", 1500, true}, {"0", 0, false}, {"-5ms", 0, false}, {"soon", 0, false}, {"1us", 0, false}}
	for _, c := range cases {
		value, err := proto.ParseDeadline(c.text)
		if (err == nil) != c.valid || err == nil && value != c.value {
			t.Errorf("ParseDeadline(%q) returned %d, error %v", c.text, value, err)
		}
	}
}

func FuzzHeaders(f *testing.F) {
	f.Add("InFlight=2 Queue=0 Cold=false", "250ms")
	f.Fuzz(func(t *testing.T, load, deadline string) {
		if report := proto.ParseLoad(load); report != nil {
			again := proto.ParseLoad(proto.FormatLoad(*report))
			if again == nil || *again != *report {
				t.Fatalf("report %+v is parsed as %+v after formatting", report, again)
			}
		}
		if value, err := proto.ParseDeadline(deadline); err == nil && value < 0 {
			t.Fatalf("ParseDeadline(%q) returned the negative value %d", deadline, value)
		}
	})
}
