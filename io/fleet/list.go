package fleet

import (
	"context"
	"errors"
	"sync"

	"clementinelock/core/roster"
)

// maxSequentialPages limits the pages of the list that are read one after another. A page takes 45 ms from
// another region, so that more pages would exceed the time-out of a read.
const maxSequentialPages = 12

// listReader reads the platform's list; reads must not overlap.
type listReader struct {
	platform Platform
	address  string
	zones    []string
	// byZone is true if the list is long: the parts of the availability zones are then read in parallel.
	byZone bool
}

// read reads the whole list; calls is the number of requests to the platform.
func (r *listReader) read(ctx context.Context) (entries []roster.Entry, calls int, err error) {
	if r.byZone {
		entries, calls, err = r.readByZone(ctx)
		// The last page of each part may be only partly filled.
		r.byZone = err != nil || calls-len(r.zones) > maxSequentialPages
		return entries, calls, err
	}
	entries, calls, err = r.platform.ReadList(ctx, r.address, "")
	r.byZone = len(r.zones) > 1 && (calls > maxSequentialPages || err != nil && calls > 1)
	return entries, calls, err
}

// readByZone reads the parts of all availability zones in parallel; it returns an error if one can't be read.
func (r *listReader) readByZone(ctx context.Context) (entries []roster.Entry, calls int, err error) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, zone := range r.zones {
		group.Go(func() {
			part, partCalls, partErr := r.platform.ReadList(ctx, r.address, zone)
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
