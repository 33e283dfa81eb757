package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/member"
)

// TestOnlyCrashedHostIsReportedDead checks that in zones of several sizes no live host is reported dead by another, and
// that all others report a crashed host dead.
func TestOnlyCrashedHostIsReportedDead(t *testing.T) {
	for _, size := range []int{2, 3, 9, 34} {
		w := fake.NewSimulation(uint64(size))
		seeds := map[string][]string{"z": nil}
		for i := range size {
			seeds["z"] = append(seeds["z"], fmt.Sprintf("h%d", i))
		}
		tables := map[string]*member.Table{}
		for i, name := range seeds["z"] {
			table := &member.Table{Self: name, Zone: "z", Incarnation: 1, Rand: rand.New(rand.NewPCG(uint64(i), 8)), Seeds: seeds}
			table.FillOwnEntry = func(core.Millis, *member.Entry) {}
			table.OnEarlierConfirmed = func(uint64) {}
			table.OnPeerVersion = func(core.Millis, string, uint64, *core.Effects) {}
			table.Start(w.Now)
			tables[name] = table
			w.Start(name, fake.Part{Part: table})
		}
		w.RunFor(10 * core.Second)
		for range 100 {
			w.RunFor(200)
			for _, one := range seeds["z"] {
				for _, other := range seeds["z"] {
					if state := tables[one].Liveness(w.Now, other); state != core.Alive {
						t.Fatalf("zone of %d hosts: %s reports live host %s as %s", size, one, other, state)
					}
				}
			}
		}
		w.Crash("h0")
		w.RunFor(8 * core.Second)
		for _, one := range seeds["z"][1:] {
			if state := tables[one].Liveness(w.Now, "h0"); state != core.Dead {
				t.Fatalf("zone of %d hosts: %s reports crashed host h0 as %s", size, one, state)
			}
		}
	}
}
