package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"

	"clementinelock/core"
	"clementinelock/core/ctrl"
	"clementinelock/core/fake"
	"clementinelock/core/model"
	"clementinelock/core/quorum"
	"clementinelock/core/tree"
)

const (
	benchEdits  = 200
	catchUpOver = 1000
	giveUpAfter = 30 * core.Second
)

// benchControl measures edits: how fast they are accepted and in force, with and without faults.
func benchControl(_ context.Context, b *bench) error {
	s, err := newSite(b, "instituto", nil)
	if err != nil {
		return err
	}
	var accepted, inForce []core.Millis
	for i := range benchEdits {
		a, f := oneEdit(s, s.AnyHost(), i)
		accepted, inForce = append(accepted, a), append(inForce, f)
	}
	b.atMost("edit accepted, 20 ms between regions, p99", quantile(accepted, 0.99), 100)
	b.atMost("edit in force at all 9 hosts, p99", quantile(inForce, 0.99), core.Second)
	benchLeaderLoss(b, s)
	benchSilence(b, s)
	benchCatchUp(b, s)
	benchElections(b)
	return nil
}

// oneEdit makes an edit at a host and returns the times until it is accepted and in force at all running hosts.
func oneEdit(s *model.Site, host string, number int) (accepted, inForce core.Millis) {
	began, version := s.Now, newestVersion(s)
	edit := &tree.Edit{ID: "bench-" + strconv.FormatUint(s.Rand.Uint64(), 36), Base: version, Changes: []tree.Change{
		{Path: "/", Setting: "QueueLimit", Value: strconv.Itoa(100 + number%1000)},
	}}
	s.Ask(host, ctrl.Request{Question: ctrl.AskEdit, Edit: edit}, func(_ *ctrl.Body, r *core.Refusal) {
		if r == nil {
			accepted = s.Now - began
		}
	})
	for s.Now-began < giveUpAfter && (accepted == 0 || oldestVersion(s) <= version) {
		s.For(1)
	}
	return accepted, s.Now - began
}

func newestVersion(s *model.Site) uint64 {
	newest := uint64(0)
	for _, name := range s.Hosts() {
		newest = max(newest, s.Machines[name].Versions().InForce)
	}
	return newest
}

func oldestVersion(s *model.Site) uint64 {
	oldest := ^uint64(0)
	for _, name := range s.Hosts() {
		oldest = min(oldest, s.Machines[name].Versions().InForce)
	}
	return oldest
}

// leaderOf returns the control host that leads, or the empty string.
func leaderOf(s *model.Site) string {
	for _, name := range s.Control {
		if s.Up(name) && s.Machines[name].Leads() {
			return name
		}
	}
	return ""
}

func benchLeaderLoss(b *bench, s *model.Site) {
	var elected, inForce []core.Millis
	for i := range 20 {
		old := leaderOf(s)
		s.Kill(old)
		began := s.Now
		for leaderOf(s) == "" && s.Now-began < giveUpAfter {
			s.For(1)
		}
		elected = append(elected, s.Now-began)
		_, f := oneEdit(s, s.Hosts()[0], i)
		inForce = append(inForce, s.Now-began)
		_ = f
		s.Begin(old)
		s.For(4 * core.Second)
	}
	b.atMost("new leader after the old one's loss, longest of 20", quantile(elected, 1), 2*core.Second)
	b.atMost("edit in force after a leader's loss, longest of 20", quantile(inForce, 1), 5*core.Second)
}

// benchSilence cuts the connections between the leader and one host after the other without a word.
func benchSilence(b *bench, s *model.Site) {
	var inForce []core.Millis
	for i, name := range s.View.HostNames() {
		leader := leaderOf(s)
		if name == leader {
			continue
		}
		s.Isolate(leader, []string{name}, true)
		_, f := oneEdit(s, leader, i)
		inForce = append(inForce, f)
		s.Heal()
		s.For(4 * core.Second)
	}
	b.atMost("edit in force with a silent connection to the leader, longest", quantile(inForce, 1), 5*core.Second)
}

// benchCatchUp measures how long a host that was away for many changes lags.
func benchCatchUp(b *bench, s *model.Site) {
	away := s.View.HostNames()[1]
	s.Kill(away)
	for i := range catchUpOver {
		oneEdit(s, s.Control[0], i)
	}
	began, version := s.Now, newestVersion(s)
	s.Begin(away)
	for s.Machines[away].Versions().InForce < version && s.Now-began < giveUpAfter {
		s.For(1)
	}
	b.atMost(fmt.Sprintf("catch-up of a host after %d changes", catchUpOver), s.Now-began, 2*core.Second)
}

// nothing is a state machine without state.
type nothing struct{}

// Apply does nothing.
func (nothing) Apply(uint64, []byte) {}

// Snapshot returns nothing.
func (nothing) Snapshot() []byte { return nil }

// Restore takes nothing.
func (nothing) Restore([]byte) error { return nil }

// benchElections counts the terms of an hour with lost messages.
func benchElections(b *bench) {
	w := fake.NewWorld(b.seed)
	w.Delay = func(string, string) core.Millis { return 18 + core.Millis(w.Rand.IntN(5)) }
	w.Loss = 0.02
	names := []string{"one", "two", "three"}
	replicas := map[string]*quorum.Replica{}
	w.Carry = func(host string, e core.Effects) {
		if len(e.Writes) == 0 {
			return
		}
		last := e.Writes[len(e.Writes)-1].Seq
		w.At(w.Now+1, func() {
			out := core.Effects{}
			replicas[host].Synced(w.Now, last, &out)
			w.Do(host, out)
		})
	}
	for _, name := range names {
		r := &quorum.Replica{Self: name, Rand: rand.New(rand.NewPCG(w.Rand.Uint64(), 4)), StateMachine: nothing{}, InitialVoters: names}
		replicas[name] = r
		out := core.Effects{}
		if err := r.Start(w.Now, core.Stored{Vote: core.Vote{Incarnation: 1}}, &out); err != nil {
			panic(err)
		}
		w.Do(name, out)
		w.Start(name, fake.Part{Part: r})
	}
	w.For(5 * core.Second)
	before := replicas["one"].Term()
	w.For(core.Hour)
	elections := replicas["one"].Term() - before
	b.add("elections in an hour with 2% of messages lost", elections == 0, "0", "%d", elections)
}
