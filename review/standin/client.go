package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

type (
	// step and job are what clients submit.
	step struct {
		Count       int    `json:"count"`
		CPU         int64  `json:"cpu,omitempty"`
		MemMB       int64  `json:"mem-mb,omitempty"`
		EstimatedMs int    `json:"estimated-ms,omitempty"`
		After       []int  `json:"after,omitempty"`
		Gang        bool   `json:"gang,omitempty"`
		LongRunning bool   `json:"long-running,omitempty"`
		Needs       string `json:"requirements,omitempty"`
		PerWorker   int    `json:"anti-affinity,omitempty"`
	}

	job struct {
		id    string
		key   string
		path  string
		steps []step
		// accepted is set once a 2xx response arrived, at acceptedAt.
		accepted   bool
		acceptedAt time.Time
		state      string
	}

	// clients are the callers of a cell.
	clients struct {
		c    *cell
		http *http.Client
		mu   sync.Mutex
		jobs []*job
		byID map[string]*job
	}
)

const (
	clientDeadline = 3 * time.Second
	clientRetries  = 4
	retryPause     = 200 * time.Millisecond
)

func newClients(c *cell) *clients {
	return &clients{c: c, byID: map[string]*job{}, http: &http.Client{
		Timeout:   clientDeadline,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: false},
	}}
}

func newJob(steps ...step) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), key: teamKey, path: queuePath, steps: steps}
}

// call sends a request of a client to an entry VM, any one if vm is negative.
func (cl *clients) call(method, path, key string, body []byte, vm int) (int, []byte, http.Header, error) {
	if vm < 0 {
		vm = rand.IntN(len(cl.c.vms))
	}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", cl.c.vms[vm].ip, frontendPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	r.Host = queueHost
	r.Header.Set("Api-Key", key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	resp, err := cl.http.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, resp.Header, err
}

// submit hands a job in, with the retries of the clients, and reports whether it was accepted.
func (cl *clients) submit(j *job) bool {
	cl.mu.Lock()
	cl.jobs = append(cl.jobs, j)
	cl.byID[j.id] = j
	cl.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": "work of " + j.id, "steps": j.steps})
	for range 1 + clientRetries {
		status, answer, header, err := cl.call(http.MethodPost, j.path+j.id, j.key, body, -1)
		cl.c.rec.note("POST %s: %d %s %v", j.id, status, bytes.TrimSpace(answer), err)
		if err == nil && status/100 == 2 {
			cl.mu.Lock()
			j.accepted, j.acceptedAt = true, time.Now()
			cl.mu.Unlock()
			return true
		}
		pause := retryPause
		if after := header.Get("Retry-After"); after != "" {
			var s int
			if _, err := fmt.Sscan(after, &s); err == nil {
				pause = time.Duration(s) * time.Second
			}
		}
		time.Sleep(pause)
	}
	return false
}

// ask asks for the state of a job. It returns "" if there is no 2xx response.
func (cl *clients) ask(j *job) (int, string) {
	status, answer, _, err := cl.call(http.MethodGet, j.path+j.id, j.key, nil, -1)
	if err != nil {
		return 0, ""
	}
	var s struct{ State string }
	_ = json.Unmarshal(answer, &s)
	return status, s.State
}

// awaitState asks for a job until it has one of the states or the time is over, and returns the
// last state.
func (cl *clients) awaitState(j *job, within time.Duration, states ...string) string {
	last := ""
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, state := cl.ask(j)
		if text := fmt.Sprintf("%d %s", status, state); text != last {
			last = text
			cl.c.rec.note("GET %s: %s", j.id, text)
		}
		for _, s := range states {
			if state == s {
				return state
			}
		}
		j.state = state
	}
	return j.state
}

// stepOf returns the step of a task, as its client submitted it; nil if there is none.
func (cl *clients) stepOf(task string) *step {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	j := cl.byID[jobOf(task)]
	if j == nil {
		return nil
	}
	return &j.steps[stepNumber(task)]
}

// estimate returns the time of a task as its client estimated it: unless a case says otherwise,
// tasks take as long as that.
func (cl *clients) estimate(task string) time.Duration {
	if s := cl.stepOf(task); s != nil {
		return time.Duration(s.EstimatedMs) * time.Millisecond
	}
	return 0
}

// cpu returns the processor time that a task asks for.
func (cl *clients) cpu(task string) int64 {
	if s := cl.stepOf(task); s != nil {
		return s.CPU
	}
	return 0
}
