package advice

import (
	"container/list"
	"slices"
	"time"
)

type (
	// StepAnswers is what the advisor has answered about a step: which workers may run it, and
	// which may not. Its answers last, but for the tickets.
	StepAnswers struct {
		Job              string
		Step             int
		Allowed, Refused []string
	}

	// Answers keeps what the advisor has answered through one VM, so that a new leader need
	// not query again. Steps without an answer for maxAnswersAge are dropped, and beyond
	// maxAnswers those with the oldest answers.
	Answers struct {
		steps map[stepKey]*list.Element
		// byAge holds the steps in the order of their last answers.
		byAge list.List
		count int
	}

	stepKey struct {
		job  string
		step int
	}

	keptAnswers struct {
		StepAnswers
		at time.Time
	}
)

const (
	// maxAnswers limits the answers kept, of one worker for one step each. They take about 50
	// bytes.
	maxAnswers = 20_000
	// maxAnswersAge is longer than a gang usually waits to start.
	maxAnswersAge = 5 * time.Minute
)

// NewAnswers returns an empty set of answers.
func NewAnswers() *Answers {
	return &Answers{steps: map[stepKey]*list.Element{}}
}

// Add adds the answer to a query about some workers.
func (a *Answers) Add(now time.Time, job string, step int, workers, allowed []string) {
	key := stepKey{job, step}
	e := a.steps[key]
	if e == nil {
		e = a.byAge.PushBack(&keptAnswers{StepAnswers: StepAnswers{Job: job, Step: step}})
		a.steps[key] = e
	}
	a.byAge.MoveToBack(e)
	k := e.Value.(*keptAnswers)
	k.at = now
	a.count -= k.size()
	for _, id := range workers {
		k.set(id, slices.Contains(allowed, id))
	}
	a.count += k.size()
	a.trim(now)
}

// List returns the answers, those of one step each.
func (a *Answers) List(now time.Time) []StepAnswers {
	a.trim(now)
	var steps []StepAnswers
	for e := a.byAge.Front(); e != nil; e = e.Next() {
		k := e.Value.(*keptAnswers)
		steps = append(steps, StepAnswers{Job: k.Job, Step: k.Step, Allowed: slices.Clone(k.Allowed), Refused: slices.Clone(k.Refused)})
	}
	return steps
}

// DropEnded drops the answers for the steps of jobs that have ended.
func (a *Answers) DropEnded(ended func(job string) bool) {
	for e := a.byAge.Front(); e != nil; {
		next := e.Next()
		if ended(e.Value.(*keptAnswers).Job) {
			a.drop(e)
		}
		e = next
	}
}

// trim drops the oldest answers.
func (a *Answers) trim(now time.Time) {
	for e := a.byAge.Front(); e != nil; e = a.byAge.Front() {
		k := e.Value.(*keptAnswers)
		if a.count <= maxAnswers && now.Sub(k.at) < maxAnswersAge {
			return
		}
		a.drop(e)
	}
}

func (a *Answers) drop(e *list.Element) {
	k := e.Value.(*keptAnswers)
	a.count -= k.size()
	a.byAge.Remove(e)
	delete(a.steps, stepKey{k.Job, k.Step})
}

func (k *keptAnswers) size() int {
	return len(k.Allowed) + len(k.Refused)
}

// set records the answer for a worker. The last one counts.
func (k *keptAnswers) set(worker string, allowed bool) {
	to, from := &k.Refused, &k.Allowed
	if allowed {
		to, from = from, to
	}
	if !slices.Contains(*to, worker) {
		*to = append(*to, worker)
	}
	if i := slices.Index(*from, worker); i >= 0 {
		*from = slices.Delete(*from, i, i+1)
	}
}
