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
	editCount    = 200
	catchUpEdits = 1000
	waitTimeout  = 30 * core.Second
)

// benchControl measures the time until edits are accepted and in force, with and without faults.
func benchControl(_ context.Context, b *bench) error {
	s, err := newSite(b, "instituto", nil)
	if err != nil {
		return err
	}
	var accepted, inForce []core.Millis
	for i := range editCount {
		a, f := measureEdit(s, s.AnyHost(), i)
		accepted, inForce = append(accepted, a), append(inForce, f)
	}
	b.addBounded("edit accepted, 20 ms between regions, p99", quantile(accepted, 0.99), 100)
	b.addBounded("edit in force at all 9 hosts, p99", quantile(inForce, 0.99), core.Second)
	benchLeaderLoss(b, s)
	benchSilentPartition(b, s)
	benchCatchUp(b, s)
	benchElections(b)
	return nil
}

// measureEdit makes an edit at a host and returns the times until it is accepted and until it is in force at all
// running hosts.
func measureEdit(s *model.Deployment, host string, number int) (accepted, inForce core.Millis) {
	began, version := s.Now, newestVersion(s)
	edit := &tree.Edit{ID: "bench-" + strconv.FormatUint(s.Rand.Uint64(), 36), Base: version, Changes: []tree.Change{
		{Path: "/", Setting: "QueueLimit", Value: strconv.Itoa(100 + number%1000)},
	}}
	s.Ask(host, ctrl.Request{Question: ctrl.AskEdit, Edit: edit}, func(_ *ctrl.Body, r *core.Refusal) {
		if r == nil {
			accepted = s.Now - began
		}
	})
	for s.Now-began < waitTimeout && (accepted == 0 || oldestVersion(s) <= version) {
		s.RunFor(1)
	}
	return accepted, s.Now - began
}

func newestVersion(s *model.Deployment) uint64 {
	newest := uint64(0)
	for _, name := range s.Hosts() {
		newest = max(newest, s.Machines[name].Versions().InForce)
	}
	return newest
}

func oldestVersion(s *model.Deployment) uint64 {
	oldest := ^uint64(0)
	for _, name := range s.Hosts() {
		oldest = min(oldest, s.Machines[name].Versions().InForce)
	}
	return oldest
}

// leaderOf returns the control host that is the leader, or an empty string.
func leaderOf(s *model.Deployment) string {
	for _, name := range s.Control {
		if s.Up(name) && s.Machines[name].IsLeader() {
			return name
		}
	}
	return ""
}

func benchLeaderLoss(b *bench, s *model.Deployment) {
	var elected, inForce []core.Millis
	for i := range 20 {
		old := leaderOf(s)
		s.Kill(old)
		began := s.Now
		for leaderOf(s) == "" && s.Now-began < waitTimeout {
			s.RunFor(1)
		}
		elected = append(elected, s.Now-began)
		_, f := measureEdit(s, s.Hosts()[0], i)
		inForce = append(inForce, s.Now-began)
		_ = f
		s.StartHost(old)
		s.RunFor(4 * core.Second)
	}
	b.addBounded("new leader after the old one's loss, longest of 20", quantile(elected, 1), 2*core.Second)
	b.addBounded("edit in force after a leader's loss, longest of 20", quantile(inForce, 1), 5*core.Second)
}

// benchSilentPartition measures edits while messages between the leader and one other host are dropped without
// an error, for each host in turn.
func benchSilentPartition(b *bench, s *model.Deployment) {
	var inForce []core.Millis
	for i, name := range s.View.HostNames() {
		leader := leaderOf(s)
		if name == leader {
			continue
		}
		s.Isolate(leader, []string{name}, true)
		_, f := measureEdit(s, leader, i)
		inForce = append(inForce, f)
		s.Heal()
		s.RunFor(4 * core.Second)
	}
	b.addBounded("edit in force with a silent connection to the leader, longest", quantile(inForce, 1), 5*core.Second)
}

// benchCatchUp measures how long a host that was down during catchUpEdits edits takes to catch up.
func benchCatchUp(b *bench, s *model.Deployment) {
	stopped := s.View.HostNames()[1]
	s.Kill(stopped)
	for i := range catchUpEdits {
		measureEdit(s, s.Control[0], i)
	}
	began, version := s.Now, newestVersion(s)
	s.StartHost(stopped)
	for s.Machines[stopped].Versions().InForce < version && s.Now-began < waitTimeout {
		s.RunFor(1)
	}
	b.addBounded(fmt.Sprintf("catch-up of a host after %d changes", catchUpEdits), s.Now-began, 2*core.Second)
}

// noopStateMachine is a state machine without state.
type noopStateMachine struct{}

// Apply does nothing.
func (noopStateMachine) Apply(uint64, []byte) {}

// Snapshot returns no data.
func (noopStateMachine) Snapshot() []byte { return nil }

// Restore does nothing.
func (noopStateMachine) Restore([]byte) error { return nil }

// benchElections counts the elections in an hour in which messages are lost.
func benchElections(b *bench) {
	w := fake.NewSimulation(b.seed)
	w.Delay = func(string, string) core.Millis { return 18 + core.Millis(w.Rand.IntN(5)) }
	w.LossRate = 0.02
	names := []string{"one", "two", "three"}
	replicas := map[string]*quorum.Replica{}
	w.OnEffects = func(host string, e core.Effects) {
		if len(e.Writes) == 0 {
			return
		}
		last := e.Writes[len(e.Writes)-1].Seq
		w.At(w.Now+1, func() {
			out := core.Effects{}
			replicas[host].Synced(w.Now, last, &out)
			w.Apply(host, out)
		})
	}
	for _, name := range names {
		r := &quorum.Replica{Self: name, Rand: rand.New(rand.NewPCG(w.Rand.Uint64(), 4)), StateMachine: noopStateMachine{}, InitialVoters: names}
		replicas[name] = r
		out := core.Effects{}
		if err := r.Start(w.Now, core.Stored{Vote: core.Vote{Incarnation: 1}}, &out); err != nil {
			panic(err)
		}
		w.Apply(name, out)
		w.Start(name, fake.Part{Part: r})
	}
	w.RunFor(5 * core.Second)
	before := replicas["one"].Term()
	w.RunFor(core.Hour)
	elections := replicas["one"].Term() - before
	b.add("elections in an hour with 2% of messages lost", elections == 0, "0", "%d", elections)
}
