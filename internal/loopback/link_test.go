package loopback

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo starts an echo server. It returns the server's address and a channel that receives a value
// for each connection that has ended.
func echo(t *testing.T) (address string, ended chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ended = make(chan struct{}, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
				ended <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), ended
}

// echoes sends four bytes and reports whether they come back within the limit.
func echoes(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("word")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(c, make([]byte, 4))
	return err == nil
}

// TestSilence checks that a blackholed connection receives no data, that the other end does not
// detect its closing, and that new connections work.
func TestSilence(t *testing.T) {
	const longTimeout, shortTimeout = 10 * time.Second, 100 * time.Millisecond
	to, ended := echo(t)
	link, err := NewLink()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.ForwardTo(to)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	open := dial()
	if !echoes(t, open, longTimeout) {
		t.Fatal("no response before the connection is blackholed")
	}
	if n := link.Blackhole(); n != 1 {
		t.Fatalf("%d connections were blackholed, want 1", n)
	}
	if echoes(t, open, shortTimeout) {
		t.Error("a blackholed connection received data")
	}
	if !echoes(t, dial(), longTimeout) {
		t.Error("a new connection got no response")
	}
	open.Close()
	select {
	case <-ended:
		t.Error("the other end of a blackholed connection detected that it was closed")
	case <-time.After(shortTimeout):
	}
}
