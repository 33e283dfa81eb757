package fake

import (
	"slices"

	"clementinelock/core"
)

// Disk stores a replica's state and loses unsynced writes in a crash.
type Disk struct {
	Stored core.Stored
	queue  []core.Write
}

// NewDisk returns an empty disk for an incarnation.
func NewDisk(incarnation uint64) *Disk {
	return &Disk{Stored: core.Stored{Vote: core.Vote{Incarnation: incarnation}}}
}

// Queue adds writes that are not synced yet.
func (d *Disk) Queue(writes ...core.Write) {
	d.queue = append(d.queue, writes...)
}

// Sync syncs the queued writes up to sequence number upTo and returns the number of the last one synced, or 0.
func (d *Disk) Sync(upTo uint64) uint64 {
	last := uint64(0)
	for len(d.queue) > 0 && d.queue[0].Seq <= upTo {
		d.apply(d.queue[0])
		last = d.queue[0].Seq
		d.queue = d.queue[1:]
	}
	return last
}

// Crash drops the unsynced writes except the first reached ones, which had reached the disk before the crash.
func (d *Disk) Crash(reached int) {
	for range min(reached, len(d.queue)) {
		d.apply(d.queue[0])
		d.queue = d.queue[1:]
	}
	d.queue = nil
}

// Copy returns a copy of the disk, like a backup.
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
		core.Assert(record.Index == expected, "record %d was written; expected record %d", record.Index, expected)
		s.Records = append(s.Records, record)
	}
}
