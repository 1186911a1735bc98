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

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// jobClient submits one job and polls its state until it has completed.
	jobClient struct {
		id           string
		steps        []stepBody
		runTime      time.Duration
		failFirstRun bool
		// poison is set if the first task crashes its workers.
		poison bool
		// lasting is set if the tasks run until the job is cancelled.
		lasting bool
		// cancelAfter is the time after which the client cancels the job, 0 for never.
		cancelAfter time.Duration
		// key is that of the job's team.
		key string
		// queue is the job's queue in a soak of a site, otherwise nil.
		queue *queueModel

		mu sync.Mutex
		// accepted is the time of the first 200 response; zero before it.
		accepted time.Time
		// attempts counts the attempts to submit the job, rejected those whose
		// response says that it will not run.
		attempts, rejected int
		state              string
		// completedAt is when the job was first shown as completed, cancelledAt when its
		// cancelling was acknowledged.
		completedAt, cancelledAt time.Time
	}

	// jobBody and stepBody are the request body of a submission.
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
		LongRunning bool  `json:"long-running,omitempty"`
		After       []int `json:"after,omitempty"`
	}

	// violation describes something that must never happen.
	violation string
)

const (
	// poisonTime is how long a worker lives after it has started a poison task.
	poisonTime   = 20 * time.Millisecond
	callTimeout  = 3 * time.Second
	maxAttempts  = 6
	retryDelay   = 400 * time.Millisecond
	pollInterval = 500 * time.Millisecond
	// maxPropagationDelay is how long after its acceptance a job may still be
	// unknown at an entry VM.
	maxPropagationDelay = 3 * time.Second

	// Of jobKinds jobs, longJobs run for minLongRun to maxLongRun, lastingJobs until they are
	// cancelled, cancelledJobs are cancelled, and limitedJobs are of a team with a limit.
	jobKinds      = 30
	longJobs      = 6
	lastingJobs   = 2
	cancelledJobs = 4
	limitedJobs   = 6
	minLongRun    = 4 * time.Second
	maxLongRun    = 16 * time.Second
	lastingRun    = 30 * time.Minute
	// longJobCPU is a task's size in thousandths of a core.
	longJobCPU = 500
	// cancelShare is the divisor of a long run's time after which other jobs are cancelled.
	cancelShare = 8

	completed = "completed"
	failed    = "failed"
	cancelled = "cancelled"
)

// size returns the resources of a task.
func (b *stepBody) size() resource.Vector {
	return resource.Vector{MilliCPU: b.CPU, MemoryMB: b.MemMB}
}

func newJobClient(id string, r *rand.Rand) *jobClient {
	j := &jobClient{id: id, runTime: time.Duration(200+r.IntN(2000)) * time.Millisecond, failFirstRun: r.IntN(8) == 0, poison: r.IntN(60) == 0, key: teamKey}
	step := func(count int, cores int64, gang bool) stepBody {
		return stepBody{Count: count, CPU: cores * 1000, MemMB: 500, EstimatedMs: j.runTime.Milliseconds(), Gang: gang}
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

// vary makes a job of another kind of some jobs.
func (j *jobClient) vary(r *rand.Rand) {
	kind := r.IntN(jobKinds)
	length := minLongRun + time.Duration(r.Int64N(int64(maxLongRun-minLongRun)))
	if j.poison {
		return
	}
	switch {
	case kind < longJobs:
		j.makeSmall(length)
	case kind < longJobs+lastingJobs:
		j.makeSmall(lastingRun)
		j.lasting = true
		j.steps[0].Gang = false
		j.steps[0].LongRunning = true
		if r.IntN(2) == 0 {
			j.cancelAfter = length
		}
	case kind < longJobs+lastingJobs+cancelledJobs:
		j.cancelAfter = length / cancelShare
	case kind < longJobs+lastingJobs+cancelledJobs+limitedJobs:
		j.key = limitedKey
	}
}

// makeSmall leaves one small step of tasks that take so long.
func (j *jobClient) makeSmall(length time.Duration) {
	j.runTime = length
	j.failFirstRun = false
	j.steps = j.steps[:1]
	j.steps[0].CPU = longJobCPU
	j.steps[0].EstimatedMs = length.Milliseconds()
}

// run submits the job and polls its state. Each request goes to a random entry
// VM.
func (j *jobClient) run(ctx context.Context, c *cell, seed uint64, report func(violation)) {
	r := rand.New(rand.NewPCG(seed, 7))
	client := &http.Client{Timeout: callTimeout}
	for range maxAttempts {
		if ctx.Err() != nil {
			return
		}
		j.submit(ctx, c, client, r)
		if !j.acceptedAt().IsZero() {
			break
		}
		time.Sleep(retryDelay)
	}
	for ctx.Err() == nil && !j.acceptedAt().IsZero() && !j.hasEnded() {
		time.Sleep(j.pollInterval())
		if j.mayBeCancelled() {
			j.cancel(ctx, c, client, r)
			continue
		}
		j.poll(ctx, c, client, r, report)
	}
}

func (j *jobClient) pollInterval() time.Duration {
	if j.queue != nil {
		return sitePollInterval
	}
	return pollInterval
}

func (j *jobClient) sendRequest(ctx context.Context, c *cell, client *http.Client, r *rand.Rand, method string, body []byte) (int, []byte, error) {
	e := c.entries[r.IntN(len(c.entries))]
	path := queuePath
	if j.queue != nil {
		path = j.queue.PathPrefix
	}
	url := fmt.Sprintf("http://%s:%d%s%s", e.ip, frontendPort, path, j.id)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = queueHost
	request.Header.Set("Api-Key", j.key)
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, data, err
}

func (j *jobClient) submit(ctx context.Context, c *cell, client *http.Client, r *rand.Rand) {
	status, _, err := j.sendRequest(ctx, c, client, r, http.MethodPost, mustMarshal(&jobBody{Spec: j.id, Steps: j.steps}))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts++
	switch {
	case err != nil:
	case status == http.StatusOK && j.accepted.IsZero():
		j.accepted = time.Now()
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		j.rejected++
	}
}

func (j *jobClient) cancel(ctx context.Context, c *cell, client *http.Client, r *rand.Rand) {
	status, _, err := j.sendRequest(ctx, c, client, r, http.MethodDelete, nil)
	if err != nil || status/100 != 2 && status != http.StatusGone {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelledAt = time.Now()
}

func (j *jobClient) poll(ctx context.Context, c *cell, client *http.Client, r *rand.Rand, report func(violation)) {
	sentAt := time.Now()
	status, data, err := j.sendRequest(ctx, c, client, r, http.MethodGet, nil)
	if err != nil {
		return
	}
	for _, v := range j.judgeAnswer(status, data, sentAt) {
		report(v)
	}
}

// judgeAnswer notes the state in the answer to a request for a job that its client has not cancelled,
// and returns what is wrong with the answer.
func (j *jobClient) judgeAnswer(status int, data []byte, sentAt time.Time) []violation {
	if late := sentAt.Sub(j.acceptedAt()); status == http.StatusGone && late > maxPropagationDelay {
		return []violation{violation(fmt.Sprintf("LOST: job %s is unknown %v after it was accepted", j.id, late))}
	}
	if status != http.StatusOK {
		return nil
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return []violation{violation(fmt.Sprintf("cannot decode state of job %s: %q", j.id, data))}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.state != completed {
		j.state = answer.State
	}
	if j.state == completed && j.completedAt.IsZero() {
		j.completedAt = time.Now()
	}
	if answer.State == cancelled && j.cancelAfter == 0 || answer.State == failed && !j.poison || answer.State == completed && j.poison {
		return []violation{violation(fmt.Sprintf("LOST: job %s is reported as %s without a cause", j.id, answer.State))}
	}
	return nil
}

// shownState returns the state that entry VMs have shown last.
func (j *jobClient) shownState() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state
}

// queueName returns the name of the job's queue.
func (j *jobClient) queueName() string {
	if j.queue == nil {
		return plainQueue
	}
	return j.queue.Name
}

// queueNote names the job's queue at a site.
func (j *jobClient) queueNote() string {
	if j.queue == nil {
		return ""
	}
	return fmt.Sprintf(" (queue %s)", j.queue.Name)
}

func (j *jobClient) acceptedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

// mayBeCancelled reports whether the client has begun to cancel the job.
func (j *jobClient) mayBeCancelled() bool {
	return j.cancelAfter > 0 && time.Since(j.acceptedAt()) > j.cancelAfter
}

// lasts reports whether all tasks of a job that lasts are among those that run.
func (j *jobClient) lasts(running []site.TaskID) bool {
	if !j.lasting {
		return false
	}
	tasks := map[site.TaskID]bool{}
	for _, t := range running {
		if t.Job == j.id {
			tasks[t] = true
		}
	}
	return len(tasks) == j.steps[0].Count
}

// hasEnded reports whether the job has ended as it should: a poison one has failed.
func (j *jobClient) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.cancelledAt.IsZero() {
		return true
	}
	if j.poison {
		return j.state == failed
	}
	return j.state == completed
}
