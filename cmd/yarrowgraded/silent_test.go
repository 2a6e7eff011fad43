package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// silencer is a listener whose connections can be made silent: what comes on them from then on is swallowed, and nothing is sent.
type silencer struct {
	net.Listener
	mu    sync.Mutex
	conns []*silencedConn
}

type silencedConn struct {
	net.Conn
	silent atomic.Bool
}

func (s *silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := &silencedConn{Conn: c}
	s.conns = append(s.conns, conn)
	return conn, nil
}

func (c *silencedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// silence makes all connections silent that there are now, and returns how many.
func (s *silencer) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// TestSilentConnections: when several idle connections have gone silent, the first call on one of them gets no answer, and the next one
// does, on a new connection.
func TestSilentConnections(t *testing.T) {
	const idle, limit = 5, 100 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silencer := &silencer{Listener: l}
	all := make(chan struct{})
	var here atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" && here.Add(1) == idle {
			close(all)
		}
		if r.URL.Path == "/together" {
			<-all
		}
		_, _ = io.WriteString(w, "here")
	})}
	defer server.Close()
	go func() { _ = server.Serve(silencer) }()
	client := &http.Client{Transport: newTransport()}
	call := func(path string, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+path, nil)
		if err != nil {
			return err
		}
		response, err := client.Do(r)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return err
	}
	var wg conc.WaitGroup
	for range idle {
		wg.Go(func() {
			if err := call("/together", 10*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := silencer.silence(); n != idle {
		t.Fatalf("%d connections, want %d", n, idle)
	}
	if err := call("/", limit); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("on a silent connection: %v, want no answer in time", err)
	}
	if err := call("/", 10*time.Second); err != nil {
		t.Errorf("after it: %v", err)
	}
	if n := silencer.silence(); n != idle+1 {
		t.Errorf("%d connections were made, want one more than before", n)
	}
}
