package fleet_test

import (
	"slices"
	"testing"

	"clementinelock/core"
	"clementinelock/core/crash"
)

// TestEndsOfEndpointsAreKnownEverywhere guards against hosts that flock to an endpoint which starts again, cold, under its
// id: what one entry host has seen must reach all others before it is up again.
func TestEndsOfEndpointsAreKnownEverywhere(t *testing.T) {
	t.Parallel()
	const newsDelay = 300 * core.Millisecond
	for seed := range uint64(20) {
		s := newSite(t, seed)
		s.RunFor(8 * core.Second)
		s.Apply("entry-4", s.entries["entry-4"].RecordEnded(s.Now, []crash.Ended{{Endpoint: "i-1"}}))
		s.RunFor(newsDelay)
		for name, e := range s.entries {
			known := slices.ContainsFunc(e.View(s.Now).Ended, func(each crash.Ended) bool { return each.Endpoint == "i-1" && each.Age <= newsDelay+10 })
			if name != "entry-4" && !known {
				t.Errorf("seed %d: entry host %s in %s has %v after %s", seed, name, s.zones[name], e.View(s.Now).Ended, newsDelay)
			}
		}
		s.RunFor(6 * core.Second)
		for name, e := range s.entries {
			if ended := e.View(s.Now).Ended; len(ended) > 0 {
				t.Errorf("seed %d: entry host %s is still told of %v", seed, name, ended)
			}
		}
	}
}
