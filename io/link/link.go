package link

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"clementinelock/core"
	"clementinelock/core/host"
	"clementinelock/io/certs"

	"github.com/quic-go/quic-go"
)

// Lengths of time and sizes of a connection.
const (
	silentAfter    = 1200 * time.Millisecond
	keepAliveEvery = 300 * time.Millisecond
	dialWithin     = time.Second
	redialAfter    = 100 * time.Millisecond
	redialMost     = time.Second
	idleAfter      = 10 * time.Second
	writeWithin    = time.Second
	queueLength    = 1024
	maxMessage     = 16 << 20
	protocol       = "clementinelock/1"
)

// Credentials make the TLS configuration of connections between hosts of the units.
type Credentials interface {
	// Config returns the configuration for the application protocols.
	Config(protocols []string, units ...string) *tls.Config
}

// Network sends and receives the messages of one host. Set the exported fields before Run.
type Network struct {
	Self    string
	Address string
	Keys    Credentials
	// AddressOf finds hosts that no address was set for; it may be nil.
	AddressOf func(name string) string
	// FromOwnAddress lets connections to others come from the address's IP, by which relays and filters on the way know the host.
	FromOwnAddress bool
	// SilentAfter and KeepAliveEvery are those of the constants above when they are left zero.
	SilentAfter    time.Duration
	KeepAliveEvery time.Duration
	// Receive is called with each message and the name in its sender's certificate.
	Receive func(from string, message core.Message)
	// OnError is told of connections that fail.
	OnError func(host string, err error)

	mutex     sync.Mutex
	addresses map[string]string
	peers     map[string]*peer
	context   context.Context
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	Stats     Stats
}

// Stats counts what was sent and received.
type Stats struct {
	mutex                                          sync.Mutex
	SentMessages, SentBytes, GotMessages, GotBytes uint64
	Dropped, Dials, Lost                           uint64
}

// Counts are the statistics at one moment.
type Counts struct {
	SentMessages, SentBytes, GotMessages, GotBytes, Dropped, Dials, Lost uint64
}

// Read returns the counts.
func (s *Stats) Read() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Counts{s.SentMessages, s.SentBytes, s.GotMessages, s.GotBytes, s.Dropped, s.Dials, s.Lost}
}

func (s *Stats) add(update func(*Stats)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update(s)
}

func (n *Network) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialWithin,
		MaxIdleTimeout:       cmp.Or(n.SilentAfter, silentAfter),
		KeepAlivePeriod:      cmp.Or(n.KeepAliveEvery, keepAliveEvery),
		MaxIncomingStreams:   -1,
	}
}

// Listen opens the host's address; it errs when the address can't be had.
func (n *Network) Listen(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", n.Address)
	if err != nil {
		return fmt.Errorf("peer address %q: %w", n.Address, err)
	}
	if n.socket, err = net.ListenUDP("udp", address); err != nil {
		return fmt.Errorf("peer address %q: %w", n.Address, err)
	}
	n.transport = &quic.Transport{Conn: n.socket}
	n.listener, err = n.transport.Listen(n.Keys.Config([]string{protocol}, certs.Hosts), n.config())
	if err != nil {
		n.Close()
		return fmt.Errorf("peer address %q: %w", n.Address, err)
	}
	n.context = ctx
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.addresses == nil {
		n.addresses = map[string]string{}
	}
	n.peers = map[string]*peer{}
	return nil
}

// Close frees the host's address at once, with every connection that came in on it.
func (n *Network) Close() {
	if n.socket == nil {
		return
	}
	// Nobody is left to tell of an error while the host ends.
	_ = n.transport.Close()
	_ = n.socket.Close()
}

// SetAddresses adds and replaces the addresses of hosts.
func (n *Network) SetAddresses(addresses map[string]string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.addresses == nil {
		n.addresses = map[string]string{}
	}
	for name, address := range addresses {
		n.addresses[name] = address
	}
}

// Run accepts connections until the context ends.
func (n *Network) Run(ctx context.Context) error {
	defer n.Close()
	for {
		connection, err := n.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		go n.serve(ctx, connection)
	}
}

// serve reads the messages of one connection until it ends.
func (n *Network) serve(ctx context.Context, connection *quic.Conn) {
	from := certs.PeerName(connection.ConnectionState().TLS)
	stream, err := connection.AcceptUniStream(ctx)
	if err != nil {
		return
	}
	reader := bufio.NewReader(stream)
	for {
		data, err := readMessage(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = connection.CloseWithError(1, "unreadable")
			}
			return
		}
		message, err := host.Decode(data)
		if err != nil {
			n.OnError(from, err)
			continue
		}
		n.Stats.add(func(s *Stats) { s.GotMessages++; s.GotBytes += uint64(len(data)) })
		n.Receive(from, message)
	}
}

func readMessage(reader *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > maxMessage {
		return nil, fmt.Errorf("message of %d bytes is longer than %d", size, maxMessage)
	}
	data := make([]byte, size)
	_, err = io.ReadFull(reader, data)
	return data, err
}

// Send queues a message for a host; when its queue is full the message is dropped.
func (n *Network) Send(to string, message core.Message) {
	data := host.Encode(message)
	n.mutex.Lock()
	p := n.peers[to]
	if p == nil {
		p = &peer{network: n, name: to, queue: make(chan []byte, queueLength)}
		n.peers[to] = p
		go p.run(n.context)
	}
	n.mutex.Unlock()
	select {
	case p.queue <- data:
	default:
		n.Stats.add(func(s *Stats) { s.Dropped++ })
	}
}

func (n *Network) addressOf(name string) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if address := n.addresses[name]; address != "" || n.AddressOf == nil {
		return address
	}
	return n.AddressOf(name)
}

// peer sends to one host.
type peer struct {
	network    *Network
	name       string
	queue      chan []byte
	connection *quic.Conn
	stream     *quic.SendStream
	// socket is the connection's own when it comes from the host's address.
	socket    *net.UDPConn
	wait      time.Duration
	notBefore time.Time
}

func (p *peer) run(ctx context.Context) {
	idle := time.NewTimer(idleAfter)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			p.hangUp()
			return
		case <-idle.C:
			p.hangUp()
			idle.Reset(idleAfter)
		case data := <-p.queue:
			idle.Reset(idleAfter)
			p.send(ctx, data)
		}
	}
}

// send writes a message and what else waits; a message that can't be written is lost.
func (p *peer) send(ctx context.Context, data []byte) {
	if p.connection != nil && p.connection.Context().Err() != nil {
		p.network.Stats.add(func(s *Stats) { s.Lost++ })
		p.hangUp()
	}
	if p.connection == nil && !p.dial(ctx) {
		return
	}
	buffer := binary.AppendUvarint(nil, uint64(len(data)))
	buffer = append(buffer, data...)
	count := uint64(1)
	for len(buffer) < maxBatch && len(p.queue) > 0 {
		next := <-p.queue
		buffer = binary.AppendUvarint(buffer, uint64(len(next)))
		buffer = append(buffer, next...)
		count++
	}
	_ = p.stream.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := p.stream.Write(buffer); err != nil {
		p.network.Stats.add(func(s *Stats) { s.Lost++ })
		p.network.OnError(p.name, err)
		p.hangUp()
		return
	}
	p.network.Stats.add(func(s *Stats) { s.SentMessages += count; s.SentBytes += uint64(len(buffer)) })
}

const maxBatch = 64 << 10

// dial opens a new connection, from a new port, unless the last attempt failed a moment ago.
func (p *peer) dial(ctx context.Context) bool {
	address := p.network.addressOf(p.name)
	if address == "" || time.Now().Before(p.notBefore) {
		return false
	}
	within, cancel := context.WithTimeout(ctx, dialWithin)
	defer cancel()
	p.network.Stats.add(func(s *Stats) { s.Dials++ })
	connection, err := p.connect(within, address)
	if err == nil {
		err = p.open(connection)
	}
	if err != nil {
		p.closeSocket()
		p.wait = min(max(2*p.wait, redialAfter), redialMost)
		p.notBefore = time.Now().Add(p.wait)
		p.network.OnError(p.name, err)
		return false
	}
	p.wait = 0
	return true
}

// connect opens a connection, from a port of its own.
func (p *peer) connect(ctx context.Context, address string) (*quic.Conn, error) {
	tlsConfig := p.network.Keys.Config([]string{protocol}, certs.Hosts)
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

func (p *peer) open(connection *quic.Conn) error {
	name := certs.PeerName(connection.ConnectionState().TLS)
	if name != p.name {
		_ = connection.CloseWithError(1, "wrong host")
		return fmt.Errorf("address of host %q is answered by host %q", p.name, name)
	}
	stream, err := connection.OpenUniStream()
	if err != nil {
		return err
	}
	p.connection, p.stream = connection, stream
	return nil
}

func (p *peer) hangUp() {
	if p.connection != nil {
		_ = p.connection.CloseWithError(0, "")
	}
	p.connection, p.stream = nil, nil
	p.closeSocket()
}
