// Package memnet is an in-memory HTTP network for tests. Clients and handlers are the real ones;
// only the connections between them are simulated, so it works under the paused clock of
// testing/synctest, where sockets don't.
//
// Links can be cut in one direction, and processes killed, frozen and thawed. Every message takes a
// millisecond each way. The package owns no goroutine beyond those of requests in flight.
//
// # Usage
//
//	network := memnet.New()
//	network.Attach("http://entry-1", handler)
//	client := network.Client("http://worker-1")      // requests come from worker-1
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

// networkDelay is how long a message takes in one direction.
const networkDelay = time.Millisecond

// link is one direction between two hosts.
type link struct{ from, to string }

// host is one process on the network.
type host struct {
	handler http.Handler
	// gone is closed when the process is killed.
	gone chan struct{}
	// thawed is closed while the process is not frozen.
	thawed chan struct{}
}

// Network carries HTTP between handlers in memory. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*host
	// replaced are the processes at whose address another one was attached while they lived. They
	// get no more requests, and go on with those that they have.
	replaced map[string][]*host
	cuts     map[link]bool
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		hosts:    make(map[string]*host),
		replaced: make(map[string][]*host),
		cuts:     make(map[link]bool),
	}
}

// Attach puts a process on the network under a base URL such as "http://entry-1".
func (n *Network) Attach(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if former, found := n.hosts[address]; found {
		n.replaced[address] = append(n.replaced[address], former)
	}
	thawed := make(chan struct{})
	close(thawed)
	n.hosts[address] = &host{handler: h, gone: make(chan struct{}), thawed: thawed}
}

// Kill removes a process from the network. Its open requests and answers are lost.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, found := n.hosts[address]; found {
		close(h.gone)
		delete(n.hosts, address)
	}
}

// Freeze holds all messages to and from a process; Thaw delivers them.
func (n *Network) Freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, found := n.hosts[address]; found && isClosed(h.thawed) {
		h.thawed = make(chan struct{})
	}
}

// Thaw ends a Freeze.
func (n *Network) Thaw(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thaw(address)
}

// thaw thaws the process at an address, and those that were replaced there. n.mu must be held.
func (n *Network) thaw(address string) {
	if h, found := n.hosts[address]; found {
		h.thaw()
	}
	for _, h := range n.replaced[address] {
		h.thaw()
	}
}

// thaw lets the process go on. The lock of the network must be held.
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

// Heal ends all cuts and thaws all processes.
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

// Client returns a client whose requests come from the process at the address.
func (n *Network) Client(from string) *http.Client {
	return &http.Client{Transport: &transport{network: n, from: from}}
}

type transport struct {
	network *Network
	from    string
}

// errReset means that the connection broke after the request may have arrived.
var errReset = errors.New("connection reset")

// errRefused means that no connection was made.
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

// awake waits until the process is thawed. It returns false if the process is killed or ctx ends
// first.
func (n *Network) awake(ctx context.Context, h *host) bool {
	n.mu.Lock()
	thawed := h.thawed
	n.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-h.gone:
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
	// A process frozen just before sending sends when it is thawed, even if its own deadline has
	// passed: the worst moment to be frozen.
	if sender != nil && !t.network.awake(context.WithoutCancel(ctx), sender) {
		return nil, errReset
	}
	if receiver == nil || t.network.isCut(t.from, to) {
		return nil, t.refuse(ctx, receiver == nil)
	}
	// The handler's context ends with the connection: when the response body is closed, or there is
	// no response.
	serving, closed := context.WithCancel(ctx)
	answers := make(chan *http.Response, 1)
	go t.deliver(r.Clone(serving), body, receiver, answers)
	select {
	case response := <-answers:
		if response == nil || t.network.isCut(to, t.from) {
			closed()
			return nil, t.lost(ctx)
		}
		response.Body = &connection{ReadCloser: response.Body, close: closed}
		go t.breakWith(serving, receiver, closed)
		return response, nil
	case <-receiver.gone:
		closed()
		return nil, errReset
	case <-ctx.Done():
		closed()
		return nil, ctx.Err()
	}
}

// breakWith closes the connection when the receiver is killed.
func (t *transport) breakWith(serving context.Context, receiver *host, closed func()) {
	select {
	case <-receiver.gone:
		closed()
	case <-serving.Done():
	}
}

// connection is a response body whose Close ends the exchange.
type connection struct {
	io.ReadCloser
	close func()
}

// Close implements io.Closer.
func (c *connection) Close() error {
	c.close()
	return c.ReadCloser.Close()
}

// dialTimeout is how long a connection attempt over a cut link takes to fail.
const dialTimeout = time.Second

// lostTimeout is how long a request waits for a response that was dropped, unless its caller gives
// up before.
const lostTimeout = 30 * time.Second

// refuse fails at once if nothing listens, and after the dial timeout if the link is cut.
func (t *transport) refuse(ctx context.Context, closed bool) error {
	if closed {
		wait(ctx, networkDelay)
		return errRefused
	}
	wait(ctx, dialTimeout)
	return errRefused
}

// lost waits until the caller gives up on a response that was dropped.
func (t *transport) lost(ctx context.Context) error {
	wait(ctx, lostTimeout)
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

// deliver runs the handler and sends its response on answers, or nil if the process was killed. The
// response is sent when the handler first flushes or returns; its body follows as it is written.
func (t *transport) deliver(r *http.Request, body []byte, receiver *host, answers chan<- *http.Response) {
	time.Sleep(networkDelay)
	if !t.network.awake(context.Background(), receiver) {
		answers <- nil
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
		answers:   answers,
	}
	stop := context.AfterFunc(r.Context(), func() { writer.CloseWithError(errReset) })
	defer stop()
	receiver.handler.ServeHTTP(w, r)
	w.Flush()
	writer.Close()
}

// streamWriter is the http.ResponseWriter of one exchange.
type streamWriter struct {
	transport *transport
	receiver  *host
	request   *http.Request
	header    http.Header
	status    int
	// pending was written and not flushed yet.
	pending bytes.Buffer
	reader  *io.PipeReader
	writer  *io.PipeWriter
	answers chan<- *http.Response
	sent    bool
}

// Header implements http.ResponseWriter.
func (w *streamWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *streamWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(p []byte) (int, error) { return w.pending.Write(p) }

// Flush implements http.Flusher. What is flushed over a cut link is dropped.
func (w *streamWriter) Flush() {
	time.Sleep(networkDelay)
	if !w.transport.network.awake(w.request.Context(), w.receiver) {
		w.writer.CloseWithError(errReset)
		w.answer(nil)
		return
	}
	to := w.request.URL.Scheme + "://" + w.request.URL.Host
	if w.sent && w.transport.network.isCut(to, w.transport.from) {
		w.pending.Reset()
		return
	}
	w.answer(&http.Response{StatusCode: w.status, Header: w.header, Body: w.reader, Request: w.request})
	_, _ = w.writer.Write(w.pending.Bytes())
	w.pending.Reset()
}

func (w *streamWriter) answer(response *http.Response) {
	if !w.sent {
		w.sent = true
		w.answers <- response
	}
}
