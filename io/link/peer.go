package link

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"time"

	"clementinelock/io/certs"

	"github.com/quic-go/quic-go"
)

// maxBatchBytes is the size from which a batch takes no further message.
const maxBatchBytes = 64 << 10

// maxQueueTime is how long a message may wait to be sent. A process that was paused, or whose connection has failed, must
// not send what its sender has given up on meanwhile.
const maxQueueTime = 1500 * time.Millisecond

// queued is a message that waits since a time.
type queued struct {
	data  []byte
	since time.Time
}

// isStale reports whether the message has waited for too long.
func (q queued) isStale() bool {
	return time.Since(q.since) > maxQueueTime
}

// peer sends to one host.
type peer struct {
	network    *Network
	name       string
	queue      chan queued
	connection *quic.Conn
	stream     *quic.SendStream
	// shared reports whether the other host opened the connection.
	shared bool
	// socket is the connection's own socket, set when it is bound to the host's address.
	socket      *net.UDPConn
	redialDelay time.Duration
	nextDial    time.Time
}

func (p *peer) run(ctx context.Context) {
	idleTimeout := cmp.Or(p.network.IdleTimeout, defaultIdleTimeout)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			p.disconnect()
			return
		case <-idle.C:
			p.disconnect()
			idle.Reset(idleTimeout)
		case message := <-p.queue:
			idle.Reset(idleTimeout)
			p.send(ctx, message)
		}
	}
}

// send writes a message and others that are queued; a message that can't be written is lost.
func (p *peer) send(ctx context.Context, message queued) {
	if p.connection != nil && p.connection.Context().Err() != nil {
		p.network.Stats.add(func(s *Stats) { s.Lost++ })
		p.disconnect()
	}
	if p.shared && p.network.incomingFrom(p.name) != p.connection {
		// The host has restarted or closed the older connection.
		p.disconnect()
	}
	if p.connection == nil && !p.reuseIncoming() && !p.dial(ctx) {
		return
	}
	buffer, count := p.batch(message)
	if count == 0 {
		return
	}
	_ = p.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := p.stream.Write(buffer); err != nil {
		p.network.Stats.add(func(s *Stats) { s.Lost++ })
		p.network.OnError(p.name, err)
		_ = p.connection.CloseWithError(2, "stalled")
		p.disconnect()
		return
	}
	p.network.Stats.add(func(s *Stats) { s.SentMessages += count; s.SentBytes += uint64(len(buffer)) })
}

// batch encodes a message and others that are queued, without stale ones.
func (p *peer) batch(message queued) (buffer []byte, count uint64) {
	for {
		if message.isStale() {
			p.network.Stats.add(func(s *Stats) { s.Lost++ })
		} else {
			buffer = binary.AppendUvarint(buffer, uint64(len(message.data)))
			buffer = append(buffer, message.data...)
			count++
		}
		if len(buffer) >= maxBatchBytes || len(p.queue) == 0 {
			return buffer, count
		}
		message = <-p.queue
	}
}

// reuseIncoming adopts the connection that the host opened, when reuse is enabled and there is one.
func (p *peer) reuseIncoming() bool {
	if !p.network.ReuseIncoming {
		return false
	}
	connection := p.network.incomingFrom(p.name)
	if connection == nil {
		return false
	}
	stream, err := connection.OpenUniStream()
	if err != nil {
		p.network.OnError(p.name, err)
		return false
	}
	p.connection, p.stream, p.shared = connection, stream, true
	return true
}

// dial opens a new connection from a new port, unless the delay after the last failure has not passed.
func (p *peer) dial(ctx context.Context) bool {
	address := p.network.addressOf(p.name)
	if address == "" || time.Now().Before(p.nextDial) {
		return false
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.network.Stats.add(func(s *Stats) { s.Dials++ })
	connection, err := p.connect(dialCtx, address)
	if err == nil {
		err = p.openStream(connection)
	}
	if err != nil {
		p.closeSocket()
		p.redialDelay = min(max(2*p.redialDelay, minRedialDelay), maxRedialDelay)
		p.nextDial = time.Now().Add(p.redialDelay)
		p.network.OnError(p.name, err)
		return false
	}
	p.redialDelay = 0
	if p.network.ReuseIncoming {
		go p.network.readStreams(ctx, p.name, p.connection)
	}
	return true
}

// connect opens a connection from a port of its own.
func (p *peer) connect(ctx context.Context, address string) (*quic.Conn, error) {
	tlsConfig := p.network.Credentials.Config([]string{protocol}, certs.Hosts)
	if !p.network.FromOwnAddress {
		return quic.DialAddr(ctx, address, tlsConfig, p.network.config())
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	own, err := net.ResolveUDPAddr("udp", p.network.Address)
	if err != nil {
		return nil, err
	}
	p.socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: own.IP})
	if err != nil {
		return nil, err
	}
	return quic.Dial(ctx, p.socket, to, tlsConfig, p.network.config())
}

func (p *peer) closeSocket() {
	if p.socket != nil {
		// The connection on it has ended.
		_ = p.socket.Close()
		p.socket = nil
	}
}

// openStream opens the stream for messages; it returns an error when the certificate names another host.
func (p *peer) openStream(connection *quic.Conn) error {
	name := certs.PeerName(connection.ConnectionState().TLS)
	if name != p.name {
		_ = connection.CloseWithError(1, "wrong host")
		return fmt.Errorf("host at the address of %q has a certificate for %q", p.name, name)
	}
	stream, err := connection.OpenUniStream()
	if err != nil {
		return err
	}
	p.connection, p.stream = connection, stream
	return nil
}

// disconnect closes the connection; of a shared one it closes only the stream.
func (p *peer) disconnect() {
	switch {
	case p.connection == nil:
	case p.shared:
		_ = p.stream.Close()
	default:
		_ = p.connection.CloseWithError(0, "")
	}
	p.connection, p.stream, p.shared = nil, nil, false
	p.closeSocket()
}
