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

// Timeouts and sizes of a connection.
const (
	silenceTimeout     = 1200 * time.Millisecond
	keepAliveInterval  = 300 * time.Millisecond
	dialTimeout        = time.Second
	minRedialDelay     = 100 * time.Millisecond
	maxRedialDelay     = time.Second
	defaultIdleTimeout = 10 * time.Second
	writeTimeout       = time.Second
	queueLength        = 1024
	maxMessageBytes    = 16 << 20
	protocol           = "clementinelock/1"
)

// Credentials provide the TLS configuration of connections between hosts.
type Credentials interface {
	// Config returns the configuration for the application protocols; it accepts peers whose certificates name one of
	// the organizational units.
	Config(protocols []string, units ...string) *tls.Config
}

// Network sends and receives the messages of one host. Set the exported fields before Listen and Run.
type Network struct {
	Self        string
	Address     string
	Credentials Credentials
	// AddressOf resolves hosts that SetAddresses has no address for; it may be nil.
	AddressOf func(name string) string
	// FromOwnAddress makes outgoing connections use Address's IP, by which relays and filters identify the host.
	FromOwnAddress bool
	// ReuseIncoming sends to a host on the connection that this host opened, if there is one, instead of opening another.
	// All hosts must use the same setting.
	ReuseIncoming bool
	// A zero SilenceTimeout, KeepAliveInterval or IdleTimeout selects the default above.
	SilenceTimeout    time.Duration
	KeepAliveInterval time.Duration
	IdleTimeout       time.Duration
	// Receive is called with each message and the host name in its sender's certificate.
	Receive func(from string, message core.Message)
	// OnError is called with the error of a connection that fails, or of a message that can't be decoded.
	OnError func(host string, err error)

	mutex     sync.Mutex
	addresses map[string]string
	peers     map[string]*peer
	// incoming holds the newest connection that each host opened.
	incoming  map[string]*quic.Conn
	context   context.Context
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	Stats     Stats
}

// Stats counts messages, bytes and connections. Dropped counts messages that met a full queue, Dials attempts to open a
// connection, and Lost connections that had ended or stalled when a message
// was to be written, and messages that had waited for too long.
type Stats struct {
	mutex                                                    sync.Mutex
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes uint64
	Dropped, Dials, Lost                                     uint64
}

// Counts is a snapshot of Stats.
type Counts struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes, Dropped, Dials, Lost uint64
}

// Read returns a snapshot of the counters.
func (s *Stats) Read() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Counts{s.SentMessages, s.SentBytes, s.ReceivedMessages, s.ReceivedBytes, s.Dropped, s.Dials, s.Lost}
}

func (s *Stats) add(update func(*Stats)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update(s)
}

func (n *Network) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       cmp.Or(n.SilenceTimeout, silenceTimeout),
		KeepAlivePeriod:      cmp.Or(n.KeepAliveInterval, keepAliveInterval),
		MaxIncomingStreams:   -1,
	}
}

// Listen binds the host's address; it returns an error when the address is invalid or can't be bound.
func (n *Network) Listen(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", n.Address)
	if err != nil {
		return fmt.Errorf("peer address %q: %w", n.Address, err)
	}
	if n.socket, err = net.ListenUDP("udp", address); err != nil {
		return fmt.Errorf("peer address %q: %w", n.Address, err)
	}
	n.transport = &quic.Transport{Conn: n.socket}
	n.listener, err = n.transport.Listen(n.Credentials.Config([]string{protocol}, certs.Hosts), n.config())
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
	n.incoming = map[string]*quic.Conn{}
	return nil
}

// Close releases the host's address at once and ends every connection that was accepted on it.
func (n *Network) Close() {
	if n.socket == nil {
		return
	}
	// The host is shutting down, so no one could handle an error.
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

// Run accepts connections until the context ends; it returns the error of Accept when accepting fails earlier.
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

// serve reads from a connection that another host opened until it ends.
func (n *Network) serve(ctx context.Context, connection *quic.Conn) {
	from := certs.PeerName(connection.ConnectionState().TLS)
	if n.ReuseIncoming {
		n.setIncoming(from, connection)
		defer n.unsetIncoming(from, connection)
	}
	n.readStreams(ctx, from, connection)
}

func (n *Network) setIncoming(from string, connection *quic.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.incoming[from] = connection
}

func (n *Network) unsetIncoming(from string, connection *quic.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.incoming[from] == connection {
		delete(n.incoming, from)
	}
}

// incomingFrom returns the newest connection that the host opened if it is still open, else nil.
func (n *Network) incomingFrom(name string) *quic.Conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if connection := n.incoming[name]; connection != nil && connection.Context().Err() == nil {
		return connection
	}
	return nil
}

// readStreams reads one stream after another; a sender that was idle continues on a new stream.
func (n *Network) readStreams(ctx context.Context, from string, connection *quic.Conn) {
	for {
		stream, err := connection.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		if err := n.readMessages(from, stream); err != nil {
			_ = connection.CloseWithError(1, "unreadable")
			return
		}
	}
}

// readMessages reads a stream to its end; it returns an error when the stream is truncated.
func (n *Network) readMessages(from string, stream io.Reader) error {
	reader := bufio.NewReader(stream)
	for {
		data, err := readMessage(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		message, err := host.Decode(data)
		if err != nil {
			n.OnError(from, err)
			continue
		}
		n.Stats.add(func(s *Stats) { s.ReceivedMessages++; s.ReceivedBytes += uint64(len(data)) })
		n.Receive(from, message)
	}
}

func readMessage(reader *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds the limit of %d", size, maxMessageBytes)
	}
	data := make([]byte, size)
	_, err = io.ReadFull(reader, data)
	return data, err
}

// Send queues a message for a host; it drops the message when the queue is full.
func (n *Network) Send(to string, message core.Message) {
	data := host.Encode(message)
	n.mutex.Lock()
	p := n.peers[to]
	if p == nil {
		p = &peer{network: n, name: to, queue: make(chan queued, queueLength)}
		n.peers[to] = p
		go p.run(n.context)
	}
	n.mutex.Unlock()
	select {
	case p.queue <- queued{data, time.Now()}:
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
