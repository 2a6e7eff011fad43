package jsonhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// errIdle means that the peer sent nothing for too long.
var errIdle = errors.New("nothing was received for too long")

// CallIdle is Call for an answer that may take long and is kept alive by KeepAlive: it fails when
// nothing is received for the idle time.
func CallIdle(
	ctx context.Context, client *http.Client, idle time.Duration,
	step, method, address, path string, body, out any,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(idle, func() { cancel(errIdle) })
	defer timer.Stop()
	watched := *client
	watched.Transport = &watchedTransport{base: client.Transport, received: func() { timer.Reset(idle) }}
	err := Call(ctx, &watched, step, method, address, path, body, out)
	if err != nil && errors.Is(context.Cause(ctx), errIdle) {
		return fault.New(step, address, errIdle)
	}
	return err
}

// watchedTransport calls received whenever a part of an answer arrives.
type watchedTransport struct {
	base     http.RoundTripper
	received func()
}

// RoundTrip implements http.RoundTripper.
func (t *watchedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.base
	if base == nil {
		base = http.DefaultTransport
	}
	response, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	t.received()
	response.Body = &watchedBody{ReadCloser: response.Body, received: t.received}
	return response, nil
}

type watchedBody struct {
	io.ReadCloser
	received func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.received()
	}
	return n, err
}
