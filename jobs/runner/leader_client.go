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
	// maxAnswerBytes limits the size of an answer from a leader or an entry.
	maxAnswerBytes = 4 << 20
	// queryTimeout limits a query to an entry for the leader. queryInterval is the minimum time
	// between two rounds of queries.
	queryTimeout  = 500 * time.Millisecond
	queryInterval = 300 * time.Millisecond
	// entriesPerRound is the number of randomly drawn entries that are queried in a round. It is
	// small enough that all agents together do not flood the entries during an outage of the store,
	// and large enough that one of the entries most likely knows the leader.
	entriesPerRound = 3
)

// LeaderClient sends polls to the leader. It finds the leader in the directory, or by querying
// entries while the directory cannot be read. It implements Leader.
type LeaderClient struct {
	directory *directory.Directory
	client    *http.Client

	mu sync.Mutex
	// queriedAt is when the newest round of queries began.
	queriedAt time.Time
}

// NewLeaderClient returns a client that looks up the leader in the directory.
func NewLeaderClient(d *directory.Directory, client *http.Client) *LeaderClient {
	return &LeaderClient{directory: d, client: client}
}

// errNoLeader is returned while no leader is known.
var errNoLeader = errors.New("no leader is known")

// SupersededError is returned if the leader of a term accepts polls from a newer process of the
// agent.
type SupersededError struct{ Term int64 }

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("the leader of term %d accepts polls from a newer process of the agent", e.Term)
}

// isSuperseded reports whether err is a SupersededError.
func isSuperseded(err error) bool {
	var superseded *SupersededError
	return errors.As(err, &superseded)
}

// Poll implements Leader. If a poll fails, Poll queries entries for the leader, so that a later
// poll may find it. It does not do so if the answer came from the leader.
func (l *LeaderClient) Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error) {
	leader, changed := l.directory.Leader(), l.directory.Changed()
	if leader.Address == "" {
		l.queryEntries(ctx)
		return assignment.Answer{}, errNoLeader
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.cancelAfter(ctx, leader, changed, cancel)
	var answer assignment.Answer
	status, err := l.exchange(ctx, http.MethodPost, leader.Address, assignment.Path, p, &answer)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	switch {
	case err == nil:
		return answer, nil
	case !isSuperseded(err):
		l.queryEntries(ctx)
	}
	return answer, fault.New("runner.Poll", leader.Address, err)
}

// cancelAfter cancels a poll to a leader once the directory names another one.
func (l *LeaderClient) cancelAfter(
	ctx context.Context, polled directory.Leader, changed <-chan struct{}, cancel func(),
) {
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		changed = l.directory.Changed()
		if known := l.directory.Leader(); known.Term != polled.Term || known.Address != polled.Address {
			cancel()
			return
		}
	}
}

// queryEntries starts a round of queries to a few entries, unless one has started within
// queryInterval.
func (l *LeaderClient) queryEntries(ctx context.Context) {
	l.mu.Lock()
	early := time.Since(l.queriedAt) < queryInterval
	if !early {
		l.queriedAt = time.Now()
	}
	l.mu.Unlock()
	if early {
		return
	}
	for _, address := range sample.Draw(l.directory.Addresses(), entriesPerRound) {
		go l.queryEntry(context.WithoutCancel(ctx), address)
	}
}

// queryEntry asks an entry for the leader. An entry that does not know it or does not answer is
// ignored.
func (l *LeaderClient) queryEntry(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var r assignment.Redirect
	status, err := l.exchange(ctx, http.MethodGet, address, assignment.LeaderPath, nil, &r)
	if err == nil && status == http.StatusOK {
		l.directory.ObserveLeader(directory.Leader{Term: r.Term, Address: r.Address})
	}
}

// exchange sends a request and decodes the body of a successful response into out. A redirect
// updates the leader in the directory. The error is a SupersededError if the leader accepts polls
// from a newer process of the agent.
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
