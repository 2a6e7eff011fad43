package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

const (
	// headerTimeout is the time limit for reading the headers of a request.
	headerTimeout = 5 * time.Second
	// serverIdleTimeout is the time after which connections without requests are closed.
	serverIdleTimeout = 2 * time.Minute
	// logCloseTimeout is the time limit for writing the last log lines when a process exits.
	logCloseTimeout = time.Second
)

// checkListen returns a *fault.Field unless text is an IP address and a port.
func checkListen(name, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fault.BadField(name, "want an IP address and a port such as 127.0.0.1:7100, got %q", text)
	}
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: serverIdleTimeout}
}

// listen opens a listener. Its error contains the name of the setting.
func listen(name, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: cannot listen on %s: %w", name, address, err)
	}
	return l, nil
}

// serve runs the server until Shutdown or Close is called.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fault.New("serve", l.Addr().String(), err)
	}
	return nil
}

// serveAll serves each handler at its address, in the background. Empty addresses are skipped.
func serveAll(log zerolog.Logger, handlers map[string]http.Handler) ([]*http.Server, error) {
	var servers []*http.Server
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		l, err := listen("listen", address)
		if err != nil {
			return nil, err
		}
		server := newServer(handler)
		servers = append(servers, server)
		go func() {
			if err := serve(server, l); err != nil {
				log.Error().Str("step", "serve").Err(err).Msg("listener failed")
			}
		}()
	}
	return servers, nil
}

// closeWhenDraining makes each connection close after its next response once the process drains.
// Idle connections stay open until then, because closing them immediately would abort requests that
// are already on their way.
func closeWhenDraining(h http.Handler, draining <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-draining:
			w.Header().Set("Connection", "close")
		default:
		}
		h.ServeHTTP(w, r)
	})
}
