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
	// maxIdlePerHost is the maximum number of idle connections that a process keeps open to each
	// other process.
	maxIdlePerHost = 64
	// clientIdleTimeout is shorter than serverIdleTimeout, so that a request is not sent on a
	// connection that the server is closing.
	clientIdleTimeout = time.Minute
	dialTimeout       = time.Second
)

// keepAlive makes the operating system detect a connection that was lost without a reset, 4 s after
// its last packet. A long-polling read sends nothing that could reveal the loss.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// newClient returns the HTTP client for the system's own processes and the platform.
func newClient(t *telemetry.Telemetry) *http.Client {
	return &http.Client{Transport: t.Transport(newTransport())}
}

// transport closes all idle connections after a request that timed out. If one connection no longer
// responds, others probably do not either, and later requests must not time out on them one by one.
type transport struct{ *http.Transport }

func newTransport() *transport {
	return &transport{&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
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
