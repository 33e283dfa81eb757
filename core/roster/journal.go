package roster

import (
	"maps"
	"slices"

	"clementinelock/core"
)

// maxRemovals is the number of removed endpoints that a journal keeps; a follower that is further behind gets
// the whole list.
const maxRemovals = 4096

// Journal holds a list and numbers its changes, so that followers get only the changes they lack.
// Process must be set before use.
type Journal struct {
	// Process is greater than 0 and differs between the processes that have a journal.
	Process uint64

	number         uint64
	readAt         core.Millis
	loaded         bool
	entries        map[string]numberedEntry
	removals       []removal
	trimmedThrough uint64
	// fullList is the whole list, packed where it is long; its cold times count from fullListReadAt.
	fullList       *Delta
	fullListReadAt core.Millis
}

// numberedEntry is an entry with the number of its last change. Its ColdFor is 0; warmAt holds the time at which
// the endpoint is warm instead, 0 if it is warm already.
type numberedEntry struct {
	Entry
	warmAt core.Millis
	number uint64
}

// warmAtTolerance is the difference in warmAt up to which two readings of the list count as equal.
const warmAtTolerance = 400 * core.Millisecond

// equivalent reports whether a later reading differs only by the time that has passed for a cold endpoint.
func (n numberedEntry) equivalent(later numberedEntry) bool {
	if n.Entry != later.Entry || (n.warmAt == 0) != (later.warmAt == 0) {
		return false
	}
	return max(n.warmAt-later.warmAt, later.warmAt-n.warmAt) <= warmAtTolerance
}

type removal struct {
	id     string
	number uint64
}

// Loaded reports whether the journal was given a list.
func (j *Journal) Loaded() bool {
	return j.loaded
}

// Number returns the number of the latest change.
func (j *Journal) Number() uint64 {
	return j.number
}

// Len returns the number of endpoints in the list.
func (j *Journal) Len() int {
	return len(j.entries)
}

// Age returns the time since the list was read from the platform.
func (j *Journal) Age(now core.Millis) core.Millis {
	return now - j.readAt
}

// Set replaces the list by one that was read at readAt, unless a later reading is held: it would make older rows count as of the
// time of that one. It reports whether the list changed.
func (j *Journal) Set(readAt core.Millis, entries []Entry) bool {
	if j.loaded && readAt < j.readAt {
		return false
	}
	if j.entries == nil {
		j.entries = map[string]numberedEntry{}
	}
	next := j.number + 1
	changed := !j.loaded
	j.loaded = true
	j.readAt = readAt
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		n := numberedEntry{Entry: e, number: next}
		if e.ColdFor > 0 {
			n.warmAt = readAt + e.ColdFor
		}
		n.ColdFor = 0
		if old, held := j.entries[e.ID]; held && old.equivalent(n) {
			continue
		}
		j.entries[e.ID] = n
		changed = true
	}
	for id := range j.entries {
		if !listed[id] {
			delete(j.entries, id)
			j.removals = append(j.removals, removal{id, next})
			changed = true
		}
	}
	j.trim()
	if changed {
		j.number = next
	}
	return changed
}

// trim drops the oldest removals beyond maxRemovals.
func (j *Journal) trim() {
	if over := len(j.removals) - maxRemovals; over > 0 {
		j.trimmedThrough = j.removals[over-1].number
		j.removals = slices.Clone(j.removals[over:])
	}
}

// Since returns the changes after a follower's number, or the whole list if the journal no longer has these
// changes or the number comes from another process's journal. It returns nil when the journal has no list yet.
func (j *Journal) Since(now core.Millis, process, number uint64) *Delta {
	if !j.loaded {
		return nil
	}
	if process != j.Process || number > j.number || number < j.trimmedThrough {
		number = 0
	}
	d := &Delta{Process: j.Process, From: number, Number: j.number, Age: j.Age(now)}
	switch number {
	case j.number:
		return d
	case 0:
		packed := *j.packedList()
		packed.Age = d.Age
		return &packed
	}
	for _, e := range j.entries {
		if e.number > number {
			d.Entries = append(d.Entries, j.entryOf(e))
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return compareText(a.ID, b.ID) })
	for _, r := range j.removals {
		if _, listed := j.entries[r.id]; r.number > number && !listed {
			d.Removed = append(d.Removed, r.id)
		}
	}
	return d
}

// packedList returns the whole list, packed once for all followers.
func (j *Journal) packedList() *Delta {
	if j.fullList != nil && j.fullList.Number == j.number && j.fullListReadAt == j.readAt {
		return j.fullList
	}
	j.fullList = &Delta{Process: j.Process, Number: j.number, Entries: j.Entries()}
	j.fullList.Pack()
	j.fullListReadAt = j.readAt
	return j.fullList
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// entryOf returns the entry with the cold time that remains after the latest reading.
func (j *Journal) entryOf(n numberedEntry) Entry {
	e := n.Entry
	e.ColdFor = max(0, n.warmAt-j.readAt)
	return e
}

// Entries returns the endpoints sorted by id.
func (j *Journal) Entries() []Entry {
	out := make([]Entry, 0, len(j.entries))
	for _, e := range j.entries {
		out = append(out, j.entryOf(e))
	}
	slices.SortFunc(out, func(a, b Entry) int { return compareText(a.ID, b.ID) })
	return out
}

// Replica is a follower's state of the journal of another process.
type Replica struct {
	process uint64
	number  uint64
	readAt  core.Millis
	entries map[string]numberedEntry
	// order holds the sorted ids of the endpoints; nil when they must be sorted again.
	order []string
}

// Process returns the process whose journal the replica follows, 0 before the first delta.
func (c *Replica) Process() uint64 {
	return c.process
}

// Number returns the number of the latest change in the replica.
func (c *Replica) Number() uint64 {
	return c.number
}

// Age returns the time since the list was read from the platform.
func (c *Replica) Age(now core.Millis) core.Millis {
	return now - c.readAt
}

// Apply applies an unpacked delta. A whole list always applies; another delta must come from the same process and
// cover the replica's number, else Apply changes nothing and returns false.
func (c *Replica) Apply(now core.Millis, d *Delta) bool {
	follows := d.Process == c.process && d.From <= c.number && d.Number >= c.number
	if d.From != 0 && !follows {
		return false
	}
	if d.From == 0 {
		c.entries = make(map[string]numberedEntry, len(d.Entries))
		c.order = nil
	}
	c.process, c.number, c.readAt = d.Process, d.Number, now-d.Age
	// Older hosts also name endpoints as removed that are listed again since.
	for _, id := range d.Removed {
		delete(c.entries, id)
		c.order = nil
	}
	for _, e := range d.Entries {
		n := numberedEntry{Entry: e}
		if e.ColdFor > 0 {
			n.warmAt = c.readAt + e.ColdFor
		}
		n.ColdFor = 0
		if _, held := c.entries[e.ID]; !held {
			c.order = nil
		}
		c.entries[e.ID] = n
	}
	return true
}

// Entries returns the endpoints sorted by id, with the cold time that remains after the latest reading.
func (c *Replica) Entries() []Entry {
	if c.order == nil {
		c.order = slices.Sorted(maps.Keys(c.entries))
	}
	out := make([]Entry, 0, len(c.order))
	for _, id := range c.order {
		n := c.entries[id]
		e := n.Entry
		e.ColdFor = max(0, n.warmAt-c.readAt)
		out = append(out, e)
	}
	return out
}

// Len returns the number of endpoints in the replica.
func (c *Replica) Len() int {
	return len(c.entries)
}
