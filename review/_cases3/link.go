package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a proxy on the way from one process to a server. While it is cut, it passes nothing on and
// answers nothing, as a partition does; what was sent meanwhile arrives after it has healed, unless the
// sender has closed the connection.
type link struct {
	listener net.Listener
	to       string
	cut      atomic.Bool
}

func newLink(address, to string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to}
	go k.accept()
	return k, nil
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	defer c.Close()
	k.awaitHealed()
	s, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer s.Close()
	var both sync.WaitGroup
	both.Add(2)
	pass := func(from, to net.Conn) {
		defer both.Done()
		defer from.Close()
		defer to.Close()
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			k.awaitHealed()
			if err != nil {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go pass(c, s)
	go pass(s, c)
	both.Wait()
}

func (k *link) awaitHealed() {
	for k.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}
