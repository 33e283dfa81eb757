package fleet

import (
	"math"

	"clementinelock/core"
)

const (
	// fullLoad is the load that a host should have at most.
	fullLoad = 1000
	// minLoadInterval is the shortest time over which the load is measured.
	minLoadInterval = 600 * core.Millisecond
)

// Traffic counts requests of callers, and the bytes of requests and answers.
type Traffic struct {
	Requests uint64
	Bytes    uint64
}

// currentLoad returns the load since a moment at least minLoadInterval ago, in thousandths of the capacity.
func (e *Entry) currentLoad(now core.Millis) uint32 {
	elapsed := float64(now-e.measuredAt) / float64(core.Second)
	if !e.ReportsLoad || now-e.measuredAt < minLoadInterval {
		return e.load
	}
	requests := float64(e.Traffic.Requests-e.measured.Requests) / elapsed / e.RequestCapacity
	bytes := float64(e.Traffic.Bytes-e.measured.Bytes) / elapsed / e.ByteCapacity
	e.load = uint32(min(fullLoad*max(requests, bytes), math.MaxUint32))
	e.measuredAt, e.measured = now, e.Traffic
	return e.load
}
