package stand

import (
	"time"
)

// EndlessBody is the body of a request that never ends.
type EndlessBody struct{}

// Read returns a part of the body after a short time.
func (EndlessBody) Read(p []byte) (int, error) {
	const maxPart = 1 << 10
	time.Sleep(time.Millisecond)
	return min(len(p), maxPart), nil
}
