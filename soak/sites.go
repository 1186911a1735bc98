package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pollendock.example/cell/resource"
	"pollendock.example/cell/site"
	"pollendock.example/standin/fleet"
)

type (
	// siteModel is the size and the traffic of a site.
	siteModel struct {
		workers, entries, dataCentres int
		// rate is the number of jobs a second.
		rate     int
		capacity resource.Vector
		bounds   site.Bounds
		teams    int
		queues   []queueModel
		// strong is what the first strongEntries entry VMs have, weak what the others have.
		strong, weak  vmSize
		strongEntries int
		// gangTimeout is how long a worker waits for the other members of a gang.
		gangTimeout time.Duration
		// lasting is set if there are jobs that last.
		lasting bool
		// warmUp is the time between the start of the entry VMs and the traffic.
		warmUp time.Duration
	}

	// queueModel is a queue and how its jobs are drawn.
	queueModel struct {
		site.Queue
		// good is the fraction of workers that the advisor admits to a step.
		good float64
		// weight is the queue's share of the jobs, relative to those of the others.
		weight float64
		// gangs and failures are the fractions of jobs that consist of gangs, and of those of
		// which the first runs fail.
		gangs, failures float64
		steps, width    amount
		milliCPU, memMB amount
		workMs          amount
	}

	// amount is a log-normal distribution with a maximum. Its spread is a fraction of the mean.
	amount struct {
		mean, spread, max float64
	}
)

const (
	defaultEntries = 4
	defaultWorkers = 6
	defaultRate    = 6
	smallSite      = "small"
	largeSite      = "large"
	fullSite       = "full"
	siteTeams      = 6
	// siteGangTimeout is that of the small and the large site.
	siteGangTimeout = 3 * time.Second
	// teamShare is a team's limit as a multiple of its share of the workers.
	teamShare = 1.9
	// sitePollInterval is the time between two requests for a job's state.
	sitePollInterval = 2 * time.Second
	// estimateError is the largest error of an estimated duration, as a fraction of it.
	estimateError = 0.5
	// The traffic ends with a burst of gangs.
	gangBurst   = 5 * time.Second
	burstFactor = 3
	// teamSpareRate is a team's weight as a multiple of its share of the jobs.
	teamSpareRate = 3
)

// siteBounds are the bounds of the small and the large site.
var siteBounds = site.Bounds{
	MaxLease: 10 * time.Second, StopTime: 400 * time.Millisecond, Grace: 6 * time.Second,
	Heartbeat: 1500 * time.Millisecond, Contact: 3 * time.Second,
	CatalogApply: 2 * time.Second, CatalogOutage: 5 * time.Second,
}

// setDefaults sets the numbers that the command line leaves out.
func (opt *options) setDefaults() {
	entries, workers, rate := defaultEntries, defaultWorkers, defaultRate
	if m := opt.model(); m != nil {
		entries, workers, rate = m.entries, m.workers, m.rate
	}
	setDefault(&opt.Entries, entries)
	setDefault(&opt.Workers, workers)
	setDefault(&opt.Rate, rate)
}

func setDefault(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// model returns the chosen site, nil for none.
func (opt *options) model() *siteModel {
	var m *siteModel
	switch {
	case opt.Site == fullSite:
		m = newFullSite()
	case opt.Site == largeSite:
		m = newLargeSite()
	case opt.Site == smallSite, opt.Advice:
		m = newSmallSite()
	default:
		return nil
	}
	m.lasting = m.lasting || opt.Lasting
	if opt.MaxGang > 0 {
		m.limitGangs(float64(opt.MaxGang))
	}
	return m
}

// limitGangs limits the number of tasks of a gang.
func (m *siteModel) limitGangs(width float64) {
	for i := range m.queues {
		if q := &m.queues[i]; q.gangs > 0 {
			q.width.max = min(q.width.max, width)
		}
	}
}

func newSmallSite() *siteModel {
	const ticketLifetime = 1500 * time.Millisecond
	return &siteModel{
		workers: 48, entries: 6, dataCentres: dataCentres, rate: 39, teams: siteTeams, bounds: siteBounds, gangTimeout: siteGangTimeout, warmUp: warmUp,
		capacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 262_144},
		queues: []queueModel{
			{
				Queue: newQueue("rosters", 1, 2.2, time.Second, 390*time.Millisecond, 5500*time.Microsecond, ticketLifetime),
				good:  0.3, weight: 1.45, gangs: 1, failures: 0.05,
				steps: amount{1.2, 0.4, 3}, width: amount{8, 0.8, 48},
				milliCPU: amount{18_000, 0.4, 30_000}, memMB: amount{52_000, 0.5, 100_000}, workMs: amount{5000, 0.5, 12_000},
			},
			{
				Queue: newQueue("advances", 2, 4, 3*time.Second, 42*time.Millisecond, 600*time.Microsecond, ticketLifetime),
				good:  0.45, weight: 6.8, failures: 0.02,
				steps: amount{1.5, 0.4, 3}, width: amount{10, 0.8, 60},
				milliCPU: amount{3900, 0.45, 12_000}, memMB: amount{14_000, 0.6, 43_000}, workMs: amount{2200, 0.5, 5400},
			},
			{
				Queue: newQueue("checks", 0, 1.5, 250*time.Millisecond, 8700*time.Microsecond, 120*time.Microsecond, ticketLifetime),
				good:  0.7, weight: 30.8, gangs: 0.3, failures: 0.02,
				steps: amount{1, 0, 1}, width: amount{2, 0.8, 12},
				milliCPU: amount{5600, 0.45, 17_000}, memMB: amount{11_000, 0.6, 34_000}, workMs: amount{1000, 0.5, 2500},
			},
		},
	}
}

func newLargeSite() *siteModel {
	const ticketLifetime = 2 * time.Second
	return &siteModel{
		workers: 240, entries: 18, dataCentres: dataCentres, rate: 44, teams: siteTeams, bounds: siteBounds, gangTimeout: siteGangTimeout, warmUp: warmUp,
		capacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 131_072},
		queues: []queueModel{
			{
				Queue: newQueue("recounts", 1, 2.2, time.Second, 380*time.Millisecond, 5500*time.Microsecond, ticketLifetime),
				good:  0.3, weight: 8.52, gangs: 1, failures: 0.05,
				steps: amount{1.2, 0.4, 3}, width: amount{20, 0.8, 120},
				milliCPU: amount{18_000, 0.4, 30_000}, memMB: amount{18_000, 0.5, 37_000}, workMs: amount{4000, 0.5, 10_000},
			},
			{
				Queue: newQueue("ledgers", 2, 4, 3*time.Second, 140*time.Millisecond, 2*time.Millisecond, ticketLifetime),
				good:  0.45, weight: 11.1, failures: 0.005,
				steps: amount{1.5, 0.4, 3}, width: amount{15, 0.6, 76},
				milliCPU: amount{11_000, 0.45, 33_000}, memMB: amount{20_000, 0.6, 61_000}, workMs: amount{3400, 0.5, 8400},
			},
			{
				Queue: newQueue("lookups", 0, 1.5, 250*time.Millisecond, 20*time.Millisecond, 280*time.Microsecond, ticketLifetime),
				good:  0.7, weight: 79, gangs: 0.3, failures: 0.05,
				steps: amount{1, 0, 1}, width: amount{3.1, 0.8, 19},
				milliCPU: amount{16_000, 0.45, 47_000}, memMB: amount{16_000, 0.6, 48_000}, workMs: amount{1000, 0.5, 2500},
			},
		},
	}
}

// newFullSite returns the large site with all its machines.
func newFullSite() *siteModel {
	m := newLargeSite()
	m.workers, m.entries, m.dataCentres, m.rate = 540, 97, 6, 98
	m.strongEntries = 18
	m.strong = vmSize{cpuShare: 0.8, memoryMB: 536, descriptors: 8192, mbps: 200}
	m.weak = vmSize{cpuShare: 0.192, memoryMB: 184, descriptors: 4100, mbps: 20}
	m.gangTimeout = 5 * time.Second
	m.lasting = true
	m.warmUp = 14 * time.Second
	m.bounds = site.Bounds{
		MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, Grace: 6 * time.Second,
		Heartbeat: 1500 * time.Millisecond, Contact: 5 * time.Second,
		CatalogApply: 4 * time.Second, CatalogOutage: 8 * time.Second,
	}
	return m
}

func newQueue(name string, priority int, stretch float64, objective, base, perWorker, ticketLifetime time.Duration) site.Queue {
	return site.Queue{
		Name: name, Host: queueHost, PathPrefix: "/" + name + "/", Service: serviceName, Priority: priority,
		MaxAttempts: 3, Stretch: stretch, Objective: objective,
		Advice: &site.Advice{Base: base, PerUpstream: perWorker, TicketLifetime: ticketLifetime},
	}
}

// catalog returns the configuration for a number of workers and jobs a second.
func (m *siteModel) catalog(workers, rate int) *site.Catalog {
	c := &site.Catalog{Services: map[string]site.Service{serviceName: {}}}
	for i := range m.queues {
		c.Queues = append(c.Queues, m.queues[i].Queue)
	}
	for i := range m.teams {
		c.Teams = append(c.Teams, site.Team{
			Name: fmt.Sprintf("team-%d", i), Keys: []string{m.teamKey(i)},
			Weight: float64(rate*teamSpareRate) / float64(m.teams), Limit: m.teamLimit(workers),
		})
	}
	return c
}

func (m *siteModel) teamKey(i int) string {
	return fmt.Sprintf("soak-key-%d", i)
}

// teamLimit returns what a team may have running.
func (m *siteModel) teamLimit(workers int) resource.Vector {
	share := teamShare * float64(workers) / float64(m.teams)
	return resource.Vector{
		MilliCPU: int64(share * float64(m.capacity.MilliCPU)),
		MemoryMB: int64(share * float64(m.capacity.MemoryMB)),
	}
}

// newJob draws a job. In a burst there are more gangs.
func (m *siteModel) newJob(id string, burst bool, r *rand.Rand) *jobClient {
	q := m.drawQueue(burst, r)
	j := &jobClient{id: id, queue: q, key: m.teamKey(r.IntN(m.teams)), failFirstRun: r.Float64() < q.failures}
	j.runTime = time.Duration(q.workMs.draw(r) * float64(time.Millisecond))
	gang := r.Float64() < q.gangs
	for step := range max(1, int(math.Round(q.steps.draw(r)))) {
		b := stepBody{
			Count: max(1, int(math.Round(q.width.draw(r)))), Gang: gang,
			CPU: int64(q.milliCPU.draw(r)), MemMB: int64(q.memMB.draw(r)),
			EstimatedMs: max(1, int64(float64(j.runTime.Milliseconds())*(1+estimateError*(2*r.Float64()-1)))),
		}
		if step > 0 {
			b.After = []int{step - 1}
		}
		j.steps = append(j.steps, b)
	}
	return j
}

func (m *siteModel) drawQueue(burst bool, r *rand.Rand) *queueModel {
	total := 0.0
	for i := range m.queues {
		total += m.queues[i].share(burst)
	}
	drawn := r.Float64() * total
	for i := range m.queues {
		if drawn -= m.queues[i].share(burst); drawn < 0 {
			return &m.queues[i]
		}
	}
	return &m.queues[len(m.queues)-1]
}

// share returns the queue's share of the jobs. In a burst, a queue of gangs has a larger one.
func (q *queueModel) share(burst bool) float64 {
	if burst && q.gangs == 1 {
		return burstFactor * q.weight
	}
	return q.weight
}

func (a amount) draw(r *rand.Rand) float64 {
	variance := math.Log(1 + a.spread*a.spread)
	return min(a.max, a.mean*math.Exp(math.Sqrt(variance)*r.NormFloat64()-variance/2))
}

// useAdvisor makes starts need the tickets of an advisor.
func (c *cell) useAdvisor() {
	c.advisor = fleet.NewAdvisorOf(c.fleet, c.adviceTerms)
	c.fleet.CheckTickets()
}

// adviceTerms returns the terms of the queue of a job.
func (c *cell) adviceTerms(jobID string) fleet.AdviceTerms {
	j := c.clientOf(jobID)
	if j == nil {
		return fleet.AdviceTerms{}
	}
	return fleet.AdviceTerms{Advice: *j.queue.Advice, Good: j.queue.good}
}
