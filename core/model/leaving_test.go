package model_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
	"clementinelock/core/host"
	"clementinelock/core/member"
)

// TestLeavingEndpointAfterRestarts guards against an endpoint that has left and is in use again once hosts that knew of it
// have restarted.
func TestLeavingEndpointAfterRestarts(t *testing.T) {
	for seed := range uint64(6) {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, whole zone %t", seed, all), func(t *testing.T) {
				s, load := busyDeployment(t, seed)
				s.ServiceTime = func() core.Millis { return 40 }
				zone := s.View.Zones[int(seed)%len(s.View.Zones)].Name
				left := s.Upstream[s.View.Service(zone, "kapora").Endpoints[0]]
				informed := s.View.HostNames()[0]
				s.Step(informed, func(m *host.Machine) core.Effects {
					return m.ApplyFeed(s.Now, host.Feed{Notices: []member.Notice{{Endpoint: left.Address, Leaving: true, Since: s.Now}}})
				})
				s.RunFor(3 * core.Second)
				before := len(left.StartedAt)
				if before == 0 {
					t.Fatal("the endpoint got no request before it left")
				}
				for _, name := range s.View.ZoneHosts(zone) {
					s.Kill(name)
					s.StartHost(name)
					if !all {
						s.RunFor(4 * core.Second)
					}
				}
				s.RunFor(6 * core.Second)
				load.Stop()
				if got := len(left.StartedAt) - before; got > 0 {
					t.Errorf("the endpoint got %d requests after it had left", got)
				}
			})
		}
	}
}
