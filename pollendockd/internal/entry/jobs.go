package entry

import (
	"context"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/ledger"
)

type (
	// jobWaiter is a call that waits for a job to end.
	jobWaiter struct {
		job   string
		team  string
		until time.Time
		reply chan api.Answer
	}

	// statusRequest asks for the state of a job.
	statusRequest struct {
		waiter *jobWaiter
	}

	// cancelRequest asks to cancel a job.
	cancelRequest struct {
		team  string
		job   string
		reply chan api.Answer
	}
)

// Status returns the state of a job. It blocks for up to wait until the job has
// ended.
func (e *Entry) Status(ctx context.Context, team, job string, wait time.Duration) api.Answer {
	w := &jobWaiter{job: job, team: team, until: time.Now().Add(wait), reply: make(chan api.Answer, 1)}
	e.post(statusRequest{w})
	select {
	case a := <-w.reply:
		return a
	case <-ctx.Done():
		return w.underway()
	case <-e.done:
		return w.underway()
	}
}

// Cancel cancels a job. Its tasks are not started again, and running ones are
// stopped.
func (e *Entry) Cancel(ctx context.Context, team, job string) api.Answer {
	m := cancelRequest{team, job, make(chan api.Answer, 1)}
	e.post(m)
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	select {
	case a := <-m.reply:
		return a
	case <-ctx.Done():
		return api.NewAnswer(code.AcceptUnknown, "the log has not answered in time")
	case <-e.done:
		return api.NewAnswer(code.AcceptUnknown, errStopped.Error())
	}
}

// underway returns the answer for a job that has not ended.
func (w *jobWaiter) underway() api.Answer {
	a := api.NewAnswer(code.Accepted, "")
	a.Job = w.job
	return a
}

func (m statusRequest) handle(c *control) {
	j := c.state.Jobs[m.waiter.job]
	if j == nil || j.Team != m.waiter.team {
		m.waiter.reply <- c.unknownJob(m.waiter.job)
		return
	}
	if j.Code != 0 || !time.Now().Before(m.waiter.until) || c.stopping {
		m.waiter.reply <- JobAnswer(j)
		return
	}
	c.jobWaiters[j.ID] = append(c.jobWaiters[j.ID], m.waiter)
}

// unknownJob returns NotFound for a job that is not in the state, or LogDown if
// the state is stale, since the job may then be in a part of the log that this
// VM has not read.
func (c *control) unknownJob(job string) api.Answer {
	if time.Since(c.lastLogContact) > maxLogGap {
		return retryLater(code.LogDown, "the job is not known here and the log does not answer", retryAfterLog)
	}
	return api.NewAnswer(code.NotFound, "no job "+job)
}

// answerEndedJobs answers the calls whose job has ended.
func (c *control) answerEndedJobs() {
	for id, list := range c.jobWaiters {
		j := c.state.Jobs[id]
		if j != nil && j.Code == 0 {
			continue
		}
		for _, w := range list {
			if j == nil {
				w.reply <- w.underway()
				continue
			}
			w.reply <- JobAnswer(j)
		}
		delete(c.jobWaiters, id)
	}
}

// expireJobWaiters answers the calls whose wait time is over.
func (c *control) expireJobWaiters(now time.Time) {
	for id, list := range c.jobWaiters {
		kept := list[:0]
		for _, w := range list {
			if now.Before(w.until) && !c.stopping {
				kept = append(kept, w)
				continue
			}
			w.reply <- JobAnswer(c.state.Jobs[id])
		}
		c.jobWaiters[id] = kept
		if len(kept) == 0 {
			delete(c.jobWaiters, id)
		}
	}
}

// JobAnswer returns the answer for the current state of a job.
func JobAnswer(j *ledger.Job) api.Answer {
	a := api.NewAnswer(code.Accepted, "")
	if j.Code != 0 {
		a = api.NewAnswer(j.Code, "")
	}
	a.Job = j.ID
	for i := range j.Tasks {
		a.Tasks = append(a.Tasks, taskAnswer(&j.Tasks[i]))
	}
	if j.Code != 0 {
		a.Truth = jobTruth(a.Tasks)
	}
	if len(a.Tasks) == 1 {
		t := a.Tasks[0]
		a.Data, a.Length, a.Digest = t.Data, t.Length, t.Digest
	}
	return a
}

func taskAnswer(t *ledger.Task) api.TaskAnswer {
	a := api.TaskAnswer{Phase: string(t.Phase), Attempt: t.Attempt, Worker: t.Worker, Code: t.Code, Truth: api.Underway}
	if t.Phase == ledger.Done {
		a.Truth = api.TruthOf(t.Code)
	}
	if t.Result != nil && t.Phase == ledger.Done {
		a.Data, a.Length, a.Digest = t.Result.Data, len(t.Result.Data), t.Result.Digest
	}
	return a
}

// jobTruth returns the truth value that all tasks share. If they differ, the job
// ran in part and may have run.
func jobTruth(tasks []api.TaskAnswer) api.Truth {
	truth := tasks[0].Truth
	for _, t := range tasks[1:] {
		if t.Truth != truth {
			return api.MayHaveRun
		}
	}
	return truth
}

func (m cancelRequest) handle(c *control) {
	j := c.state.Jobs[m.job]
	switch {
	case j == nil || j.Team != m.team:
		m.reply <- c.unknownJob(m.job)
	case !c.joined:
		m.reply <- retryLater(code.LogDown, notJoined, retryAfterLog)
	case c.e.appender.Down():
		m.reply <- retryLater(code.LogDown, "the log takes no records", retryAfterLog)
	default:
		c.cancelJob(m)
	}
}

func (c *control) cancelJob(m cancelRequest) {
	r := c.newRecord()
	r.Cancel = &ledger.Cancel{Job: m.job, Team: m.team, Code: code.Canceled}
	c.submit(r, true, func(_ int64, result ledger.ApplyResult) {
		j := c.state.Jobs[m.job]
		if result.Code != code.OK || j == nil {
			m.reply <- acceptAnswer(result)
			return
		}
		m.reply <- JobAnswer(j)
	})
}

// Document returns the active configuration and its version number.
func (e *Entry) Document() (*config.Document, int64) {
	p := e.sharedState.Load()
	return p.document, p.number
}
