package edits

import (
	"slices"

	"clementinelock/core"
	"clementinelock/core/crash"
)

// maxQuarantines bounds the quarantines in force; the one that ends first makes room.
const maxQuarantines = 64

// QuarantineChange starts, renews or, with Until 0, ends the quarantine of a request.
type QuarantineChange struct {
	crash.Quarantine
	// At is when the leader decided it; quarantines that are forgotten by then are dropped.
	At core.Millis
}

func (p *Published) quarantine(index uint64, change QuarantineChange) {
	next := slices.DeleteFunc(slices.Clone(p.Quarantined), func(q crash.Quarantine) bool {
		return q.Digest == change.Digest || q.IsForgotten(change.At)
	})
	if change.Until > 0 {
		next = append(next, change.Quarantine)
	}
	slices.SortStableFunc(next, func(a, b crash.Quarantine) int { return int(b.Until - a.Until) })
	p.Quarantined, p.QuarantineIndex = next[:min(len(next), maxQuarantines)], index
}
