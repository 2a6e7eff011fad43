package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
)

const (
	// idlePerHost is how many idle connections a process keeps to each other one.
	idlePerHost = 64
	// clientIdleTimeout is shorter than serverIdleTimeout, so that no request meets a connection
	// that is being closed.
	clientIdleTimeout = time.Minute
	dialTimeout       = time.Second
)

// keepAlive lets the operating system find a connection that was lost without a reset, 4 s after
// its last packet. A read that waits for news sends nothing by which it could be noticed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// newClient returns the HTTP client for the system's own processes and the platform.
func newClient(t *telemetry.Telemetry) *http.Client {
	return &http.Client{Transport: t.Transport(newTransport())}
}

// transport closes all idle connections after a request that timed out. If one connection has gone
// silent, others probably have too, and the next requests must not find that out one by one.
type transport struct{ *http.Transport }

func newTransport() *transport {
	return &transport{&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     clientIdleTimeout,
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
