package admission

import (
	"time"

	"pollendock.example/cell/placement"
)

// Pool is a forecast for one pool of resources: the workers of a service, a team's
// limit, or the calls to the advisor.
type Pool struct {
	// Backlog is the work that waits for the pool.
	Backlog Backlog
	// Free is the work that the free capacity can take at once, Rate the work that the
	// pool does per second when all of it is used.
	Free Demand
	Rate Demand
	// all and withinRate measure the offered work of all teams, and that within their
	// teams' guaranteed rates.
	all, withinRate Inflow
}

// Accepted counts a job that was accepted after the backlog was built.
func (p *Pool) Accepted(j *Job) {
	p.Backlog.AppendRecent(j.Demand, j.OverRate)
}

// Offered counts the first attempt of a caller, whether it is accepted or not.
func (p *Pool) Offered(now time.Time, j *Job) {
	p.all.Add(now, j.Demand)
	if !j.OverRate {
		p.withinRate.Add(now, j.Demand)
	}
}

// WorkerConstraints returns the constraints on a job by the capacity of the pool. A nil
// Pool has none.
func (p *Pool) WorkerConstraints(reason Reason, now time.Time, j *Job) []Constraint {
	return p.constraints(reason, now, j, milliCPU, memoryMB)
}

// AdvisorConstraints returns the constraints on a job by the calls to the advisor.
func (p *Pool) AdvisorConstraints(now time.Time, j *Job) []Constraint {
	return p.constraints(Advice, now, j, quickCalls, slowCalls)
}

func (p *Pool) constraints(reason Reason, now time.Time, j *Job, components ...component) []Constraint {
	if p == nil {
		return nil
	}
	inTimeKey := j.sortKey(now, j.rank())
	lateKey := j.sortKey(now, placement.Late)
	inTime := p.Backlog.Before(&inTimeKey, j.OverRate)
	late := p.Backlog.Before(&lateKey, j.OverRate)
	inflow := p.inflow(now, j.OverRate)
	var list []Constraint
	for _, c := range components {
		if j.Demand.get(c) <= 0 {
			continue
		}
		list = append(list, Constraint{
			Reason: reason, InTime: inTime.get(c), Late: late.get(c), Free: p.Free.get(c), Rate: p.Rate.get(c),
			Inflow: inflow.get(c), Own: j.Demand.get(c),
		})
	}
	return list
}

// inflow returns the demand per second of new work that is scheduled before a late job.
func (p *Pool) inflow(now time.Time, overRate bool) Demand {
	if overRate {
		return p.all.PerSecond(now)
	}
	return p.withinRate.PerSecond(now)
}
