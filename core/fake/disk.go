package fake

import (
	"slices"

	"clementinelock/core"
)

// Disk keeps a replica's state and loses on a crash what was not synced.
type Disk struct {
	Stored core.Stored
	queue  []core.Write
}

// NewDisk returns an empty disk of an incarnation.
func NewDisk(incarnation uint64) *Disk {
	return &Disk{Stored: core.Stored{Vote: core.Vote{Incarnation: incarnation}}}
}

// Queue takes writes that are not synced yet.
func (d *Disk) Queue(writes ...core.Write) {
	d.queue = append(d.queue, writes...)
}

// Sync syncs the first writes up to the sequence number and returns the last one's.
func (d *Disk) Sync(upTo uint64) uint64 {
	last := uint64(0)
	for len(d.queue) > 0 && d.queue[0].Seq <= upTo {
		d.apply(d.queue[0])
		last = d.queue[0].Seq
		d.queue = d.queue[1:]
	}
	return last
}

// Crash loses what was not synced, but for the first writes that reached the disk all the same.
func (d *Disk) Crash(reached int) {
	for range min(reached, len(d.queue)) {
		d.apply(d.queue[0])
		d.queue = d.queue[1:]
	}
	d.queue = nil
}

// Copy returns the disk as it is now, as a backup would.
func (d *Disk) Copy() *Disk {
	stored := d.Stored
	stored.Records = slices.Clone(stored.Records)
	return &Disk{Stored: stored}
}

func (d *Disk) apply(w core.Write) {
	s := &d.Stored
	if w.Vote != nil {
		s.Vote = *w.Vote
	}
	if w.Snapshot != nil {
		covered := int64(w.Snapshot.Index) - int64(s.Snapshot.Index)
		s.Records = slices.Clone(s.Records[min(max(covered, 0), int64(len(s.Records))):])
		s.Snapshot = *w.Snapshot
	}
	if w.TruncateFrom != 0 {
		keep := max(0, int64(w.TruncateFrom)-int64(s.Snapshot.Index)-1)
		s.Records = slices.Clone(s.Records[:min(keep, int64(len(s.Records)))])
	}
	for _, record := range w.Records {
		expected := s.Snapshot.Index + uint64(len(s.Records)) + 1
		core.Assert(record.Index == expected, "record %d is written where %d was expected", record.Index, expected)
		s.Records = append(s.Records, record)
	}
}
