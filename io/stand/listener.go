package stand

import (
	"net"
)

// Serve accepts connections on a loopback port until stop is called; each is closed when serve has returned. It returns an error if
// no port can be opened.
func Serve(serve func(conn net.Conn)) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				// The peer sees how the connection ends.
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}
