package daemon

import (
	"slices"
	"time"

	"clementinelock/core"
	"clementinelock/core/crash"
	"clementinelock/io/fetch"
)

const (
	// abandonedWatchTime is how long an endpoint may go on with a request after its connection was closed.
	abandonedWatchTime = time.Second
	// maxWatchedEndpoints and maxAbandoned bound the endpoints that are watched, and the requests at each.
	maxWatchedEndpoints = 256
	maxAbandoned        = 64
)

// watchAbandoned finds out whether an endpoint ends under a request that this host has given up there, since its caller has
// left or its deadline has passed. Requests that are given up in the meantime are watched together.
func (d *driver) watchAbandoned(endpoint string, content crash.Digest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	contents, watched := d.abandoned[endpoint]
	if content == (crash.Digest{}) || slices.Contains(contents, content) || len(contents) >= maxAbandoned || !watched && len(d.abandoned) >= maxWatchedEndpoints {
		return
	}
	d.abandoned[endpoint] = append(contents, content)
	if !watched {
		go d.watchEndpoint(endpoint)
	}
}

// watchEndpoint watches an endpoint until it ends, or until no request was given up there for the watch time.
func (d *driver) watchEndpoint(endpoint string) {
	for watching := true; watching; {
		d.mutex.Lock()
		count := len(d.abandoned[endpoint])
		d.mutex.Unlock()
		ended := fetch.EndsWithin(endpoint, abandonedWatchTime)
		d.mutex.Lock()
		contents := d.abandoned[endpoint]
		// Requests that were given up since the watch began are watched for the whole time too.
		later := contents[count:]
		if watching = !ended && len(later) > 0; watching {
			d.abandoned[endpoint] = slices.Clone(later)
		} else {
			delete(d.abandoned, endpoint)
		}
		d.mutex.Unlock()
		if ended {
			d.reportCrashes(endpoint, contents)
		}
	}
}

// reportCrashes passes the end of an endpoint to the machine, for each request that was given up there.
func (d *driver) reportCrashes(endpoint string, contents []crash.Digest) {
	for _, content := range contents {
		d.step(func(now core.Millis) core.Effects {
			return d.machine.RecordCrash(now, crash.Report{Digest: content, Endpoint: endpoint})
		})
	}
}
