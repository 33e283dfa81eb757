package fetch

import (
	"errors"
	"net"
	"os"
	"time"
)

// EndsWithin reports whether an endpoint ends within the time: a connection without a request shows when it does.
func EndsWithin(endpoint string, length time.Duration) bool {
	conn, err := net.DialTimeout("tcp", endpoint, dialTimeout)
	if err != nil {
		return isConnRefused(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(length))
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && isRefused(endpoint)
}
