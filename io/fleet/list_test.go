package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"

	"clementinelock/core/roster"
)

// pagedList is a platform's list with 50 endpoints per page; a read of more than maxPages pages times out.
type pagedList struct {
	Platform
	inZone      map[string]int
	maxPages    int
	failingZone string

	mutex sync.Mutex
	asked []string
}

func (l *pagedList) ReadList(_ context.Context, _, zone string, most int) (entries []roster.Entry, calls int, err error) {
	l.mutex.Lock()
	l.asked = append(l.asked, zone)
	l.mutex.Unlock()
	if zone != "" && zone == l.failingZone {
		return nil, 1, errors.New("status 429")
	}
	for name, count := range l.inZone {
		for i := range count {
			if zone == "" || zone == name {
				entries = append(entries, roster.Entry{ID: fmt.Sprintf("%s-%d", name, i), Zone: name})
			}
		}
	}
	calls = max(1, (len(entries)+49)/50)
	switch {
	case min(calls, most) > l.maxPages:
		return nil, l.maxPages, context.DeadlineExceeded
	case calls > most:
		return nil, most, ErrListTooLong
	}
	return entries, calls, nil
}

// TestLongListIsReadInParts checks that a list of 60 pages, of which only 20 can be read sequentially before the
// time-out, is read by availability zone in the first read already, and that a list that has become short is read as a
// whole again.
func TestLongListIsReadInParts(t *testing.T) {
	list := &pagedList{inZone: map[string]int{"a": 1000, "b": 1000, "c": 1000}, maxPages: 20}
	r := &listReader{platform: list, zones: []string{"a", "b", "c"}}
	if entries, calls, err := r.read(context.Background()); err != nil || len(entries) != 3000 || calls != 61 {
		t.Fatalf("%d endpoints were read in %d calls at first, %v", len(entries), calls, err)
	}
	entries, calls, err := r.read(context.Background())
	if err != nil || len(entries) != 3000 || calls != 60 {
		t.Fatalf("%d endpoints were read in %d calls, %v", len(entries), calls, err)
	}
	list.failingZone = "b"
	if entries, _, err := r.read(context.Background()); err == nil || entries != nil {
		t.Fatalf("a list without the part of an availability zone is read as %d endpoints", len(entries))
	}
	list.failingZone = ""
	list.inZone = map[string]int{"a": 60, "b": 60, "c": 60}
	if _, calls, err := r.read(context.Background()); err != nil || calls != 6 {
		t.Fatalf("the shorter list is read in %d calls, %v", calls, err)
	}
	list.asked = nil
	if _, calls, err := r.read(context.Background()); err != nil || calls != 4 || !slices.Equal(list.asked, []string{""}) {
		t.Fatalf("the shorter list is read in %d calls of %q, %v", calls, list.asked, err)
	}
}
