// Package loopback is for tests that run real processes on one machine. It has links between
// processes, which can be cut, slowed down and reset, and the processes themselves, which are
// stopped, paused and killed by signals.
//
// # Usage
//
//	l, err := loopback.NewLink()
//	l.Lead("127.0.0.1:7000")           // clients connect to l.Address() instead
//	l.Forth.Shut()                     // requests don't arrive any more; answers still do
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

// Link forwards TCP connections to an address, and can be cut. While a direction is cut its bytes
// wait, as on a real network, where they would be retransmitted; no connection is reset.
// Connections made meanwhile are accepted and stay silent. It is safe for concurrent use.
type Link struct {
	// Forth is the direction to the address, Back the one from it.
	Forth, Back Gate

	listener net.Listener

	mu   sync.Mutex
	to   string
	open map[net.Conn]bool
	// pairs are the forwarded connections.
	pairs map[*pair]bool
}

// pair is a client's connection to the link and the one from the link to the address.
type pair struct {
	// silent means that neither bytes nor the end of either side are forwarded any more.
	silent atomic.Bool
}

// NewLink returns a link that listens, and forwards after Lead. Close ends it.
func NewLink() (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Link{listener: l, open: map[net.Conn]bool{}, pairs: map[*pair]bool{}}, nil
}

// Lead sets the address that the link forwards to, and starts it. It is called once.
func (l *Link) Lead(to string) {
	l.mu.Lock()
	l.to = to
	l.mu.Unlock()
	go l.accept()
}

// Address returns where the link listens, such as 127.0.0.1:40123.
func (l *Link) Address() string { return l.listener.Addr().String() }

// URL returns the base URL of the link.
func (l *Link) URL() string { return "http://" + l.Address() }

// Cut cuts both directions. Heal ends it.
func (l *Link) Cut() {
	l.Forth.Shut()
	l.Back.Shut()
}

// Heal ends all faults of the link.
func (l *Link) Heal() {
	for _, g := range []*Gate{&l.Forth, &l.Back} {
		g.Open()
		g.Slow(0)
	}
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Silence makes all open connections silent for good: nothing is forwarded, and neither end notices
// the other's close. New connections work. It returns how many connections there were.
func (l *Link) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silent.Store(true)
	}
	return len(l.pairs)
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.Heal()
	l.Reset()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

// track adds an open connection until the returned function, which closes it, is called.
func (l *Link) track(c net.Conn) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, c)
		c.Close()
	}
}

func (l *Link) serve(c net.Conn) {
	defer l.track(c)()
	l.Forth.pass()
	l.mu.Lock()
	to := l.to
	l.mu.Unlock()
	s, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer s.Close()
	pair := &pair{}
	defer l.trackPair(pair)()
	ended := make(chan struct{}, 2)
	go pair.copy(s, c, &l.Forth, ended)
	go pair.copy(c, s, &l.Back, ended)
	<-ended
	if pair.silent.Load() {
		<-ended
	}
}

// trackPair adds a forwarded pair until the returned function is called.
func (l *Link) trackPair(p *pair) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pairs, p)
	}
}

// copy copies from one connection to the other, as the gate allows. Once the pair is silent it
// discards what it reads.
func (p *pair) copy(to io.Writer, from io.Reader, g *Gate, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.pass()
		if n > 0 && !p.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Gate holds those who pass while it is shut, and delays them while it is slow. The zero value is
// open.
type Gate struct {
	mu     sync.Mutex
	opened chan struct{}
	delay  time.Duration
}

// Shut holds all who pass from now on, until Open.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// Open lets all pass.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// Slow delays each who passes; zero ends it.
func (g *Gate) Slow(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
}

func (g *Gate) pass() {
	g.mu.Lock()
	opened, delay := g.opened, g.delay
	g.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if opened != nil {
		<-opened
	}
}
