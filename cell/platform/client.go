package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"pollendock.example/cell/transfer"
)

type (
	// Client calls an HTTP service of the platform with JSON bodies.
	Client struct {
		base string
		http *http.Client
	}

	// LogClient implements Log over HTTP.
	LogClient struct{ *Client }

	// WorkerClient implements Worker over HTTP.
	WorkerClient struct{ *Client }

	// VMListClient implements VMList over HTTP.
	VMListClient struct{ *Client }

	// AppendRequest is the body of an append.
	AppendRequest struct {
		Records []json.RawMessage `json:"records"`
	}

	// AppendReply is the answer to an append.
	AppendReply struct {
		First int64 `json:"first"`
	}

	// ReadRequest is the body of a read.
	ReadRequest struct {
		From int64         `json:"from"`
		Wait time.Duration `json:"wait"`
	}

	// Empty is a body without fields.
	Empty struct{}
)

const (
	// CallMargin is how long nothing may arrive of a response, in addition to the time
	// that the call may wait at the service.
	CallMargin = time.Second

	dialTimeout  = 700 * time.Millisecond
	idleTimeout  = 30 * time.Second
	maxReplySize = 64 << 20
)

// NewClient returns a client with at most conns connections. A call that times out
// closes its connection, so that a dead connection is used at most once.
func NewClient(addr netip.AddrPort, conns int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + addr.String(), http: &http.Client{Transport: t}}
}

// Close closes the idle connections, which may be dead.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func (c *Client) call(ctx context.Context, path string, wait time.Duration, in, out any) error {
	ctx, cancel := transfer.WithTimeout(ctx, wait+CallMargin)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return Class.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Class.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		c.Close()
		return dialRefusal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeReply(resp, transfer.Reader(ctx, resp.Body), out)
}

// dialRefusal converts a failure to connect into a Refusal, since no request was
// sent. After any other failure it is unknown whether the request took effect.
func dialRefusal(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Refuse(Unreachable, "%v", err)
	}
	return Class.Wrap(err)
}

func decodeReply(resp *http.Response, body io.Reader, out any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxReplySize))
	if err != nil {
		return Class.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return Class.Wrap(json.Unmarshal(data, out))
	}
	var refusal Refusal
	if err := json.Unmarshal(data, &refusal); err == nil && refusal.Reason != "" {
		return &refusal
	}
	return Class.Wrap(fmt.Errorf("status %d", resp.StatusCode))
}

// Append implements Log.
func (c LogClient) Append(ctx context.Context, records []json.RawMessage) (int64, error) {
	var reply AppendReply
	err := c.call(ctx, "/log/append", 0, AppendRequest{Records: records}, &reply)
	return reply.First, err
}

// Read implements Log.
func (c LogClient) Read(ctx context.Context, from int64, wait time.Duration) (*LogPage, error) {
	page := &LogPage{}
	err := c.call(ctx, "/log/read", wait, ReadRequest{From: from, Wait: wait}, page)
	return page, err
}

// List implements VMList.
func (c VMListClient) List(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.call(ctx, "/vms/list", 0, Empty{}, &vms)
	return vms, err
}

// Claim implements Worker.
func (c WorkerClient) Claim(ctx context.Context, r *ClaimRequest) (*Claim, error) {
	claim := &Claim{}
	err := c.call(ctx, "/worker/claim", 0, r, claim)
	return claim, err
}

// Release implements Worker.
func (c WorkerClient) Release(ctx context.Context, r *ReleaseRequest) error {
	return c.call(ctx, "/worker/release", 0, r, &Empty{})
}

// Start implements Worker.
func (c WorkerClient) Start(ctx context.Context, r *StartRequest) (*TaskStatus, error) {
	status := &TaskStatus{}
	err := c.call(ctx, "/worker/start", r.Wait, r, status)
	return status, err
}

// Stop implements Worker.
func (c WorkerClient) Stop(ctx context.Context, r *StopRequest) (*TaskStatus, error) {
	status := &TaskStatus{}
	err := c.call(ctx, "/worker/stop", 0, r, status)
	return status, err
}

// Watch implements Worker.
func (c WorkerClient) Watch(ctx context.Context, r *WatchRequest) (*WatchReply, error) {
	reply := &WatchReply{}
	err := c.call(ctx, "/worker/watch", r.Wait, r, reply)
	return reply, err
}

// Forget implements Worker.
func (c WorkerClient) Forget(ctx context.Context, r *ForgetRequest) error {
	return c.call(ctx, "/worker/forget", 0, r, &Empty{})
}
