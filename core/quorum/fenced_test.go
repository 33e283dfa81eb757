package quorum_test

import (
	"testing"

	"clementinelock/core"
	"clementinelock/core/fake"
	"clementinelock/core/quorum"
)

// snapshotLag is more records than a log keeps, so that a follower that lags by as many is sent a snapshot.
const snapshotLag = 1400

// proposeMany commits commands in batches.
func (g *group) proposeMany(count int) {
	for range count / 50 {
		for range 50 {
			g.propose()
		}
		g.RunFor(50)
	}
	g.RunFor(core.Second)
}

// follower returns the name of a replica that does not lead.
func (g *group) follower() string {
	for _, name := range g.names {
		if !g.replicas[name].IsLeader() {
			return name
		}
	}
	return ""
}

// disturb delays, repeats and loses messages.
func (g *group) disturb() {
	late := g.RandomlyLate(0.3, 800)
	g.Late = func(from, to string, message core.Message) []core.Millis {
		if g.Rand.IntN(4) == 0 {
			return nil
		}
		return late(from, to, message)
	}
}

// omitStart makes the responses to snapshots those of older builds, which don't tell the follower's start.
func omitStart(_, _ string, message core.Message) {
	if m, ok := message.(*quorum.InstallSnapshotResponse); ok {
		m.Boot, m.Nonce = 0, 0
	}
}

// matchOf returns the index up to which the leader knows that the replica holds its records.
func (g *group) matchOf(leader *quorum.Replica, name string) uint64 {
	for _, member := range leader.Report(g.Now).Members {
		if member.Name == name {
			return member.Match
		}
	}
	return 0
}

// TestNothingLostNotFenced guards against replicas that are fenced, and end, although they have lost nothing: a snapshot that a
// follower installed counted as acknowledged by an earlier start of it.
func TestNothingLostNotFenced(t *testing.T) {
	emptyDisk := func(g *group, follower string) {
		g.proposeMany(snapshotLag)
		g.crash(follower)
		g.RunFor(300)
		g.disks[follower] = fake.NewDisk(77)
		g.disturb()
		g.start(follower)
	}
	cases := []struct {
		name string
		// act restarts the follower while the group runs.
		act func(g *group, follower string)
	}{
		{"on an empty disk", emptyDisk},
		{"on an empty disk, with messages of older builds", func(g *group, follower string) {
			g.OnSend = omitStart
			emptyDisk(g, follower)
		}},
		{"on an empty disk, as the leader changes", func(g *group, follower string) {
			g.proposeMany(snapshotLag)
			g.crash(follower)
			g.disks[follower] = fake.NewDisk(77)
			g.disturb()
			g.start(follower)
			g.RunFor(core.Millis(g.Rand.IntN(400)))
			if leader := g.leader(); leader != nil {
				g.Freeze(leader.Self, true)
				g.At(g.Now+1500, func() { g.Freeze(leader.Self, false) })
			}
		}},
		{"on an empty disk, after all lost power at once", func(g *group, follower string) {
			g.proposeMany(snapshotLag)
			for _, name := range g.names {
				g.crash(name)
			}
			g.RunFor(core.Second)
			g.disks[follower] = fake.NewDisk(77)
			g.disturb()
			for _, name := range g.names {
				g.start(name)
			}
		}},
		{"far behind", func(g *group, follower string) {
			g.crash(follower)
			g.proposeMany(snapshotLag)
			g.disturb()
			g.start(follower)
		}},
		{"far behind, under a leader that was just elected", func(g *group, follower string) {
			g.crash(follower)
			g.proposeMany(snapshotLag)
			g.disturb()
			former := g.leader().Self
			g.crash(former)
			g.RunFor(1000 + core.Millis(g.Rand.IntN(500)))
			g.start(former)
			g.start(follower)
		}},
		{"far behind, restarted again and again", func(g *group, follower string) {
			g.crash(follower)
			g.proposeMany(snapshotLag)
			g.disturb()
			for range 6 {
				g.start(follower)
				g.RunFor(50 + core.Millis(g.Rand.IntN(300)))
				g.crash(follower)
			}
			g.start(follower)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds(10); seed++ {
				g := newGroup(t, seed, 5)
				g.RunFor(3 * core.Second)
				c.act(g, g.follower())
				g.RunFor(5 * core.Second)
				g.repairAll()
				g.RunFor(5 * core.Second)
				for _, name := range g.names {
					if status := g.replicas[name].Report(g.Now); status.Fenced || !status.Joined {
						t.Errorf("seed %d: %s has lost nothing acknowledged; fenced is %t, joined %t", seed, name, status.Fenced, status.Joined)
					}
				}
			}
		})
	}
}

// TestOldDiskAfterSnapshot guards against a replica that runs on a copy of its disk from before it installed a snapshot, and votes
// or counts for commits: the leader must know the snapshot as acknowledged, with the responses of older builds too.
func TestOldDiskAfterSnapshot(t *testing.T) {
	for _, older := range []bool{false, true} {
		for seed := range uint64(8) {
			g := newGroup(t, seed, 5)
			if older {
				g.OnSend = omitStart
			}
			g.RunFor(3 * core.Second)
			follower, leader := g.follower(), g.leader()
			g.crash(follower)
			g.proposeMany(snapshotLag)
			g.start(follower)
			// A copy that holds this start, so that its number alone does not give the copy away.
			var old *fake.Disk
			for range 2000 {
				g.RunFor(1)
				if old == nil && g.disks[follower].Stored.Vote.Boot == 2 {
					old = g.disks[follower].Copy()
				}
				if old != nil && g.matchOf(leader, follower) > snapshotLag-200 {
					break
				}
			}
			if old == nil || len(old.Stored.Records) > 200 || g.matchOf(leader, follower) <= snapshotLag-200 {
				t.Fatalf("seed %d: no copy from before the snapshot was installed, or it was never acknowledged", seed)
			}
			g.crash(follower)
			g.disks[follower] = old
			// Only the leader knows what the replica has acknowledged.
			for _, name := range g.names {
				g.Cut(name, follower, name != leader.Self)
			}
			g.start(follower)
			g.RunFor(core.Second)
			g.Heal()
			g.RunFor(2 * core.Second)
			if status := g.replicas[follower].Report(g.Now); !status.Fenced {
				t.Errorf("seed %d, older builds %t: a replica on an old copy of its disk is not fenced; joined is %t", seed, older, status.Joined)
			}
		}
	}
}

// TestFormerLeaderDoesNotFence guards against a leader that was deposed without knowing it and fences a replica: a later leader has
// replaced records that the replica had acknowledged to the former one, and no majority had.
func TestFormerLeaderDoesNotFence(t *testing.T) {
	for seed := range uint64(24) {
		g := newGroup(t, seed, 5)
		g.RunFor(3 * core.Second)
		former, follower := g.leader(), g.follower()
		var others []string
		for _, name := range g.names {
			if name != former.Self && name != follower {
				others = append(others, name)
			}
		}
		g.Isolate(former.Self, others, true)
		g.Isolate(follower, others, true)
		for range 8 {
			g.propose()
		}
		g.RunFor(400)
		acknowledged := g.matchOf(former, follower)
		g.Freeze(former.Self, true)
		g.RunFor(2500)
		g.Isolate(follower, others, false)
		g.RunFor(800)
		if held := g.replicas[follower].Report(g.Now).LastIndex; held >= acknowledged {
			t.Fatalf("seed %d: no record that the former leader knows of was replaced: %d held, %d acknowledged", seed, held, acknowledged)
		}
		g.crash(follower)
		g.start(follower)
		for _, name := range others {
			g.Cut(name, follower, true)
		}
		g.RunFor(core.Millis(g.maxSyncDelay) + 30)
		g.Freeze(former.Self, false)
		g.RunFor(400)
		g.Heal()
		g.RunFor(5 * core.Second)
		for _, name := range g.names {
			if status := g.replicas[name].Report(g.Now); status.Fenced || !status.Joined {
				t.Errorf("seed %d: %s has lost nothing; fenced is %t, joined %t", seed, name, status.Fenced, status.Joined)
			}
		}
	}
}
