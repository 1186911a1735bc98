// Package admission decides whether a job is accepted when there is more work than
// capacity. It is pure: it does no I/O and reads no clock.
//
// It applies when demand exceeds the capacity of the workers, of the advisor or of a
// team's limit for longer than callers wait. Without it all jobs are accepted, and callers
// whose jobs are not reached find out only by their own timeout.
package admission

import (
	"math"
	"time"

	"pollendock.example/cell/placement"
)

type (
	// Reason is what a refused job would have waited for.
	Reason string

	// Job is the job to decide on.
	Job struct {
		// CriticalPath is the expected duration of its work, Allowed the time in which
		// it should complete.
		CriticalPath time.Duration
		Allowed      time.Duration
		// Age is the time since the caller's first attempt.
		Age      time.Duration
		Priority int
		// OverRate is set if the job exceeds its team's guaranteed rate.
		OverRate bool
		Demand   Demand
	}

	// Constraint is the forecast for one resource that a job needs. Amounts are work, as
	// in Demand.
	Constraint struct {
		Reason Reason
		// InTime is the demand of pending work that is scheduled before the job while
		// the job can be in time, Late the demand of that which is scheduled before it
		// once it is late.
		InTime float64
		Late   float64
		// Free is the work that the free capacity can take at once, and Rate the work
		// that is done per second when all capacity is used.
		Free float64
		Rate float64
		// Inflow is the demand per second of new work that is scheduled before late
		// work.
		Inflow float64
		// Own is the job's own demand.
		Own float64
	}

	// Verdict is the decision on a job.
	Verdict struct {
		Admit bool
		// Reason and Wait tell why the job is refused: Wait is the expected time until
		// its start, at most maxWait.
		Reason Reason
		Wait   time.Duration
		// Earliest is the delay after which a retry is expected to start in time.
		Earliest time.Duration
		// Interval is the time that it takes to serve the job with the capacity that
		// new work is expected to leave.
		Interval time.Duration
	}
)

const (
	// Room means that the workers have no capacity, Advice that too many queries wait
	// for the advisor, and Limit that the team is at its limit.
	Room   Reason = "room"
	Advice Reason = "advice"
	Limit  Reason = "limit"

	// MaxForecastAge is the age from which a forecast refuses nobody.
	MaxForecastAge = time.Second

	// certainInflow is the part of the measured inflow that is assumed to continue. In
	// case of doubt a job is admitted.
	certainInflow = 0.8
	// minSpare is the least part of the rate that is assumed to remain for jobs that
	// return.
	minSpare = 0.1
	// maxWait stands for a wait without end.
	maxWait = time.Hour
)

// Decide refuses a job that is expected to end only after its caller has given up.
func Decide(j *Job, constraints []Constraint) Verdict {
	patience := j.patience()
	v := Verdict{Admit: true}
	for i := range constraints {
		c := &constraints[i]
		wait := c.wait(j)
		if wait <= patience || wait <= v.Wait {
			continue
		}
		v = Verdict{Reason: c.Reason, Wait: wait, Earliest: c.earliest(j), Interval: seconds(c.Own / c.spare())}
	}
	return v
}

// patience is how long the job can wait and still have value for its caller.
func (j *Job) patience() time.Duration {
	return placement.OverdueFactor*j.Allowed - j.CriticalPath - j.Age
}

// slack is how long the job can wait and still be in time. It is negative if the job is
// late already.
func (j *Job) slack() time.Duration {
	return j.Allowed - j.CriticalPath - j.Age
}

// sortKey returns the job's position in the scheduling order while it has the given
// rank.
func (j *Job) sortKey(now time.Time, r placement.Rank) placement.SortKey {
	return placement.SortKey{Rank: r, Priority: j.Priority, LatestStart: now.Add(j.slack()), Order: math.MaxInt64}
}

// rank returns the rank that the job has when it is accepted.
func (j *Job) rank() placement.Rank {
	if j.OverRate {
		return placement.Surplus
	}
	return placement.InTime
}

// wait returns the expected time until the job starts. A job that cannot start in time
// is scheduled after all work that can, including new work.
func (c *Constraint) wait(j *Job) time.Duration {
	if c.Rate <= 0 {
		// Nothing is known of the resource, or it is not limited.
		return 0
	}
	if w := seconds((c.InTime - c.Free) / c.Rate); w <= j.slack() {
		return w
	}
	drain := c.Rate - certainInflow*c.Inflow
	if drain <= 0 {
		return maxWait
	}
	return seconds((c.Late - c.Free) / drain)
}

// earliest returns the time after which the job could start in time.
func (c *Constraint) earliest(j *Job) time.Duration {
	excess := c.InTime - c.Free - c.Rate*max(0, j.slack().Seconds())
	return seconds(excess / c.spare())
}

// spare is the part of the rate that new work is expected to leave.
func (c *Constraint) spare() float64 {
	return max(c.Rate-c.Inflow, minSpare*c.Rate)
}

// seconds converts seconds to a duration between 0 and maxWait.
func seconds(s float64) time.Duration {
	if s >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(max(0, s) * float64(time.Second))
}
