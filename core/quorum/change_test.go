package quorum_test

import (
	"strconv"
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/quorum"
)

// member is a replica whose leader changes the membership: any host may join, and silent ones are taken out soon.
type member struct {
	*quorum.Replica
	changes *int
}

func (m member) Tick(now core.Millis, out *core.Effects) {
	m.Replica.Tick(now, out)
	before := len(out.Logs)
	m.RemoveSilent(now, 3*core.Second, out)
	*m.changes += len(out.Logs) - before
}

func (m member) Receive(now core.Millis, from string, message core.Message, out *core.Effects) {
	if _, ok := message.(*quorum.Hello); ok && m.IsLeader() {
		_ = m.AllowJoin(from)
	}
	m.Replica.Receive(now, from, message, out)
}

// TestChangesOfMembers guards against two majorities without a common member, lost commands and a group that stays without a leader
// while voters are exchanged, made learners and removed. Four of six replicas vote, which stand in two regions.
func TestChangesOfMembers(t *testing.T) {
	for part := range uint64(8) {
		t.Run(strconv.FormatUint(part, 10), func(t *testing.T) {
			t.Parallel()
			changes := 0
			for seed := part + 1; seed <= seeds(160); seed += 8 {
				g := newGroup(t, seed, 6)
				g.onStart = func(r *quorum.Replica) {
					r.MaxVoters = 4
					r.PlaceOf = func(name string) (quorum.Place, bool) {
						number := int(name[len(name)-1] - '0')
						return quorum.Place{Region: strconv.Itoa(number / 3), Zone: strconv.Itoa(number)}, true
					}
					g.Start(r.Self, fake.Part{Part: member{r, &changes}})
				}
				for _, name := range g.names {
					g.onStart(g.replicas[name])
				}
				g.LossRate, g.DuplicateRate = 0.02*float64(seed%3), 0.02
				for range 5 {
					g.At(g.Now+core.Millis(g.Rand.IntN(15000)), func() { g.stopAsPlanned(g.names[g.Rand.IntN(len(g.names))]) })
				}
				g.playFaults(seed)
			}
			if changes == 0 {
				t.Error("no member was taken out in any run")
			}
		})
	}
}

// stopAsPlanned announces a host's stop, ends it soon after and starts it again.
func (g *group) stopAsPlanned(name string) {
	if !g.Up(name) || g.upCount() <= 1+len(g.names)/2 {
		return
	}
	out := core.Effects{}
	g.replicas[name].Stop(&out)
	g.Apply(name, out)
	g.At(g.Now+100, func() {
		if g.Up(name) {
			g.crash(name)
		}
	})
	g.At(g.Now+1500, func() {
		if !g.Up(name) {
			g.start(name)
		}
	})
}
