package loopback

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo returns the address of a server that sends back what it gets, and a channel that gets a
// value for each connection that ended.
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

// say sends a word and reports whether it comes back within the limit.
func say(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	if _, err := c.Write([]byte("word")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := io.ReadFull(c, make([]byte, 4))
	return err == nil
}

// TestSilence: a silent connection gets no answer, and the other end doesn't notice that it is
// closed. New connections work.
func TestSilence(t *testing.T) {
	const long, moment = 10 * time.Second, 100 * time.Millisecond
	to, ended := echo(t)
	link, err := NewLink()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.Lead(to)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	open := dial()
	if !say(t, open, long) {
		t.Fatal("no answer before anything is silent")
	}
	if n := link.Silence(); n != 1 {
		t.Fatalf("%d connections were made silent, want 1", n)
	}
	if say(t, open, moment) {
		t.Error("a silent connection answers")
	}
	if !say(t, dial(), long) {
		t.Error("a new connection gets no answer")
	}
	open.Close()
	select {
	case <-ended:
		t.Error("the other end of a silent connection heard that it was closed")
	case <-time.After(moment):
	}
}
