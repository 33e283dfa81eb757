package entry

import (
	"net"
	"strconv"

	"clementinelock/core/crash"
)

// digestOf returns the digest by which repetitions of a request are recognised. Of a long body it covers the length and
// the part that is buffered.
func (c *conn) digestOf(x *exchange) crash.Digest {
	r := x.request
	return crash.NewDigest(
		[]byte(x.caller), []byte(r.Method), []byte(hostOf(r.Host)), []byte(r.Target), []byte(strconv.FormatInt(r.Length, 10)), r.Body,
	)
}

// callerOf identifies the caller by its credentials or, without any, by its address.
func callerOf(conn net.Conn, authorization string) string {
	if authorization != "" {
		return authorization
	}
	return addressOf(conn)
}

// addressOf returns the address of the other end, without its port.
func addressOf(conn net.Conn) string {
	remote := conn.RemoteAddr().String()
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}
