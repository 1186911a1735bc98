package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

type (
	// caller hands one job in and asks for it until it has ended.
	caller struct {
		id         string
		steps      []stepBody
		takes      time.Duration
		failsFirst bool

		mu sync.Mutex
		// accepted is when the first 2xx came; zero before.
		accepted time.Time
		// sent counts the tries, refused those that were told "not run".
		sent, refused int
		state         string
	}

	// jobBody and stepBody are what callers send.
	jobBody struct {
		Spec  string     `json:"spec"`
		Steps []stepBody `json:"steps"`
	}

	stepBody struct {
		Count       int   `json:"count"`
		CPU         int64 `json:"cpu"`
		MemMB       int64 `json:"mem-mb"`
		EstimatedMs int64 `json:"estimated-ms"`
		Gang        bool  `json:"gang,omitempty"`
		After       []int `json:"after,omitempty"`
	}

	// breach is something that must not have happened.
	breach string
)

const (
	callTimeout = 3 * time.Second
	tries       = 6
	tryGap      = 400 * time.Millisecond
	askGap      = 500 * time.Millisecond
	// knownAfter is how long after its accept a job may be unknown at a VM.
	knownAfter = 3 * time.Second

	completed = "completed"
	failed    = "failed"
	cancelled = "cancelled"
)

func newCaller(id string, r *rand.Rand) *caller {
	j := &caller{id: id, takes: time.Duration(200+r.IntN(2000)) * time.Millisecond, failsFirst: r.IntN(8) == 0}
	step := func(count int, cores int64, gang bool) stepBody {
		return stepBody{Count: count, CPU: cores * 1000, MemMB: 500, EstimatedMs: j.takes.Milliseconds(), Gang: gang}
	}
	switch r.IntN(4) {
	case 0:
		j.steps = []stepBody{step(1+r.IntN(4), 2, false)}
	case 1:
		j.steps = []stepBody{step(2+r.IntN(3), 5, true)}
	case 2:
		j.steps = []stepBody{step(2, 3, false), step(2, 6, true)}
		j.steps[1].After = []int{0}
	default:
		j.steps = []stepBody{step(1, 1, false)}
	}
	return j
}

// run hands the job in and follows it. Each try goes to any entry VM.
func (j *caller) run(ctx context.Context, c *cell, seed uint64, report func(breach)) {
	r := rand.New(rand.NewPCG(seed, 7))
	client := &http.Client{Timeout: callTimeout}
	for range tries {
		if ctx.Err() != nil {
			return
		}
		j.submit(ctx, c, client, r)
		if !j.acceptedAt().IsZero() {
			break
		}
		time.Sleep(tryGap)
	}
	for ctx.Err() == nil && !j.acceptedAt().IsZero() && !j.ended() {
		time.Sleep(askGap)
		j.ask(ctx, c, client, r, report)
	}
}

func (j *caller) call(ctx context.Context, c *cell, client *http.Client, r *rand.Rand, method string, body []byte) (int, []byte, error) {
	e := c.entries[r.IntN(len(c.entries))]
	url := fmt.Sprintf("http://%s:%d%s%s", e.ip, frontPort, queuePath, j.id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Api-Key", teamKey)
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, data, err
}

func (j *caller) submit(ctx context.Context, c *cell, client *http.Client, r *rand.Rand) {
	status, _, err := j.call(ctx, c, client, r, http.MethodPost, encode(&jobBody{Spec: j.id, Steps: j.steps}))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent++
	switch {
	case err != nil:
	case status == http.StatusOK && j.accepted.IsZero():
		j.accepted = time.Now()
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		j.refused++
	}
}

func (j *caller) ask(ctx context.Context, c *cell, client *http.Client, r *rand.Rand, report func(breach)) {
	sentAt := time.Now()
	status, data, err := j.call(ctx, c, client, r, http.MethodGet, nil)
	if err != nil {
		return
	}
	if status == http.StatusGone && sentAt.Sub(j.acceptedAt()) > knownAfter {
		report(breach(fmt.Sprintf("job %s, accepted %v ago, is not known", j.id, sentAt.Sub(j.acceptedAt()))))
	}
	if status != http.StatusOK {
		return
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		report(breach(fmt.Sprintf("state of job %s cannot be read: %q", j.id, data)))
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.state = answer.State
	if answer.State == failed || answer.State == cancelled {
		report(breach(fmt.Sprintf("job %s is shown as %s without a cause", j.id, answer.State)))
	}
}

func (j *caller) acceptedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

func (j *caller) ended() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state == completed
}
