package fleet_test

import (
	"fmt"
	"testing"

	"clementinelock/core"
)

// TestDisksLostAfterPlannedStops guards against a group without a majority for good: hosts that were replaced as planned, by successors
// that had had their time, counted as voters for 4.2 s after their stop, beside as many hosts that lost their disks. After a loss of
// power they counted for 15 s from the start of each new leader.
func TestDisksLostAfterPlannedStops(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		// hosts is the number of control hosts, count how many of them stop and how many disks are lost then.
		hosts, count int
		// after is the time from the last stop to the loss.
		after core.Millis
		// powerLoss lets all control hosts lose power right after the stops, so that none remembers the announcements.
		powerLoss bool
	}{
		{hosts: 3, count: 1, after: 2 * core.Second},
		{hosts: 3, count: 1, after: 4 * core.Second},
		{hosts: 3, count: 1, after: 10 * core.Second, powerLoss: true},
		{hosts: 4, count: 1, after: 2 * core.Second},
		{hosts: 6, count: 1, after: 2 * core.Second},
		{hosts: 6, count: 1, after: 10 * core.Second, powerLoss: true},
		{hosts: 5, count: 2, after: 2 * core.Second},
		{hosts: 6, count: 2, after: 2 * core.Second},
		{hosts: 6, count: 2, after: 4 * core.Second},
		{hosts: 6, count: 2, after: 10 * core.Second, powerLoss: true},
		{hosts: 9, count: 2, after: 2 * core.Second},
	} {
		t.Run(fmt.Sprintf("%d of %d, %s, power loss %t", c.count, c.hosts, c.after, c.powerLoss), func(t *testing.T) {
			for seed := range uint64(2) {
				loseDisksAfterPlannedStops(t, seed, c.hosts, c.count, c.after, c.powerLoss)
			}
		})
	}
}

func loseDisksAfterPlannedStops(t *testing.T, seed uint64, hosts, count int, after core.Millis, powerLoss bool) {
	t.Helper()
	var zones, names []string
	for i := range hosts {
		zones = append(zones, controlZones[i%len(controlZones)])
		names = append(names, fmt.Sprintf("control-%d", i))
	}
	s := newSiteIn(t, seed, zones, entryZones)
	s.RunFor(8 * core.Second)
	s.publish()
	for i := range count {
		s.addControl(s.zones[names[i]])
	}
	// The time that successors have in deployments in which two hosts may be lost.
	s.RunFor(6 * core.Second)
	for range count {
		i := s.Rand.IntN(len(names))
		name := names[i]
		names = append(names[:i], names[i+1:]...)
		s.Apply(name, s.controls[name].Stop(s.clock(name)))
		s.RunFor(100)
		s.removeHost(name)
	}
	if powerLoss {
		for _, name := range s.upControls() {
			s.restartAfter(name, true, 900)
		}
	}
	s.RunFor(after)
	up := s.upControls()
	s.Rand.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	for _, name := range up[:count] {
		s.replaceDisk(name)
		s.At(s.Now+core.Second, func() { s.startHost(name) })
	}
	s.RunFor(8 * core.Second)
	for i, name := range s.upControls() {
		if !s.orderAt(name, i%2 == 0) {
			t.Fatalf("seed %d: %s does not confirm an order 7 s after the last host is back; the leader is %q, the voters are %v", seed, name, s.leader(), s.voters())
		}
	}
	s.settle()
}
