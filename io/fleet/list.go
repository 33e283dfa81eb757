package fleet

import (
	"context"
	"errors"
	"sync"

	"clementinelock/core/roster"
)

// maxSequentialPages is how many pages of the list are read one after the other. A page takes 45 ms from another region, so that more of them take longer than a reading may.
const maxSequentialPages = 12

// listReader reads the platform's list; readings must not overlap.
type listReader struct {
	platform Platform
	address  string
	zones    []string
	// byZone tells that the list is read in parts, those of the availability zones at the same time.
	byZone bool
}

// read reads the whole list; calls counts what was asked of the platform.
func (r *listReader) read(ctx context.Context) (entries []roster.Entry, calls int, err error) {
	if r.byZone {
		entries, calls, err = r.readByZone(ctx)
		// Each part may end with a page that is not full.
		r.byZone = err != nil || calls-len(r.zones) > maxSequentialPages
		return entries, calls, err
	}
	entries, calls, err = r.platform.ReadList(ctx, r.address, "")
	r.byZone = len(r.zones) > 1 && (calls > maxSequentialPages || err != nil && calls > 1)
	return entries, calls, err
}

// readByZone reads the part of each availability zone; it errs when one is missing.
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
