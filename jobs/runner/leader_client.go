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

// Bounds of the exchange with a leader.
const (
	maxAnswerBytes = 4 << 20
	// askTimeout bounds the question who the leader is; askPause is the shortest time between two rounds of it.
	askTimeout = 500 * time.Millisecond
	askPause   = 300 * time.Millisecond
	// askedAtOnce is how many entries are asked in a round, drawn anew each time. Where a third of them are gone or know nothing, 26 rounds of 27 find one that
	// knows, and the next round comes after askPause.
	askedAtOnce = 3
)

// LeaderClient finds the leader and carries polls to it: by the directory in the log, by what entries say, and by
// their word when the directory can't be read. It implements Leader.
type LeaderClient struct {
	directory *directory.Directory
	client    *http.Client

	mu    sync.Mutex
	asked time.Time
}

// NewLeaderClient returns the way to the leader.
func NewLeaderClient(d *directory.Directory, client *http.Client) *LeaderClient {
	return &LeaderClient{directory: d, client: client}
}

// errNobody says that no leader is known.
var errNobody = errors.New("no leader is known")

// Poll implements Leader.
func (l *LeaderClient) Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error) {
	leader, changed := l.directory.Leader(), l.directory.Changed()
	if leader.Address == "" {
		l.ask(ctx)
		return assignment.Answer{}, errNobody
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// A poll that waits at a leader that has been succeeded ends.
		select {
		case <-changed:
			if l.directory.Leader().Term > leader.Term {
				cancel()
			}
		case <-ctx.Done():
		}
	}()
	var answer assignment.Answer
	status, err := l.exchange(ctx, http.MethodPost, leader.Address, assignment.Path, p, &answer)
	if err != nil {
		l.ask(ctx)
		return answer, fault.New("runner.Poll", leader.Address, err)
	}
	if status != http.StatusOK {
		l.ask(ctx)
		return answer, fault.New("runner.Poll", leader.Address, fmt.Errorf("status %d", status))
	}
	return answer, nil
}

// ask asks a few entries who the leader is, not too often.
func (l *LeaderClient) ask(ctx context.Context) {
	l.mu.Lock()
	early := time.Since(l.asked) < askPause
	if !early {
		l.asked = time.Now()
	}
	l.mu.Unlock()
	if early {
		return
	}
	for _, address := range sample.Draw(l.directory.Addresses(), askedAtOnce) {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
			defer cancel()
			var r assignment.Redirect
			if status, err := l.exchange(ctx, http.MethodGet, address, assignment.LeaderPath, nil, &r); err == nil && status == http.StatusOK {
				l.directory.ObserveLeader(directory.Leader{Term: r.Term, Address: r.Address})
			}
		}()
	}
}

// exchange makes one exchange. A redirect is learnt from.
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
		return response.StatusCode, nil
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(answer, out)
}
