package roster

import (
	"maps"
	"slices"

	"clementinelock/core"
)

// maxRemovals is how many removed endpoints a journal remembers; a follower that is further behind gets the whole list.
const maxRemovals = 4096

// Journal holds a list and numbers its changes, so that followers get only what they lack. Set Process before use.
type Journal struct {
	// Process is greater than 0 and differs between the processes that keep a journal.
	Process uint64

	number         uint64
	readAt         core.Millis
	known          bool
	entries        map[string]numberedEntry
	removals       []removal
	trimmedThrough uint64
	// fullList is the packed list of that number, wholeAt the reading that its cold times rest on.
	fullList       *Delta
	fullListReadAt core.Millis
}

// numberedEntry is an entry with the number of its last change; ColdFor is replaced by the time when the endpoint is warm.
type numberedEntry struct {
	Entry
	warmAt core.Millis
	number uint64
}

// warmAtTolerance is by how much two readings may differ on when an endpoint is warm.
const warmAtTolerance = 400 * core.Millisecond

// equivalent tells whether a later reading says nothing new but that a cold time runs down.
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

// Loaded tells whether the journal has held a list.
func (j *Journal) Loaded() bool {
	return j.known
}

// Number returns the number of the newest change.
func (j *Journal) Number() uint64 {
	return j.number
}

// Len returns how many endpoints the list holds.
func (j *Journal) Len() int {
	return len(j.entries)
}

// Age returns how long ago the list was read from the platform.
func (j *Journal) Age(now core.Millis) core.Millis {
	return now - j.readAt
}

// Set takes a whole list that was read at the time; it returns whether the list changed.
func (j *Journal) Set(readAt core.Millis, entries []Entry) bool {
	if j.entries == nil {
		j.entries = map[string]numberedEntry{}
	}
	next := j.number + 1
	changed := !j.known
	j.known = true
	j.readAt = max(j.readAt, readAt)
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

func (j *Journal) trim() {
	if over := len(j.removals) - maxRemovals; over > 0 {
		j.trimmedThrough = j.removals[over-1].number
		j.removals = slices.Clone(j.removals[over:])
	}
}

// Since returns what a follower lacks that holds the number of the process; nil when the journal has no list yet.
func (j *Journal) Since(now core.Millis, process, number uint64) *Delta {
	if !j.known {
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
		if r.number > number {
			d.Removed = append(d.Removed, r.id)
		}
	}
	return d
}

// packedList returns the whole list, which is packedList once for all followers.
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

// entryOf returns an entry with its cold time after the newest reading.
func (j *Journal) entryOf(n numberedEntry) Entry {
	e := n.Entry
	e.ColdFor = max(0, n.warmAt-j.readAt)
	return e
}

// Entries lists the endpoints by id.
func (j *Journal) Entries() []Entry {
	out := make([]Entry, 0, len(j.entries))
	for _, e := range j.entries {
		out = append(out, j.entryOf(e))
	}
	slices.SortFunc(out, func(a, b Entry) int { return compareText(a.ID, b.ID) })
	return out
}

// Replica follows a journal of another process.
type Replica struct {
	process uint64
	number  uint64
	readAt  core.Millis
	entries map[string]numberedEntry
	// order lists the endpoints' ids, nil when they have to be sorted anew.
	order []string
}

// Process returns the process whose journal the copy follows, 0 at first.
func (c *Replica) Process() uint64 {
	return c.process
}

// Number returns the number of the newest change that the copy holds.
func (c *Replica) Number() uint64 {
	return c.number
}

// Age returns how long ago the list was read from the platform.
func (c *Replica) Age(now core.Millis) core.Millis {
	return now - c.readAt
}

// Apply takes a delta that is unpacked; it returns false when the delta does not follow on what the copy holds.
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
	for _, id := range d.Removed {
		delete(c.entries, id)
		c.order = nil
	}
	return true
}

// Entries lists the endpoints by id, with their cold time after the newest reading.
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

// Len returns how many endpoints the copy holds.
func (c *Replica) Len() int {
	return len(c.entries)
}
