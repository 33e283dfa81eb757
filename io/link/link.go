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

// Credentials make the TLS configuration of connections between hosts of the units.
type Credentials interface {
	// Config returns the configuration for the application protocols.
	Config(protocols []string, units ...string) *tls.Config
}

// Network sends and receives the messages of one host. Set the exported fields before Run.
type Network struct {
	Self        string
	Address     string
	Credentials Credentials
	// AddressOf finds hosts that no address was set for; it may be nil.
	AddressOf func(name string) string
	// FromOwnAddress lets connections to others come from the address's IP, by which relays and filters on the way know the host.
	FromOwnAddress bool
	// ReuseIncoming sends to a host on the connection that this host opened, while there is one, instead of opening another. All hosts must set it alike.
	ReuseIncoming bool
	// SilenceTimeout, KeepAliveEvery and IdleAfter are those of the constants above when they are left zero.
	SilenceTimeout    time.Duration
	KeepAliveInterval time.Duration
	IdleTimeout       time.Duration
	// Receive is called with each message and the name in its sender's certificate.
	Receive func(from string, message core.Message)
	// OnError is told of connections that fail.
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

// Stats counts what was sent and received.
type Stats struct {
	mutex                                                    sync.Mutex
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes uint64
	Dropped, Dials, Lost                                     uint64
}

// Counts are the statistics at one moment.
type Counts struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes, Dropped, Dials, Lost uint64
}

// Read returns the counts.
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

// serve reads what comes on a connection that another host opened, until it ends.
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

// incomingFrom returns the connection that the host opened last and that still lives, or nil.
func (n *Network) incomingFrom(name string) *quic.Conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if connection := n.incoming[name]; connection != nil && connection.Context().Err() == nil {
		return connection
	}
	return nil
}

// readStreams reads one stream after the other; a sender that has paused goes on with a new one.
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

// readMessages reads a stream to its end; it errs on one that breaks off.
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
		return nil, fmt.Errorf("message of %d bytes is longer than %d", size, maxMessageBytes)
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
