package jsonhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// errIdleTimeout means that the peer sent no data within the idle timeout.
var errIdleTimeout = errors.New("no data received within the idle timeout")

// CallWithIdleTimeout is Call for a response that may take a long time and is kept alive by
// KeepAlive. It fails if no data is received for the duration idle.
func CallWithIdleTimeout(
	ctx context.Context, client *http.Client, idle time.Duration,
	step, method, address, path string, body, out any,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(idle, func() { cancel(errIdleTimeout) })
	defer timer.Stop()
	activityClient := *client
	activityClient.Transport = &activityTransport{base: client.Transport, received: func() { timer.Reset(idle) }}
	err := Call(ctx, &activityClient, step, method, address, path, body, out)
	if err != nil && errors.Is(context.Cause(ctx), errIdleTimeout) {
		return fault.New(step, address, errIdleTimeout)
	}
	return err
}

// activityTransport calls received whenever a part of a response arrives.
type activityTransport struct {
	base     http.RoundTripper
	received func()
}

// RoundTrip implements http.RoundTripper.
func (t *activityTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.base
	if base == nil {
		base = http.DefaultTransport
	}
	response, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.received()
	response.Body = &activityBody{ReadCloser: response.Body, received: t.received}
	return response, nil
}

type activityBody struct {
	io.ReadCloser
	received func()
}

// Read implements io.Reader.
func (b *activityBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.received()
	}
	return n, err
}
