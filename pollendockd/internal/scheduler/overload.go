package scheduler

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/admission"
	"pollendock.example/cell/job"
	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
)

type (
	// loadForecast is what the leader knows of the load, for decisions on admission.
	loadForecast struct {
		// updatedAt is the time of the pass that the forecast is from.
		updatedAt time.Time
		// meanTime is the mean time of the tasks that ran at meanTimeAt.
		meanTime   time.Duration
		meanTimeAt time.Time
		// services, teams and advisor are the pools of resources.
		services map[string]*admission.Pool
		teams    map[string]*admission.Pool
		advisor  admission.Pool
		// returns spreads the retries of refused callers, by queue.
		returns map[string]*admission.Returns
		// refusedAt holds when jobs were first refused. The age of a job that returns
		// counts from then.
		refusedAt map[string]time.Time
		// refused counts the refusals since the last report on the cell.
		refused int
	}

	// admissionInput is what a decision on a job is based on.
	admissionInput struct {
		sub     *job.Submission
		service string
		limit   resource.Vector
		job     admission.Job
	}
)

const (
	// forecastInterval is the minimum time between updates of the forecast.
	forecastInterval = 40 * time.Millisecond
	// meanTimeInterval is the interval at which the mean time of running tasks is
	// computed.
	meanTimeInterval = 200 * time.Millisecond
	// forecastWarmup is the time after which a new leader may refuse jobs: before that
	// it has not measured the load.
	forecastWarmup = 2 * time.Second
	// maxRefusalAge is how long the first refusal of a job is remembered, and
	// maxRefused how many of them.
	maxRefusalAge = time.Minute
	maxRefused    = 20_000
	// maxRefusalLogs limits the log lines on refusals between two reports on the cell.
	maxRefusalLogs = 50
)

func (f *loadForecast) init() {
	f.services = map[string]*admission.Pool{}
	f.teams = map[string]*admission.Pool{}
	f.returns = map[string]*admission.Returns{}
	f.refusedAt = map[string]time.Time{}
}

// poolOf returns the pool with that name, which it adds if needed.
func poolOf(pools map[string]*admission.Pool, name string) *admission.Pool {
	p := pools[name]
	if p == nil {
		p = &admission.Pool{}
		pools[name] = p
	}
	return p
}

// updateLoad recomputes the forecast from the steps that a pass leaves waiting, in
// scheduling order.
func (l *leadership) updateLoad(p *pass, steps []*waitingStep) {
	f := &l.load
	if !l.s.opt.RefuseOverload || p.now.Sub(f.updatedAt) < forecastInterval || l.someHeldForCapacity(p.now) {
		return
	}
	f.advisor.Backlog.Reset()
	for _, pools := range []map[string]*admission.Pool{f.services, f.teams} {
		for _, pool := range pools {
			pool.Backlog.Reset()
		}
	}
	for _, ws := range steps {
		l.addToBacklogs(p, ws)
	}
	if p.now.Sub(f.meanTimeAt) >= meanTimeInterval {
		f.meanTimeAt = p.now
		l.updateMeanTime()
	}
	l.updateCapacity(p)
	f.updatedAt = p.now
}

// addToBacklogs adds the waiting tasks of a step to the backlogs of the pools that it
// waits for. A step at its team's limit does not compete with other teams, and a gang
// only with the capacity that is reserved for it.
func (l *leadership) addToBacklogs(p *pass, ws *waitingStep) {
	n := ws.tj.countWaiting(ws.step, ws.isolated)
	if n == 0 {
		return
	}
	f := &l.load
	service, advice := l.serviceOf(p, ws.tj)
	capacity := admission.CapacityDemand(ws.tj.sub.Steps[ws.step].Size.Scale(int64(n)), ws.tj.forecast.tasks[ws.step])
	if p.catalog.Team(ws.tj.sub.Team) != nil {
		poolOf(f.teams, ws.tj.sub.Team).Backlog.Append(ws.sortKey, capacity, ws.tj.overRate)
	}
	if ws.why == teamLimit {
		return
	}
	if !ws.tj.sub.Steps[ws.step].Gang {
		poolOf(f.services, service).Backlog.Append(ws.sortKey, capacity, ws.tj.overRate)
	}
	if advice == nil {
		return
	}
	if answers := ws.tj.advice[ws.step]; answers != nil && answers.anyValidTicket(p.now) {
		return
	}
	f.advisor.Backlog.Append(ws.sortKey, l.callDemand(ws.tj.sub.Queue, advice), ws.tj.overRate)
}

// callDemand returns the demand of one query of a queue.
func (l *leadership) callDemand(queue string, a *site.Advice) admission.Demand {
	takes := a.Base + time.Duration(l.queueStatsOf(queue).workersPerQuery()*float64(a.PerUpstream))
	if c := l.s.deps.Catalog(); c != nil && isSlow(c, a) {
		return admission.Demand{SlowCalls: takes.Seconds()}
	}
	return admission.Demand{QuickCalls: takes.Seconds()}
}

// updateCapacity sets the capacity of each pool.
func (l *leadership) updateCapacity(p *pass) {
	f := &l.load
	for service, pool := range f.services {
		var free, total resource.Vector
		for _, wk := range p.usable[service] {
			free = free.Add(p.reservedByNone(wk).Max(resource.Vector{}))
			total = total.Add(wk.upstream.Capacity)
		}
		f.setCapacity(pool, free, total)
	}
	for name, pool := range f.teams {
		if team := p.catalog.Team(name); team != nil {
			f.setCapacity(pool, team.Limit.Sub(l.teamUse[name]), team.Limit)
		}
	}
	total, slow := l.advice.dispatcher.Capacity(p.now)
	f.advisor.Rate = admission.Demand{QuickCalls: float64(total), SlowCalls: float64(slow)}
}

// setCapacity sets the capacity of a pool. A component of 0 in total means that nothing
// is known, or that there is no limit.
func (f *loadForecast) setCapacity(pool *admission.Pool, free, total resource.Vector) {
	pool.Free = admission.CapacityDemand(free, f.meanTime)
	pool.Rate = admission.CapacityDemand(total, time.Second)
}

// updateMeanTime computes the mean time of the running tasks, weighted by processor
// capacity. Runs that are not in the records have no forecast, and are being stopped.
func (l *leadership) updateMeanTime() {
	used, work := 0.0, 0.0
	for _, wk := range l.workers {
		for _, r := range wk.runs {
			if r.task.Step >= len(r.tj.forecast.tasks) {
				continue
			}
			spec := &r.tj.sub.Steps[r.task.Step]
			used += float64(spec.Size.MilliCPU)
			work += float64(spec.Size.MilliCPU) * float64(r.predictedTime())
		}
	}
	l.load.meanTime = 0
	if used > 0 {
		l.load.meanTime = time.Duration(work / used)
	}
}

// firstAttempt returns when a job was first refused, or now if it was not.
func (f *loadForecast) firstAttempt(id string, now time.Time) time.Time {
	if at, refused := f.refusedAt[id]; refused {
		return at
	}
	return now
}

// forgetRefused forgets callers that were first refused long ago.
func (f *loadForecast) forgetRefused(now time.Time) {
	for id, at := range f.refusedAt {
		if now.Sub(at) > maxRefusalAge {
			delete(f.refusedAt, id)
		}
	}
}

// refuse returns an error of class site.ErrRefused if a job is not to be accepted,
// because it can never run or not in a time that is of use to its caller.
func (l *leadership) refuse(subs []*job.Submission, now time.Time) error {
	if !l.s.opt.RefuseOverload {
		return nil
	}
	for _, sub := range subs {
		in := l.admissionInput(sub, now)
		if in == nil {
			continue
		}
		pools := l.poolsOf(in)
		if _, returns := l.load.refusedAt[sub.ID]; !returns {
			for _, p := range pools {
				p.Offered(now, &in.job)
			}
		}
		if refusal := l.decide(in, now); refusal != nil {
			return site.ErrRefused.Wrap(refusal)
		}
		for _, p := range pools {
			p.Accepted(&in.job)
		}
	}
	return nil
}

// admissionInput returns what a decision on a job is based on, or nil if the current
// catalog does not tell.
func (l *leadership) admissionInput(sub *job.Submission, now time.Time) *admissionInput {
	catalog := l.s.deps.Catalog()
	if catalog == nil {
		return nil
	}
	q := catalog.Queue(sub.Queue)
	if q == nil {
		return nil
	}
	tj := &trackedJob{sub: sub, history: make([]stepStats, len(sub.Steps))}
	l.updateForecast(tj, now)
	in := &admissionInput{sub: sub, service: q.Service}
	in.job = admission.Job{
		CriticalPath: slices.Max(tj.forecast.criticalPaths), Allowed: tj.timeLimit, Priority: sub.Priority,
		Age:    now.Sub(l.load.firstAttempt(sub.ID, now)),
		Demand: l.demandOf(sub, q, tj.forecast.tasks),
	}
	if team := catalog.Team(sub.Team); team != nil {
		in.limit = team.Limit
		m := l.meters[team.Name]
		in.job.OverRate = m != nil && team.Weight > 0 && m.Exceeded(now)
	}
	return in
}

// demandOf returns the demand of all steps of a job.
func (l *leadership) demandOf(sub *job.Submission, q *site.Queue, tasks []time.Duration) admission.Demand {
	total := admission.Demand{}
	for i := range sub.Steps {
		total = total.Add(admission.CapacityDemand(sub.Steps[i].Size.Scale(int64(sub.Steps[i].Count)), tasks[i]))
		if q.Advice != nil && l.s.deps.Advisor != nil {
			total = total.Add(l.callDemand(sub.Queue, q.Advice))
		}
	}
	return total
}

// decide returns why a job is refused, or nil.
func (l *leadership) decide(in *admissionInput, now time.Time) *site.AdmissionError {
	if why := l.neverFits(in); why != "" {
		l.s.deps.Counts.Count("refused_never", 1)
		refusal := &site.AdmissionError{Never: true, Detail: why}
		l.logRefusal(in, refusal, "never fits", 0, now)
		return refusal
	}
	if now.Sub(l.startedAt) < forecastWarmup || now.Sub(l.load.updatedAt) > admission.MaxForecastAge {
		return nil
	}
	v := admission.Decide(&in.job, l.constraints(in, now))
	if v.Admit {
		return nil
	}
	if len(l.load.refusedAt) < maxRefused {
		l.load.refusedAt[in.sub.ID] = now.Add(-in.job.Age)
	}
	returns := l.load.returns[in.sub.Queue]
	if returns == nil {
		returns = &admission.Returns{}
		l.load.returns[in.sub.Queue] = returns
	}
	after, useful := returns.Book(now, &in.job, &v)
	refusal := &site.AdmissionError{Detail: refusalDetail(&v, useful), RetryAfter: after}
	l.s.deps.Counts.Count("refused_"+string(v.Reason), 1)
	l.logRefusal(in, refusal, string(v.Reason), v.Wait, now)
	return refusal
}

// constraints returns the forecast for the resources that a job needs.
func (l *leadership) constraints(in *admissionInput, now time.Time) []admission.Constraint {
	f := &l.load
	list := f.services[in.service].WorkerConstraints(admission.Room, now, &in.job)
	list = append(list, f.advisor.AdvisorConstraints(now, &in.job)...)
	if in.limit.IsZero() {
		return list
	}
	return append(list, f.teams[in.sub.Team].WorkerConstraints(admission.Limit, now, &in.job)...)
}

// neverFits returns why a job can never run, or an empty string.
func (l *leadership) neverFits(in *admissionInput) string {
	largest := resource.Vector{}
	if l.workersKnownOnce {
		largest = l.s.largestWorker[in.service]
	}
	for i := range in.sub.Steps {
		spec := &in.sub.Steps[i]
		part := admission.Part{Count: spec.Count, Size: spec.Size, Gang: spec.Gang}
		if why := admission.NeverFits(&part, largest, in.limit); why != "" {
			return why
		}
	}
	return ""
}

// poolsOf returns the pools that a job needs.
func (l *leadership) poolsOf(in *admissionInput) []*admission.Pool {
	f := &l.load
	return []*admission.Pool{poolOf(f.services, in.service), poolOf(f.teams, in.sub.Team), &f.advisor}
}

func refusalDetail(v *admission.Verdict, useful bool) string {
	detail := "the job would wait too long for " + string(v.Reason)
	if !useful {
		detail += ", also after the retry delay"
	}
	return detail
}

func (l *leadership) logRefusal(in *admissionInput, refusal *site.AdmissionError, reason string, wait time.Duration, now time.Time) {
	l.load.refused++
	if l.load.refused > maxRefusalLogs {
		return
	}
	_ = level.Info(l.s.deps.Logger).Log("msg", "job refused", "job", in.sub.ID, "queue", in.sub.Queue, "team", in.sub.Team, "reason", reason,
		"waitMs", wait.Milliseconds(), "allowedMs", in.job.Allowed.Milliseconds(), "workMs", in.job.CriticalPath.Milliseconds(),
		"beyond", in.job.OverRate, "ageMs", in.job.Age.Milliseconds(), "forecastAgeMs", now.Sub(l.load.updatedAt).Milliseconds(),
		"retryAfterMs", refusal.RetryAfter.Milliseconds(), "detail", refusal.Detail)
}
