package request

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// idleTimeout is shorter than the idle timeout of common servers (5 s and more). If a request is
// sent on a connection that the server is closing, its outcome is Unknown.
const idleTimeout = 4 * time.Second

// IDHeader contains the ID of the request. Targets may include it in the response.
const IDHeader = "X-Request-Id"

// HTTPTarget is a Target reached over HTTP. Each request is one POST.
type HTTPTarget struct {
	address string
	client  *http.Client
}

// NewHTTPTarget returns the target at the URL address, with at most the given number of
// connections. wrap wraps the transport, for example to add tracing.
func NewHTTPTarget(address string, connections int, wrap func(http.RoundTripper) http.RoundTripper) *HTTPTarget {
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &HTTPTarget{address: address, client: &http.Client{Transport: wrap(transport)}}
}

// ErrIDMismatch means that the target's response has the ID of another request.
var ErrIDMismatch = errors.New("the target's response has the ID of another request")

// Run implements Target. It clears GetBody; otherwise the transport could resend the request on
// another connection.
//
// The error is a *NotSentError if no connection was made.
func (t *HTTPTarget) Run(ctx context.Context, req AgentRequest) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.address, strings.NewReader(req.Body))
	if err != nil {
		return 0, "", &NotSentError{Err: err}
	}
	r.GetBody = nil
	r.Header.Set(IDHeader, req.ID)
	r.Header.Set("X-Team", req.Team)
	r.Header.Set("X-Service", req.Service)
	response, err := t.client.Do(r)
	if err != nil {
		return 0, "", sendError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBody+1))
	if err != nil {
		return 0, "", fmt.Errorf("request.Run: reading the target's response: %w", err)
	}
	if len(body) > MaxBody {
		return 0, "", fmt.Errorf("request.Run: the target's response exceeds %d bytes", MaxBody)
	}
	if id := response.Header.Get(IDHeader); id != "" && id != req.ID {
		return 0, "", ErrIDMismatch
	}
	return response.StatusCode, string(body), nil
}

// sendError returns a *NotSentError if no connection was made. Otherwise the request may have
// arrived.
func sendError(err error) error {
	if fault.IsNotSent(err) {
		return &NotSentError{Err: err}
	}
	return fmt.Errorf("request.Run: %w", err)
}
