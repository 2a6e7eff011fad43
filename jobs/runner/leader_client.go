package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/sample"
	"yarrowgrade.example/yarrowgrade/jobs/assignment"
	"yarrowgrade.example/yarrowgrade/jobs/directory"
)

const (
	// maxAnswerBytes bounds an answer of a leader or an entry.
	maxAnswerBytes = 4 << 20
	// askTimeout bounds the question to an entry who the leader is; askPause is the shortest
	// time between two rounds.
	askTimeout = 500 * time.Millisecond
	askPause   = 300 * time.Millisecond
	// askedAtOnce is how many entries are asked in a round, drawn at random: so few that an
	// outage of the store doesn't let all agents flood all entries, and enough that one of them
	// most likely knows.
	askedAtOnce = 3
)

// LeaderClient carries polls to the leader. It finds the leader by the directory, and while
// that can't be read by what entries say. It implements Leader.
type LeaderClient struct {
	directory *directory.Directory
	client    *http.Client

	mu sync.Mutex
	// askedAt is when the newest round of questions began.
	askedAt time.Time
}

// NewLeaderClient returns a client that looks the leader up in the directory.
func NewLeaderClient(d *directory.Directory, client *http.Client) *LeaderClient {
	return &LeaderClient{directory: d, client: client}
}

// errNoLeader is returned while no leader is known.
var errNoLeader = errors.New("no leader is known")

// SupersededError is returned if the leader of a term hears a newer process of the agent.
type SupersededError struct{ Term int64 }

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("the leader of term %d hears a newer process of the agent", e.Term)
}

// isSuperseded reports whether err is a SupersededError.
func isSuperseded(err error) bool {
	var superseded *SupersededError
	return errors.As(err, &superseded)
}

// Poll implements Leader. A poll that failed asks entries who the leader is, so that a later
// one may find it, unless it was the leader that answered.
func (l *LeaderClient) Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error) {
	leader, changed := l.directory.Leader(), l.directory.Changed()
	if leader.Address == "" {
		l.ask(ctx)
		return assignment.Answer{}, errNoLeader
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.cancelAfter(ctx, leader.Term, changed, cancel)
	var answer assignment.Answer
	status, err := l.exchange(ctx, http.MethodPost, leader.Address, assignment.Path, p, &answer)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	switch {
	case err == nil:
		return answer, nil
	case !isSuperseded(err):
		l.ask(ctx)
	}
	return answer, fault.New("runner.Poll", leader.Address, err)
}

// cancelAfter cancels a poll at the leader of a term once the directory, which then has
// changed, names a later one.
func (l *LeaderClient) cancelAfter(ctx context.Context, term int64, changed <-chan struct{}, cancel func()) {
	select {
	case <-changed:
		if l.directory.Leader().Term > term {
			cancel()
		}
	case <-ctx.Done():
	}
}

// ask begins a round of questions to a few entries, unless one has begun within askPause.
func (l *LeaderClient) ask(ctx context.Context) {
	l.mu.Lock()
	early := time.Since(l.askedAt) < askPause
	if !early {
		l.askedAt = time.Now()
	}
	l.mu.Unlock()
	if early {
		return
	}
	for _, address := range sample.Draw(l.directory.Addresses(), askedAtOnce) {
		go l.askEntry(context.WithoutCancel(ctx), address)
	}
}

// askEntry asks an entry who the leader is. One that doesn't know or doesn't answer is passed
// over.
func (l *LeaderClient) askEntry(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var r assignment.Redirect
	status, err := l.exchange(ctx, http.MethodGet, address, assignment.LeaderPath, nil, &r)
	if err == nil && status == http.StatusOK {
		l.directory.ObserveLeader(directory.Leader{Term: r.Term, Address: r.Address})
	}
}

// exchange makes one exchange, and decodes the body of a success into out. From a redirect it
// learns the leader; its error is a SupersededError if the leader hears a newer process.
func (l *LeaderClient) exchange(ctx context.Context, method, address, path string, body, out any) (int, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, err
	}
	if response.StatusCode == http.StatusConflict {
		var r assignment.Redirect
		if json.Unmarshal(answer, &r) == nil {
			l.directory.ObserveLeader(directory.Leader{Term: r.Term, Address: r.Address})
		}
		if r.Superseded {
			return response.StatusCode, &SupersededError{Term: r.Term}
		}
		return response.StatusCode, nil
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(answer, out)
}
