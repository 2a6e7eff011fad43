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

	"yarrowgrade.example/yarrowgrade/assignment"
	"yarrowgrade.example/yarrowgrade/fault"
	"yarrowgrade.example/yarrowgrade/jobstore"
)

// Bounds of the exchange with a dispatcher.
const (
	maxAnswerBytes = 4 << 20
	// askTimeout bounds the question who the dispatcher is; askPause is the shortest time between two rounds of it.
	askTimeout = 500 * time.Millisecond
	askPause   = 300 * time.Millisecond
)

// Office finds the dispatcher in office and carries polls to it: by the directory in the log, by what entries say, and by
// their word when the directory can't be read. It implements Dispatcher.
type Office struct {
	directory *jobstore.Directory
	client    *http.Client

	mu    sync.Mutex
	asked time.Time
}

// NewOffice returns the way to the dispatcher.
func NewOffice(d *jobstore.Directory, client *http.Client) *Office {
	return &Office{directory: d, client: client}
}

// errNobody says that no dispatcher is known.
var errNobody = errors.New("no dispatcher is known")

// Poll implements Dispatcher.
func (o *Office) Poll(ctx context.Context, p assignment.Poll) (assignment.Answer, error) {
	office, changed := o.directory.Office(), o.directory.Changed()
	if office.Address == "" {
		o.ask(ctx)
		return assignment.Answer{}, errNobody
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// A poll that waits at a dispatcher that has been succeeded ends.
		select {
		case <-changed:
			if o.directory.Office().Term > office.Term {
				cancel()
			}
		case <-ctx.Done():
		}
	}()
	var answer assignment.Answer
	status, err := o.exchange(ctx, http.MethodPost, office.Address, assignment.Path, p, &answer)
	if err != nil {
		o.ask(ctx)
		return answer, fault.New("runner.Poll", office.Address, err)
	}
	if status != http.StatusOK {
		o.ask(ctx)
		return answer, fault.New("runner.Poll", office.Address, fmt.Errorf("status %d", status))
	}
	return answer, nil
}

// ask asks the entries who the dispatcher is, not too often.
func (o *Office) ask(ctx context.Context) {
	o.mu.Lock()
	early := time.Since(o.asked) < askPause
	if !early {
		o.asked = time.Now()
	}
	o.mu.Unlock()
	if early {
		return
	}
	for _, address := range o.directory.Entries() {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
			defer cancel()
			var r assignment.Redirect
			if status, err := o.exchange(ctx, http.MethodGet, address, assignment.OfficePath, nil, &r); err == nil && status == http.StatusOK {
				o.directory.Learn(jobstore.Office{Term: r.Term, Address: r.Address})
			}
		}()
	}
}

// exchange makes one exchange. A redirect is learnt from.
func (o *Office) exchange(ctx context.Context, method, address, path string, body, out any) (int, error) {
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
	response, err := o.client.Do(request)
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
			o.directory.Learn(jobstore.Office{Term: r.Term, Address: r.Address})
		}
		return response.StatusCode, nil
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(answer, out)
}
