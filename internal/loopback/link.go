// Package loopback supports tests that run real processes on one machine. A Link is a TCP proxy
// that can cut, delay and reset the connections between processes. A Process is a program that can
// be stopped, paused and killed by signals.
//
// # Usage
//
//	l, err := loopback.NewLink()
//	l.ForwardTo("127.0.0.1:7000")      // clients connect to l.Address() instead
//	l.Upstream.Block()                 // blocks requests; responses still pass
//	p := &loopback.Process{Path: "bin/yarrowgraded", Args: []string{"job-agent"}, Log: "agent.log"}
//	err = p.Start()
package loopback

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link forwards TCP connections to an address and injects network faults. The data of a blocked
// direction is held back and delivered later, as on a real network, where it would be
// retransmitted; no connection is reset. Connections opened in the meantime are accepted, but carry
// no data in that direction. Link is safe for concurrent use.
type Link struct {
	// Upstream is the direction to the address, Downstream the direction back to the client.
	Upstream, Downstream Direction

	listener net.Listener

	mu          sync.Mutex
	destination string
	conns       map[net.Conn]bool
	// pairs holds the forwarded connections.
	pairs map[*connPair]bool
}

// connPair consists of a client's connection to the link and the link's connection to the address.
type connPair struct {
	// blackholed means that neither data nor the closing of either side is forwarded.
	blackholed atomic.Bool
}

// NewLink returns a link that listens on a free port. It starts to forward connections when
// ForwardTo is called. The caller must call Close.
func NewLink() (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Link{listener: l, conns: map[net.Conn]bool{}, pairs: map[*connPair]bool{}}, nil
}

// ForwardTo sets the address that the link forwards to and starts forwarding. It must be called
// only once.
func (l *Link) ForwardTo(to string) {
	l.mu.Lock()
	l.destination = to
	l.mu.Unlock()
	go l.acceptLoop()
}

// Address returns the address on which the link listens, such as 127.0.0.1:40123.
func (l *Link) Address() string { return l.listener.Addr().String() }

// URL returns the base URL of the link.
func (l *Link) URL() string { return "http://" + l.Address() }

// Cut blocks both directions until Heal is called.
func (l *Link) Cut() {
	l.Upstream.Block()
	l.Downstream.Block()
}

// Heal unblocks both directions and removes their delays.
func (l *Link) Heal() {
	for _, d := range []*Direction{&l.Upstream, &l.Downstream} {
		d.Unblock()
		d.SetDelay(0)
	}
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Blackhole permanently stops forwarding on all open connections: data is discarded, and neither
// end detects that the other has closed its connection. New connections are not affected. It
// returns the number of affected connections.
func (l *Link) Blackhole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.blackholed.Store(true)
	}
	return len(l.pairs)
}

// Close stops the link and resets its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.Heal()
	l.Reset()
}

func (l *Link) acceptLoop() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

// track registers an open connection. The returned function unregisters and closes it.
func (l *Link) track(c net.Conn) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
		c.Close()
	}
}

func (l *Link) serve(c net.Conn) {
	defer l.track(c)()
	l.Upstream.wait()
	l.mu.Lock()
	to := l.destination
	l.mu.Unlock()
	s, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer s.Close()
	pair := &connPair{}
	defer l.trackPair(pair)()
	ended := make(chan struct{}, 2)
	go pair.copy(s, c, &l.Upstream, ended)
	go pair.copy(c, s, &l.Downstream, ended)
	<-ended
	if pair.blackholed.Load() {
		<-ended
	}
}

// trackPair registers a forwarded pair. The returned function unregisters it.
func (l *Link) trackPair(p *connPair) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pairs, p)
	}
}

// copy copies data from one connection to the other, subject to the faults of the direction. Once
// the pair is blackholed, it discards the data.
func (p *connPair) copy(to io.Writer, from io.Reader, d *Direction, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		d.wait()
		if n > 0 && !p.blackholed.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Direction controls one direction of the traffic on a Link, which can be blocked or delayed. The
// zero value neither blocks nor delays.
type Direction struct {
	mu        sync.Mutex
	unblocked chan struct{}
	delay     time.Duration
}

// Block holds back all data until Unblock is called.
func (d *Direction) Block() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unblocked == nil {
		d.unblocked = make(chan struct{})
	}
}

// Unblock ends a Block and delivers the data that was held back.
func (d *Direction) Unblock() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unblocked != nil {
		close(d.unblocked)
		d.unblocked = nil
	}
}

// SetDelay sets the delay of each chunk of data. Zero removes the delay.
func (d *Direction) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

func (d *Direction) wait() {
	d.mu.Lock()
	unblocked, delay := d.unblocked, d.delay
	d.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if unblocked != nil {
		<-unblocked
	}
}
