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

// idleTimeout is shorter than the idle timeout of common servers (5 s and more). A request sent
// on a connection that the server is closing ends as Unknown.
const idleTimeout = 4 * time.Second

// IDHeader carries the request's ID to the target. Targets may send it back.
const IDHeader = "X-Request-Id"

// HTTPTarget is a Target reached over HTTP. Each request is one POST.
type HTTPTarget struct {
	address string
	client  *http.Client
}

// NewHTTPTarget returns the target at the URL address, with at most the given number of
// connections. wrap decorates the transport, for example with tracing.
func NewHTTPTarget(address string, connections int, wrap func(http.RoundTripper) http.RoundTripper) *HTTPTarget {
	transport := &http.Transport{
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &HTTPTarget{address: address, client: &http.Client{Transport: wrap(transport)}}
}

// ErrCrossed means that the target answered with the ID of another request.
var ErrCrossed = errors.New("the target's answer belongs to another request")

// Run implements Target. It clears GetBody, because the transport would otherwise resend the
// request on another connection.
//
// The error is a *NotSentError if no connection was made.
func (t *HTTPTarget) Run(ctx context.Context, hop Hop) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.address, strings.NewReader(hop.Body))
	if err != nil {
		return 0, "", &NotSentError{Err: err}
	}
	r.GetBody = nil
	r.Header.Set(IDHeader, hop.ID)
	r.Header.Set("X-Team", hop.Team)
	r.Header.Set("X-Service", hop.Service)
	response, err := t.client.Do(r)
	if err != nil {
		return 0, "", sendError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBody+1))
	if err != nil {
		return 0, "", fmt.Errorf("request.Run: the target's answer was cut: %w", err)
	}
	if len(body) > MaxBody {
		return 0, "", fmt.Errorf("request.Run: the target's answer is over %d bytes", MaxBody)
	}
	if id := response.Header.Get(IDHeader); id != "" && id != hop.ID {
		return 0, "", ErrCrossed
	}
	return response.StatusCode, string(body), nil
}

// sendError distinguishes a connection that was never made from a request that may have arrived.
func sendError(err error) error {
	if fault.NotReached(err) {
		return &NotSentError{Err: err}
	}
	return fmt.Errorf("request.Run: %w", err)
}
