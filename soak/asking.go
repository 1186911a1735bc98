package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// This file asks for all jobs after the traffic.

const (
	// askAfter is the time after the last fault at which jobs are asked for.
	askAfter = 14 * time.Second
	// askers is the number of clients that ask at the same time.
	askers = 16
	// statusRetention is how long entry VMs tell the state of an ended job at least.
	statusRetention = time.Minute
)

// askForJobs asks for each job that must be known, and reports those that aren't known or get no answer.
func (c *cell) askForJobs(ctx context.Context, seed uint64) {
	list := make(chan *jobClient)
	var running sync.WaitGroup
	for i := range uint64(askers) {
		r := rand.New(rand.NewPCG(seed, 100+i))
		running.Go(func() {
			client := &http.Client{Timeout: callTimeout}
			for j := range list {
				j.ask(ctx, c, client, r)
			}
		})
	}
	n := 0
	for _, j := range c.knownJobs() {
		list <- j
		n++
	}
	close(list)
	running.Wait()
	fmt.Printf("asked for %d jobs\n", n)
}

// knownJobs returns the jobs that entry VMs must know: those that were accepted, that nobody has
// cancelled and that have not ended long ago.
func (c *cell) knownJobs() []*jobClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*jobClient
	for _, j := range c.jobs {
		if !j.acceptedAt().IsZero() && !j.mayBeCancelled() && !j.endedBefore(time.Now().Add(-statusRetention)) {
			list = append(list, j)
		}
	}
	return list
}

// endedBefore reports whether the job may have ended before that time.
func (j *jobClient) endedBefore(at time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.poison && j.accepted.Before(at) || !j.completedAt.IsZero() && j.completedAt.Before(at)
}

// ask asks a random entry VM for the job.
func (j *jobClient) ask(ctx context.Context, c *cell, client *http.Client, r *rand.Rand) {
	sentAt := time.Now()
	status, data, err := j.sendRequest(ctx, c, client, r, http.MethodGet, nil)
	if err != nil {
		c.violations.addf("LOST: job %s gets no answer after the traffic: %v", j.id, err)
		return
	}
	wrong := j.judgeAnswer(status, data, sentAt)
	if status != http.StatusOK && len(wrong) == 0 {
		c.violations.addf("LOST: job %s is answered %d after the traffic", j.id, status)
	}
	for _, v := range wrong {
		c.violations.add(v)
	}
}
