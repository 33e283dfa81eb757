package queue

import (
	"container/heap"

	"clementinelock/core"
)

// Item is one waiting request.
type Item[T any] struct {
	// Class ranks the item; the lowest number is the most urgent.
	Class    int
	Deadline core.Millis
	Value    T
	sequence uint64
	index    int
}

// Queue orders items by class, then by deadline, then by arrival.
type Queue[T any] struct {
	// Limit is the largest number of waiting items.
	Limit        int
	heap         itemHeap[T]
	lastSequence uint64
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return len(q.heap)
}

// Push adds an item. When the queue is full it returns the evicted item; if that is the new one, added is nil.
func (q *Queue[T]) Push(class int, deadline core.Millis, value T) (added *Item[T], evicted *Item[T]) {
	q.lastSequence++
	item := &Item[T]{Class: class, Deadline: deadline, Value: value, sequence: q.lastSequence}
	if len(q.heap) < q.Limit {
		heap.Push(&q.heap, item)
		return item, nil
	}
	worst := q.worst()
	if worst == nil || worst.Class <= class {
		return nil, item
	}
	heap.Remove(&q.heap, worst.index)
	heap.Push(&q.heap, item)
	return item, worst
}

// worst returns the last added item of the least urgent class in the queue.
func (q *Queue[T]) worst() *Item[T] {
	var worst *Item[T]
	for _, item := range q.heap {
		if worst == nil || item.Class > worst.Class || item.Class == worst.Class && item.sequence > worst.sequence {
			worst = item
		}
	}
	return worst
}

// Pop returns the first item that has at least minRemaining until its deadline; items that have less are
// passed to late.
func (q *Queue[T]) Pop(now, minRemaining core.Millis, late func(T)) (T, bool) {
	for len(q.heap) > 0 {
		item := heap.Pop(&q.heap).(*Item[T])
		if item.Deadline-now < minRemaining {
			late(item.Value)
			continue
		}
		return item.Value, true
	}
	var zero T
	return zero, false
}

// Expire removes all items whose deadline has passed and passes them to late.
func (q *Queue[T]) Expire(now core.Millis, late func(T)) {
	var expired []*Item[T]
	for _, item := range q.heap {
		if item.Deadline <= now {
			expired = append(expired, item)
		}
	}
	for _, item := range expired {
		heap.Remove(&q.heap, item.index)
		late(item.Value)
	}
}

// Remove removes one item for which matches is true; it reports whether there was one.
func (q *Queue[T]) Remove(matches func(T) bool) bool {
	for _, item := range q.heap {
		if matches(item.Value) {
			heap.Remove(&q.heap, item.index)
			return true
		}
	}
	return false
}

// Drain empties the queue and passes the items in their order to each.
func (q *Queue[T]) Drain(each func(T)) {
	for len(q.heap) > 0 {
		each(heap.Pop(&q.heap).(*Item[T]).Value)
	}
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.sequence < b.sequence
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// Each calls f for every waiting item, in no particular order.
func (q *Queue[T]) Each(f func(T)) {
	for _, item := range q.heap {
		f(item.Value)
	}
}
