package hosting

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
)

// Client is a Platform that is accessed over HTTP with JSON.
type Client struct {
	address string
	client  *http.Client
}

// NewClient returns a Client for the platform at the base URL address, such as
// "http://127.0.0.1:7400".
func NewClient(address string, client *http.Client) *Client {
	return &Client{address: address, client: client}
}

// AppendAnswer is the response body of an append.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// CheckpointAnswer is the response body of a checkpoint.
type CheckpointAnswer struct {
	Progress time.Duration `json:"progress_ns"`
}

// wireErrors are the errors that the client recognizes by their text in a response.
var wireErrors = []error{ErrRecordsExpired, ErrFenced, ErrNoTask, ErrWorkerGone, ErrAcceleratorBusy}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var answer AppendAnswer
	err := c.call(ctx, "platform.Append", http.MethodPost, "/log/"+url.PathEscape(stream), data, &answer)
	return answer.Offset, err
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, offset int64, limit int, wait time.Duration) (Batch, error) {
	query := url.Values{}
	query.Set("offset", strconv.FormatInt(offset, 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var batch Batch
	err := c.call(ctx, "platform.Read", http.MethodGet, "/log/"+url.PathEscape(stream)+"?"+query.Encode(), nil, &batch)
	return batch, err
}

// Boxes implements Boxes.
func (c *Client) Boxes(ctx context.Context) ([]Box, error) {
	var boxes []Box
	err := c.call(ctx, "hosting.Boxes", http.MethodGet, "/boxes", nil, &boxes)
	return boxes, err
}

// StartTask implements Workers.
func (c *Client) StartTask(ctx context.Context, spec TaskSpec) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return fault.New("platform.StartTask", c.address, err)
	}
	return c.call(ctx, "platform.StartTask", http.MethodPost, "/workers/"+url.PathEscape(spec.Worker)+"/tasks", data, nil)
}

// RenewTask implements Workers.
func (c *Client) RenewTask(ctx context.Context, worker string, token int64, lease time.Duration) error {
	path := taskPath(worker, token) + "/renew?lease_ms=" + strconv.FormatInt(lease.Milliseconds(), 10)
	return c.call(ctx, "platform.RenewTask", http.MethodPost, path, nil, nil)
}

// CheckpointTask implements Workers.
func (c *Client) CheckpointTask(ctx context.Context, worker string, token int64) (time.Duration, error) {
	var answer CheckpointAnswer
	err := c.call(ctx, "platform.CheckpointTask", http.MethodPost, taskPath(worker, token)+"/checkpoint", nil, &answer)
	return answer.Progress, err
}

// StopTask implements Workers.
func (c *Client) StopTask(ctx context.Context, worker string, token int64) error {
	return c.call(ctx, "platform.StopTask", http.MethodDelete, taskPath(worker, token), nil, nil)
}

// Tasks implements Workers.
func (c *Client) Tasks(ctx context.Context, worker string) ([]Task, error) {
	var tasks []Task
	err := c.call(ctx, "hosting.Tasks", http.MethodGet, "/workers/"+url.PathEscape(worker)+"/tasks", nil, &tasks)
	return tasks, err
}

// GoneWorkers implements Workers.
func (c *Client) GoneWorkers(ctx context.Context) ([]string, error) {
	var names []string
	err := c.call(ctx, "platform.GoneWorkers", http.MethodGet, "/gone", nil, &names)
	return names, err
}

func taskPath(worker string, token int64) string {
	return "/workers/" + url.PathEscape(worker) + "/tasks/" + strconv.FormatInt(token, 10)
}

func (c *Client) call(ctx context.Context, step, method, path string, body []byte, out any) error {
	err := jsonhttp.Call(ctx, c.client, step, method, c.address, path, body, out)
	var status *jsonhttp.StatusError
	if !errors.As(err, &status) {
		return err
	}
	for _, wireError := range wireErrors {
		if status.Message == wireError.Error() {
			return fault.New(step, c.address, wireError)
		}
	}
	return err
}
