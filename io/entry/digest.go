package entry

import (
	"net"
	"strconv"

	"clementinelock/core/crash"
)

// digestOf returns the digest by which repetitions of a request are recognised. A caller is known by its credentials, or as
// a customer, alone, since one caller may use many addresses. Of a long body the digest covers the length and the part that is
// buffered.
func (c *conn) digestOf(x *exchange) crash.Digest {
	r := x.request
	return crash.NewDigest(
		[]byte(c.credentialOf(r.Header, x.handover)), []byte(r.Method), []byte(hostOf(r.Host)), []byte(r.Target), []byte(strconv.FormatInt(r.Length, 10)), r.Body,
	)
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
