package quorum

import (
	"clementinelock/core"
)

// recordLog is the log in memory: the latest snapshot and the records after it.
type recordLog struct {
	snapshot core.Snapshot
	records  []core.Record
}

func (l *recordLog) lastIndex() uint64 {
	return l.snapshot.Index + uint64(len(l.records))
}

func (l *recordLog) lastTerm() uint64 {
	return l.termAt(l.lastIndex())
}

// termAt returns the term of the record at the index, or 0 if the log does not hold that record.
func (l *recordLog) termAt(index uint64) uint64 {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0
	default:
		return l.records[index-l.snapshot.Index-1].Term
	}
}

// recordsFrom returns the records from the index on, up to about limit bytes and at least one; it returns nil if the
// log does not hold the index.
func (l *recordLog) recordsFrom(index uint64, limit int) []core.Record {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return nil
	}
	all := l.records[index-l.snapshot.Index-1:]
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if size > limit && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func (l *recordLog) at(index uint64) core.Record {
	return l.records[index-l.snapshot.Index-1]
}

// truncateFrom drops the record at the index and all after it.
func (l *recordLog) truncateFrom(index uint64) {
	core.Assert(index > l.snapshot.Index, "log truncated at %d, inside the snapshot at %d", index, l.snapshot.Index)
	keep := index - l.snapshot.Index - 1
	l.records = append([]core.Record(nil), l.records[:keep]...)
}

// compact moves the snapshot forward and drops the records that it covers.
func (l *recordLog) compact(snapshot core.Snapshot) {
	if snapshot.Index >= l.lastIndex() {
		l.records = nil
	} else {
		l.records = append([]core.Record(nil), l.records[snapshot.Index-l.snapshot.Index:]...)
	}
	l.snapshot = snapshot
}
