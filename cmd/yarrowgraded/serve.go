package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
)

// Bounds of the HTTP servers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// idlePerHost is how many idle connections a process keeps to each other one.
	idlePerHost = 64
	dialTimeout = time.Second
)

// commonSettings are those that every role has.
type commonSettings struct {
	LogLevel     string `help:"Lowest level that is logged: trace, debug, info, warn or error." default:"info"`
	TraceAddress string `help:"Base URL of an OTLP/HTTP collector for traces, such as http://127.0.0.1:4318. Empty for none."`
}

// checkListen returns a *fault.Field unless text is an IP address and a port.
func checkListen(name, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fault.BadField(name, "want an IP address and a port such as 127.0.0.1:7100, got %q", text)
	}
	return nil
}

// newClient returns the HTTP client for the system's own peers.
func newClient(t *telemetry.Telemetry) *http.Client {
	return &http.Client{Transport: t.Transport(newTransport())}
}

// keepAlive is how a connection that has gone silent for good, without a reset, is noticed while nothing is expected on it soon, as in
// a read that waits for news: by probes of the operating system, 4 s after its last packet.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// transport drops all idle connections once a call got no answer in time: where one connection has gone silent others may have, and the next
// call is not to find out one by one.
type transport struct{ *http.Transport }

func newTransport() *transport {
	return &transport{&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout / 2,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if errors.Is(err, context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return response, err
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// listen opens the listener of a role.
func listen(name, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: can't listen on %s: %w", name, address, err)
	}
	return l, nil
}

// serve runs the server until Shutdown.
func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fault.New("serve", l.Addr().String(), err)
	}
	return nil
}

// role is what the processes of a box have in common: they run, serve, and leave on SIGTERM.
type role struct {
	name        string
	listen      string
	address     string
	handler     http.Handler
	run         func(ctx context.Context)
	leave       func(ctx context.Context) error
	stopTimeout time.Duration
	telemetry   *telemetry.Telemetry
}

// serve runs the role until ctx ends, and then stops it as planned: it leaves, finishes what is in flight, and returns.
func (r role) serve(ctx context.Context) error {
	l, err := listen("listen", r.listen)
	if err != nil {
		return err
	}
	detached := context.WithoutCancel(ctx)
	running, cancel := context.WithCancel(detached)
	defer cancel()
	server := newServer(r.handler)
	failed := make(chan error, 1)
	go r.run(running)
	go func() { failed <- serve(server, l) }()
	log := r.telemetry.Log
	log.Info().Str("step", "start").Str("address", r.address).Msg(r.name + " listens")

	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info().Str("step", "stop").Msg(r.name + " leaves")
	stopping, done := context.WithTimeout(detached, r.stopTimeout)
	defer done()
	err = r.leave(stopping)
	if shutdown := server.Shutdown(stopping); err == nil {
		err = fault.New("stop", "", shutdown)
	}
	cancel()
	log.Info().Str("step", "stop").Err(err).Msg(r.name + " stopped")
	r.telemetry.Close(stopping)
	return err
}

// closeWhenLeaving lets each connection end with its next answer once the process leaves. Idle ones stay open meanwhile: to close
// them at once would cut the calls that are on their way.
func closeWhenLeaving(h http.Handler, leaving <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-leaving:
			w.Header().Set("Connection", "close")
		default:
		}
		h.ServeHTTP(w, r)
	})
}
