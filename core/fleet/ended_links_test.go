package fleet_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/codec"
	"clementinelock/core/crash"
)

// TestLinksOfControlHostsAtEndsOfAZone guards against the ends of 1,212 endpoints filling the links of control hosts, which repeat all of
// them in each update of each entry host.
func TestLinksOfControlHostsAtEndsOfAZone(t *testing.T) {
	const count = 1212
	s := newSite(t, 1)
	sent := map[string]int{}
	s.OnEffects = func(host string, e core.Effects) {
		for _, send := range e.Sends {
			n := len(codec.Encode(send.Message))
			sent["from "+host] += n
			sent["to "+send.To] += n
		}
		s.carry(host, e)
	}
	s.RunFor(8 * core.Second)
	t.Logf("%d entry hosts", len(s.entries))
	clear(sent)
	s.RunFor(core.Second)
	report := func(label string) {
		most, who := 0, ""
		for w, n := range sent {
			if n > most {
				most, who = n, w
			}
		}
		t.Logf("%s: most bytes in a second: %d (%s)", label, most, who)
		// The smallest host's link of 2 Mbit/s.
		if most > 250_000 {
			t.Errorf("%s: %d bytes %s, a link of 2 Mbit/s carries 250000", label, most, who)
		}
	}
	report("calm")
	for i := range count {
		for name, e := range s.entries {
			s.At(s.Now+core.Millis(s.Rand.IntN(1000)), func() {
				s.Apply(name, e.RecordEnded(s.Now, []crash.Ended{{Endpoint: fmt.Sprintf("i-%08x", i)}}))
			})
		}
	}
	for second := range 11 {
		clear(sent)
		s.RunFor(core.Second)
		report(fmt.Sprint("second ", second))
	}
}
