package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"pollendock.example/cell/code"
)

type (
	// Client sends requests to an entry VM or to a load balancer.
	Client struct {
		base string
		key  string
		http *http.Client
	}
)

const (
	maxAnswerBytes = 32 << 20
)

var (
	// Class wraps the errors of this package.
	Class = errs.Class("api")
)

// NewClient returns a client for the base URL that authenticates with key.
func NewClient(base, key string, hc *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: hc}
}

// Do sends a request and decodes the answer into out. The body is in as JSON;
// there is none if in is nil. An error means that no complete answer arrived.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return Class.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return Class.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Class.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Class.Wrap(err)
	}
	return Class.Wrap(json.Unmarshal(data, out))
}

// Submit submits work and verifies the integrity of the answer.
func (c *Client) Submit(ctx context.Context, r *SubmitRequest) (*Answer, error) {
	a := &Answer{}
	if err := c.Do(ctx, http.MethodPost, "/v1/work", r, a); err != nil {
		return nil, err
	}
	return a, a.Check()
}

// Status returns the status of durable work. It waits up to wait for the work to
// end.
func (c *Client) Status(ctx context.Context, job string, wait time.Duration) (*Answer, error) {
	a := &Answer{}
	path := fmt.Sprintf("/v1/jobs/%s?waitMs=%d", job, wait.Milliseconds())
	if err := c.Do(ctx, http.MethodGet, path, nil, a); err != nil {
		return nil, err
	}
	return a, a.Check()
}

// Cancel cancels durable work.
func (c *Client) Cancel(ctx context.Context, job string) (*Answer, error) {
	a := &Answer{}
	err := c.Do(ctx, http.MethodDelete, "/v1/jobs/"+job, nil, a)
	return a, err
}

// Patch submits a configuration patch.
func (c *Client) Patch(ctx context.Context, r *PatchRequest) (*PatchAnswer, error) {
	a := &PatchAnswer{}
	err := c.Do(ctx, http.MethodPost, "/v1/config", r, a)
	return a, err
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (*ConfigAnswer, error) {
	a := &ConfigAnswer{}
	err := c.Do(ctx, http.MethodGet, "/v1/config", nil, a)
	return a, err
}

// Check returns an error unless every result in the answer is complete and matches
// its digest.
func (a *Answer) Check() error {
	if a.Code == 0 {
		return Class.New("the answer has no code")
	}
	if err := checkData(a.Data, a.Length, a.Digest); err != nil {
		return err
	}
	for _, t := range a.Tasks {
		if err := checkData(t.Data, t.Length, t.Digest); err != nil {
			return err
		}
	}
	return nil
}

func checkData(data string, length int, digest string) error {
	if len(data) != length {
		return Class.New("the result has %d of %d bytes", len(data), length)
	}
	if digest != "" && Digest(data) != digest {
		return Class.New("the result does not match its digest")
	}
	return nil
}

// Error returns the answer as an error, or nil for codes below 2000.
func (a *Answer) Error() error {
	if a.Code < code.BadRequest {
		return nil
	}
	return code.New(a.Code, "%s", a.Detail)
}
