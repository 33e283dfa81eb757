package fleet

import (
	"context"
	"errors"
	"sync"

	"clementinelock/core/roster"
)

// Limits of the pages of the list that are read one after another.
const (
	// maxSequentialPages keeps a read within its time-out: a page takes 45 ms from another region.
	maxSequentialPages = 12
	// firstSequentialPages applies while the length of the list is not known.
	firstSequentialPages = 1
	// maxZonePages is more pages than an availability zone's part has in any deployment.
	maxZonePages = 200
)

// listReader reads the platform's list; reads must not overlap.
type listReader struct {
	platform Platform
	address  string
	zones    []string
	// known is set once the whole list was read.
	known bool
	// byZone is true if the list is long: the parts of the availability zones are then read in parallel.
	byZone bool
}

// read reads the whole list; calls is the number of requests to the platform.
func (r *listReader) read(ctx context.Context) (entries []roster.Entry, calls int, err error) {
	if !r.byZone {
		entries, calls, err = r.platform.ReadList(ctx, r.address, "", r.sequentialPages())
		switch {
		case err == nil:
			r.known = true
			return entries, calls, nil
		case !errors.Is(err, ErrListTooLong) || len(r.zones) < 2:
			r.byZone = len(r.zones) > 1 && calls > 1
			return nil, calls, err
		}
	}
	entries, zoneCalls, err := r.readByZone(ctx)
	// The last page of each part may be only partly filled.
	r.byZone = err != nil || zoneCalls-len(r.zones) > maxSequentialPages
	r.known = r.known || err == nil
	return entries, calls + zoneCalls, err
}

func (r *listReader) sequentialPages() int {
	switch {
	case len(r.zones) < 2:
		return maxZonePages
	case r.known:
		return maxSequentialPages
	}
	return firstSequentialPages
}

// readByZone reads the parts of all availability zones in parallel; it returns an error if one can't be read.
func (r *listReader) readByZone(ctx context.Context) (entries []roster.Entry, calls int, err error) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, zone := range r.zones {
		group.Go(func() {
			part, partCalls, partErr := r.platform.ReadList(ctx, r.address, zone, maxZonePages)
			mutex.Lock()
			defer mutex.Unlock()
			entries = append(entries, part...)
			calls += partCalls
			err = errors.Join(err, partErr)
		})
	}
	group.Wait()
	if err != nil {
		return nil, calls, err
	}
	return entries, calls, nil
}
