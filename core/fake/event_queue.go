package fake

import (
	"container/heap"

	"clementinelock/core"
)

// EventQueue holds functions to be run at later times; those due at the same time run in the order of addition.
type EventQueue struct {
	events eventHeap
	count  uint64
}

type event struct {
	at    core.Millis
	order uint64
	run   func()
}

// Add schedules a function.
func (q *EventQueue) Add(at core.Millis, run func()) {
	q.count++
	heap.Push(&q.events, event{at, q.count, run})
}

// Next removes and returns the next function; ok is false if none is due by until.
func (q *EventQueue) Next(until core.Millis) (at core.Millis, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
