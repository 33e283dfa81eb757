package roster_test

import (
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"

	"clementinelock/core"
	"clementinelock/core/roster"
)

// TestReplicasFollow checks that replicas equal their journal when deltas are skipped and the journal's process
// changes, also when endpoints leave the list and come back.
func TestReplicasFollow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	journal := &roster.Journal{Process: 1}
	replicas := make([]roster.Replica, 4)
	now := core.Hour
	var list, removed []roster.Entry
	for step := range 3000 {
		now += 10
		switch random.IntN(5) {
		case 0:
			list = append(list, roster.Entry{ID: strconv.Itoa(step), Service: "s", Slots: 3, ColdFor: core.Millis(random.IntN(2) * 3000)})
		case 4:
			if len(removed) > 0 {
				i := random.IntN(len(removed))
				list = append(list, removed[i])
				removed = append(removed[:i:i], removed[i+1:]...)
			}
		case 1:
			if len(list) > 0 {
				i := random.IntN(len(list))
				removed = append(removed, list[i])
				list = append(append([]roster.Entry(nil), list[:i]...), list[i+1:]...)
			}
		case 2:
			if len(list) > 0 {
				list = append([]roster.Entry(nil), list...)
				list[random.IntN(len(list))].Draining = true
			}
		}
		if random.IntN(500) == 0 {
			journal = &roster.Journal{Process: journal.Process + 1}
		}
		journal.Set(now, list)
		for i := range replicas {
			if random.IntN(3) == 0 {
				continue
			}
			delta := journal.Since(now, replicas[i].Process(), replicas[i].Number())
			if err := delta.Unpack(); err != nil {
				t.Fatal(err)
			}
			replicas[i].Apply(now, delta)
			if got := replicas[i].Entries(); len(got) != len(list) || replicas[i].Number() != journal.Number() {
				t.Fatalf("step %d: replica has %d entries at number %d, the journal %d at %d", step, len(got), replicas[i].Number(), len(list), journal.Number())
			}
			if !reflect.DeepEqual(replicas[i].Entries(), journal.Entries()) {
				t.Fatalf("step %d: replica differs from its journal", step)
			}
		}
	}
}

// TestRowThatComesBack guards against a follower that loses an endpoint for good, since it gets the endpoint's removal together
// with the row that came back after it.
func TestRowThatComesBack(t *testing.T) {
	journal := &roster.Journal{Process: 1}
	list := []roster.Entry{{ID: "i-1"}, {ID: "i-2"}}
	journal.Set(0, list)
	var c roster.Replica
	c.Apply(0, journal.Since(0, 0, 0))
	journal.Set(1000, list[:1])
	journal.Set(2000, list)
	delta := journal.Since(2000, c.Process(), c.Number())
	if !c.Apply(2000, delta) || !reflect.DeepEqual(c.Entries(), journal.Entries()) {
		t.Errorf("the replica has %v, the journal %v", c.Entries(), journal.Entries())
	}
	if len(delta.Removed) > 0 {
		t.Errorf("the delta removes %v, which is listed; older hosts remove it", delta.Removed)
	}
	// A journal of an older host names such an endpoint in both.
	delta = &roster.Delta{Process: 1, From: c.Number(), Number: c.Number() + 2, Entries: list[1:], Removed: []string{"i-2"}}
	if !c.Apply(3000, delta) || len(c.Entries()) != 2 {
		t.Errorf("after an older host's delta the replica has %v, expected 2 endpoints", c.Entries())
	}
}

// TestOlderReading guards against a reading of the list that comes after a newer one and replaces it, as the state of that time.
func TestOlderReading(t *testing.T) {
	journal := &roster.Journal{Process: 1}
	journal.Set(2000, []roster.Entry{{ID: "i-1", ColdFor: 3000}, {ID: "i-2", Draining: true}})
	before := journal.Entries()
	if journal.Set(1000, []roster.Entry{{ID: "i-1"}, {ID: "i-2"}}) || !reflect.DeepEqual(before, journal.Entries()) || journal.Age(2500) != 500 {
		t.Errorf("after an older reading the list is %v at an age of %s, it was %v", journal.Entries(), journal.Age(2500), before)
	}
}

// TestColdTimeRunsDown checks that the passing of time for a cold endpoint is not counted as a change of the list.
func TestColdTimeRunsDown(t *testing.T) {
	journal := &roster.Journal{Process: 1}
	entry := roster.Entry{ID: "i", ColdFor: 3000}
	if !journal.Set(0, []roster.Entry{entry}) {
		t.Fatal("first list is not reported as a change")
	}
	entry.ColdFor = 2000
	if journal.Set(1000, []roster.Entry{entry}) {
		t.Fatal("decrease of ColdFor with time is reported as a change")
	}
	entry.ColdFor = 3000
	if !journal.Set(2000, []roster.Entry{entry}) {
		t.Fatal("endpoint that is cold again is not reported as a change")
	}
	entry.ColdFor = 0
	if !journal.Set(3000, []roster.Entry{entry}) {
		t.Fatal("endpoint that became warm is not reported as a change")
	}
}

// TestDeltaWithGap checks that a replica rejects a delta when changes before it are missing.
func TestDeltaWithGap(t *testing.T) {
	journal := &roster.Journal{Process: 1}
	var c roster.Replica
	for i := range 3 {
		journal.Set(core.Millis(i), []roster.Entry{{ID: strconv.Itoa(i)}})
	}
	if c.Apply(0, journal.Since(0, 1, 2)) {
		t.Fatal("empty replica accepted a delta from number 2 on")
	}
	if !c.Apply(0, journal.Since(0, c.Process(), c.Number())) || len(c.Entries()) != 1 {
		t.Fatalf("replica has entries %v, expected one", c.Entries())
	}
}

// TestLongListIsPackedOnce checks that followers share one packed list, that packing halves the size at least, and
// that a later reading updates the cold times in it.
func TestLongListIsPackedOnce(t *testing.T) {
	var list []roster.Entry
	for i := range 1000 {
		list = append(list, roster.Entry{ID: "i-" + strconv.Itoa(i*7919), Service: "s", Address: "10.0.0.1:" + strconv.Itoa(i), Zone: "z", Slots: 3})
	}
	list[0].ColdFor = 3000
	journal := &roster.Journal{Process: 1}
	journal.Set(core.Hour, list)
	first, second := journal.Since(core.Hour, 0, 0), journal.Since(core.Hour+10, 0, 0)
	if &first.Packed[0] != &second.Packed[0] || first.Len() != len(list) || second.Age != 10 {
		t.Fatalf("list of %d endpoints was packed again, or has age %s instead of 10ms", first.Len(), second.Age)
	}
	if plain := 60 * len(list); 2*len(first.Packed) > plain {
		t.Fatalf("packed list has %d bytes, expected at most half of %d", len(first.Packed), plain)
	}
	list[0].ColdFor = 2000
	journal.Set(core.Hour+1000, list)
	later := journal.Since(core.Hour+1000, 0, 0)
	if err := later.Unpack(); err != nil || later.Len() != len(list) {
		t.Fatalf("list unpacks to %d endpoints, error %v", later.Len(), err)
	}
	for _, e := range later.Entries {
		if e.ID == list[0].ID && e.ColdFor != 2000 {
			t.Fatalf("cold endpoint stays cold for %s, expected 2s", e.ColdFor)
		}
	}
	later.Packed, later.Entries = []byte("no list"), nil
	if later.Unpack() == nil {
		t.Fatal("invalid bytes were unpacked without an error")
	}
}
