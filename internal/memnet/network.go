// Package memnet is an in-memory HTTP network for tests. The clients and handlers are real; only
// the connections between them are simulated. It therefore works with the fake clock of
// testing/synctest, which sockets do not support.
//
// Links can be cut in one direction, and processes can be killed, frozen and thawed. Each message
// takes one millisecond in each direction. The package starts goroutines only for requests in
// flight.
//
// # Usage
//
//	network := memnet.New()
//	network.Attach("http://entry-1", handler)
//	client := network.Client("http://worker-1")      // sends requests as worker-1
//	network.Cut("http://worker-1", "http://entry-1", true)
package memnet

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// networkDelay is the latency of a message in one direction.
const networkDelay = time.Millisecond

// link is one direction of the connection between two hosts.
type link struct{ from, to string }

// host is one process on the network.
type host struct {
	handler http.Handler
	// killed is closed when the process is killed.
	killed chan struct{}
	// thawed is closed while the process is not frozen.
	thawed chan struct{}
}

// Network carries HTTP between handlers in memory. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// replaced holds, by address, the processes whose address was taken over by another process
	// while they were running. They receive no new requests, but continue to serve those in
	// progress.
	replaced map[string][]*host
	cuts     map[link]bool
}

// New returns an empty network.
func New() *Network {
	return &Network{
		hosts:    make(map[string]*host),
		replaced: make(map[string][]*host),
		cuts:     make(map[link]bool),
	}
}

// Attach adds a process to the network at a base URL such as "http://entry-1". It replaces the
// process that is attached there.
func (n *Network) Attach(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if former, found := n.hosts[address]; found {
		n.replaced[address] = append(n.replaced[address], former)
	}
	thawed := make(chan struct{})
	close(thawed)
	n.hosts[address] = &host{handler: h, killed: make(chan struct{}), thawed: thawed}
}

// Kill removes a process from the network. Its requests and responses in flight are lost.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, found := n.hosts[address]; found {
		close(h.killed)
		delete(n.hosts, address)
	}
}

// Freeze holds back all messages to and from a process until Thaw delivers them.
func (n *Network) Freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, found := n.hosts[address]; found && isClosed(h.thawed) {
		h.thawed = make(chan struct{})
	}
}

// Thaw ends a Freeze, also for processes that were replaced at the address.
func (n *Network) Thaw(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thaw(address)
}

// thaw thaws the process at an address and those that it replaced. n.mu must be held.
func (n *Network) thaw(address string) {
	if h, found := n.hosts[address]; found {
		h.thaw()
	}
	for _, h := range n.replaced[address] {
		h.thaw()
	}
}

// thaw resumes the process. The lock of the network must be held.
func (h *host) thaw() {
	if !isClosed(h.thawed) {
		close(h.thawed)
	}
}

// Cut drops all messages in one direction while cut is true.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[link{from, to}] = true
		return
	}
	delete(n.cuts, link{from, to})
}

// Heal restores all links and thaws all processes.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = make(map[link]bool)
	for address := range n.hosts {
		n.thaw(address)
	}
	for address := range n.replaced {
		n.thaw(address)
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Client returns a client that sends requests as the process at the address from.
func (n *Network) Client(from string) *http.Client {
	return &http.Client{Transport: &transport{network: n, from: from}}
}

type transport struct {
	network *Network
	from    string
}

// errReset means that the connection broke when the request may already have been received.
var errReset = errors.New("connection reset")

// errRefused means that no connection was established.
var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

func (n *Network) host(address string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[link{from, to}]
}

// waitThawed waits until the process is not frozen. It returns false if the process is killed or
// ctx ends first.
func (n *Network) waitThawed(ctx context.Context, h *host) bool {
	n.mu.Lock()
	thawed := h.thawed
	n.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-h.killed:
		return false
	case <-ctx.Done():
		return false
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	to := r.URL.Scheme + "://" + r.URL.Host
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	sender, receiver := t.network.host(t.from), t.network.host(to)
	// A process that is frozen just before it sends a request sends it when it is thawed, even if
	// the request's deadline has passed by then. This is the worst moment for a freeze.
	if sender != nil && !t.network.waitThawed(context.WithoutCancel(ctx), sender) {
		return nil, errReset
	}
	if receiver == nil || t.network.isCut(t.from, to) {
		return nil, t.dialError(ctx, receiver == nil)
	}
	// The handler's context ends with the connection, that is, when the response body is closed or
	// there is no response.
	handlerCtx, closed := context.WithCancel(ctx)
	responses := make(chan *http.Response, 1)
	go t.deliver(r.Clone(handlerCtx), body, receiver, responses)
	select {
	case response := <-responses:
		if response == nil || t.network.isCut(to, t.from) {
			closed()
			return nil, t.waitForTimeout(ctx)
		}
		response.Body = &connection{ReadCloser: response.Body, close: closed}
		go t.closeOnKill(handlerCtx, receiver, closed)
		return response, nil
	case <-receiver.killed:
		closed()
		return nil, errReset
	case <-ctx.Done():
		closed()
		return nil, ctx.Err()
	}
}

// closeOnKill closes the connection if the receiver is killed.
func (t *transport) closeOnKill(handlerCtx context.Context, receiver *host, closed func()) {
	select {
	case <-receiver.killed:
		closed()
	case <-handlerCtx.Done():
	}
}

// connection is a response body whose Close closes the connection.
type connection struct {
	io.ReadCloser
	close func()
}

// Close implements io.Closer.
func (c *connection) Close() error {
	c.close()
	return c.ReadCloser.Close()
}

// dialTimeout is the time after which a connection attempt over a cut link fails.
const dialTimeout = time.Second

// responseTimeout is the time after which a request fails if its response was dropped, unless the
// caller cancels it earlier.
const responseTimeout = 30 * time.Second

// dialError returns the error of a failed connection attempt. It returns after the network delay if
// nothing listens at the address, and after dialTimeout if the link is cut.
func (t *transport) dialError(ctx context.Context, closed bool) error {
	if closed {
		wait(ctx, networkDelay)
		return errRefused
	}
	wait(ctx, dialTimeout)
	return errRefused
}

// waitForTimeout waits until a request whose response was dropped times out or is cancelled.
func (t *transport) waitForTimeout(ctx context.Context) error {
	wait(ctx, responseTimeout)
	return errReset
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deliver runs the handler and sends its response on responses, or nil if the process was killed.
// The response is sent when the handler flushes for the first time or returns. Its body is
// streamed.
func (t *transport) deliver(r *http.Request, body []byte, receiver *host, responses chan<- *http.Response) {
	time.Sleep(networkDelay)
	if !t.network.waitThawed(context.Background(), receiver) {
		responses <- nil
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.RequestURI = r.URL.RequestURI()
	reader, writer := io.Pipe()
	w := &streamWriter{
		transport: t,
		receiver:  receiver,
		request:   r,
		header:    make(http.Header),
		status:    http.StatusOK,
		reader:    reader,
		writer:    writer,
		responses: responses,
	}
	stop := context.AfterFunc(r.Context(), func() { writer.CloseWithError(errReset) })
	defer stop()
	receiver.handler.ServeHTTP(w, r)
	w.Flush()
	writer.Close()
}

// streamWriter is the http.ResponseWriter of one request.
type streamWriter struct {
	transport *transport
	receiver  *host
	request   *http.Request
	header    http.Header
	status    int
	// pending holds data that has not been flushed yet.
	pending   bytes.Buffer
	reader    *io.PipeReader
	writer    *io.PipeWriter
	responses chan<- *http.Response
	sent      bool
}

// Header implements http.ResponseWriter.
func (w *streamWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *streamWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(p []byte) (int, error) { return w.pending.Write(p) }

// Flush implements http.Flusher. Data that is flushed over a cut link is dropped.
func (w *streamWriter) Flush() {
	time.Sleep(networkDelay)
	if !w.transport.network.waitThawed(w.request.Context(), w.receiver) {
		w.writer.CloseWithError(errReset)
		w.respond(nil)
		return
	}
	to := w.request.URL.Scheme + "://" + w.request.URL.Host
	if w.sent && w.transport.network.isCut(to, w.transport.from) {
		w.pending.Reset()
		return
	}
	w.respond(&http.Response{StatusCode: w.status, Header: w.header, Body: w.reader, Request: w.request})
	_, _ = w.writer.Write(w.pending.Bytes())
	w.pending.Reset()
}

func (w *streamWriter) respond(response *http.Response) {
	if !w.sent {
		w.sent = true
		w.responses <- response
	}
}
