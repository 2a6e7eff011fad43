package standin

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

// networkDelay is the time that a message takes one way.
const networkDelay = time.Millisecond

// link is one direction between two hosts.
type link struct{ from, to string }

// host is one process on the network.
type host struct {
	handler http.Handler
	// gone is closed when the process is killed.
	gone chan struct{}
	// thawed is closed when the process is not frozen.
	thawed chan struct{}
}

// Network carries HTTP between handlers in memory. Links can be cut one way, and processes killed and frozen.
// It is an http.RoundTripper for each host, so that the real clients and handlers are used, and it works on a paused
// clock where sockets do not.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*host
	cuts  map[link]bool
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{hosts: make(map[string]*host), cuts: make(map[link]bool)}
}

// Attach puts a process on the network under a base URL such as "http://entry-1".
func (n *Network) Attach(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	thawed := make(chan struct{})
	close(thawed)
	n.hosts[address] = &host{handler: h, gone: make(chan struct{}), thawed: thawed}
}

// Kill takes a process off the network. What it was answering is lost, and so is what it was asking.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, found := n.hosts[address]; found {
		close(h.gone)
		delete(n.hosts, address)
	}
}

// Freeze stops all messages to and from a process until Thaw. They are delivered then.
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
	if h, found := n.hosts[address]; found && !isClosed(h.thawed) {
		close(h.thawed)
	}
}

// Cut loses all messages in one direction, or carries them again.
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
	for _, h := range n.hosts {
		if !isClosed(h.thawed) {
			close(h.thawed)
		}
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

// errReset says that a connection broke after the request may have arrived.
var errReset = errors.New("connection reset")

// errRefused says that the connection was never made.
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

// awake waits until the process is not frozen. It reports false if the process is killed or ctx ends first.
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
	// A frozen process that was about to send does so when it wakes, whatever its timers say: this is the worst place
	// to be frozen.
	if sender != nil && !t.network.awake(context.WithoutCancel(ctx), sender) {
		return nil, errReset
	}
	if receiver == nil || t.network.isCut(t.from, to) {
		return nil, t.refuse(ctx, receiver == nil)
	}
	// The handler's context ends with the connection: when the answer's body is closed, or there is no answer.
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

// breakWith ends the connection when the receiver is killed.
func (t *transport) breakWith(serving context.Context, receiver *host, closed func()) {
	select {
	case <-receiver.gone:
		closed()
	case <-serving.Done():
	}
}

// connection is the body of an answer whose end ends the exchange.
type connection struct {
	io.ReadCloser
	close func()
}

// Close implements io.Closer.
func (c *connection) Close() error {
	c.close()
	return c.ReadCloser.Close()
}

// refuse fails at once where nothing listens, and after the dial timeout where the link is cut.
func (t *transport) refuse(ctx context.Context, closed bool) error {
	if closed {
		wait(ctx, networkDelay)
		return errRefused
	}
	wait(ctx, time.Second)
	return errRefused
}

// lost waits for the caller to give up on an answer that will not come.
func (t *transport) lost(ctx context.Context) error {
	wait(ctx, 30*time.Second)
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

// deliver runs the handler and hands over its answer, or nil if the process was killed meanwhile. The answer is handed
// over when the handler flushes or ends, and its body as it is written.
func (t *transport) deliver(r *http.Request, body []byte, receiver *host, answers chan<- *http.Response) {
	time.Sleep(networkDelay)
	if !t.network.awake(context.Background(), receiver) {
		answers <- nil
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.RequestURI = r.URL.RequestURI()
	reader, writer := io.Pipe()
	w := &streamWriter{transport: t, receiver: receiver, request: r, header: make(http.Header), status: http.StatusOK, reader: reader, writer: writer, answers: answers}
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
	// pending is what has been written and not flushed.
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

// Flush implements http.Flusher. What is flushed over a cut link is lost.
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
