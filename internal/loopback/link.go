// Package loopback holds what tests of real processes on one machine need: links between them that can be cut, slowed down and
// reset from outside, and the processes themselves, which are stopped, paused and killed by signals.
//
// # Usage
//
//	l, err := loopback.NewLink()
//	l.Lead("127.0.0.1:7000")           // others are given l.Address() in place of it
//	l.Forth.Shut()                     // nothing gets there any more; what comes back still does
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

// Link forwards TCP connections to an address, and can be cut. While a direction is cut its bytes wait, as they do on a
// real network, where they are sent again; no connection is reset. A connection made meanwhile is taken and then silent.
type Link struct {
	// Forth holds what goes to the address, Back what comes from there.
	Forth, Back Gate

	listener net.Listener

	mu   sync.Mutex
	to   string
	open map[net.Conn]bool
	// pairs are the connections that are forwarded.
	pairs map[*pair]bool
}

// pair is a connection to the link and its continuation.
type pair struct {
	// silent says that nothing is forwarded any more, neither bytes nor the end of either side.
	silent atomic.Bool
}

// NewLink returns a link that listens already. Where it leads is set before it is used.
func NewLink() (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Link{listener: l, open: map[net.Conn]bool{}, pairs: map[*pair]bool{}}, nil
}

// Lead sets where the link goes, and opens it.
func (l *Link) Lead(to string) {
	l.mu.Lock()
	l.to = to
	l.mu.Unlock()
	go l.accept()
}

// Address is where the link listens, such as 127.0.0.1:40123; URL is the same as a base URL.
func (l *Link) Address() string { return l.listener.Addr().String() }

// URL is Address as a base URL.
func (l *Link) URL() string { return "http://" + l.Address() }

// Cut holds both directions, Heal lets both go, without delay.
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

// Silence makes all open connections silent for good: nothing is forwarded on them any more, and neither end hears of the other's. New
// connections work. It returns how many there were.
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

// hold keeps a connection among the open ones until the returned function is called.
func (l *Link) hold(c net.Conn) (release func()) {
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
	defer l.hold(c)()
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
	defer l.forward(pair)()
	ended := make(chan struct{}, 2)
	go pair.carry(s, c, &l.Forth, ended)
	go pair.carry(c, s, &l.Back, ended)
	<-ended
	if pair.silent.Load() {
		<-ended
	}
}

// forward keeps a pair among those that are forwarded until the returned function is called.
func (l *Link) forward(p *pair) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pairs, p)
	}
}

// carry copies what comes from one connection to the other whenever the gate is open. Once the pair is silent it swallows it.
func (p *pair) carry(to io.Writer, from io.Reader, g *Gate, ended chan<- struct{}) {
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

// Gate holds those who pass while it is shut, and lets each wait a while when it is slow.
type Gate struct {
	mu     sync.Mutex
	opened chan struct{}
	delay  time.Duration
}

// Shut holds all who pass from now on.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

// Open lets all go.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// Slow delays each who passes.
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
