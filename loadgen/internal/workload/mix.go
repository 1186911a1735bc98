// Package workload generates the requests of a named workload mix from a seed.
package workload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

type (
	// Arrival is one request of a mix and the time at which it is sent.
	Arrival struct {
		// At is the offset from the start of the run.
		At   time.Duration
		Team string
		// Label names the workload in reports.
		Label   string
		Request api.SubmitRequest
		// Tag is the prefix of the tag that the answer must contain.
		Tag string
		// AnswerBytes is the length of the answer, not counting the tag.
		AnswerBytes int
		// Run is the actual run time, as opposed to the estimate in the request.
		Run time.Duration
		// CancelAfter is the delay after which the caller cancels; 0 means never.
		CancelAfter time.Duration
	}

	// Options sets the size of a mix.
	Options struct {
		Seed   uint64
		Length time.Duration
		// Rate scales the number of requests.
		Rate float64
	}

	// Mix is a set of teams and their requests, in order of time.
	Mix struct {
		Name   string
		Teams  map[string]config.Team
		Orders []Arrival
	}

	// Payload tells the stand-in's workers how to run a task. It is sent as JSON.
	Payload struct {
		Tag         string `json:"tag"`
		RunMs       int64  `json:"runMs"`
		AnswerBytes int    `json:"answerBytes"`
		Fail        bool   `json:"fail"`
	}

	// source generates the requests of one workload of one team.
	source struct {
		team, label   string
		kind          config.Kind
		perSecond     float64
		count         int
		size          api.Size
		run           time.Duration
		deadline      time.Duration
		nonIdempotent bool
		urgent        bool
		answerBytes   int
		// maxEstimateError is the largest factor between the actual run time and
		// its estimate, in either direction. Up to 1, estimates are exact.
		maxEstimateError float64
	}
)

const (
	// MaxArrivals limits the number of requests in a mix.
	MaxArrivals = 200_000

	queueCount   = 200_000
	queueBytes   = 256 << 20
	milliPerCore = 1000
	mbPerGB      = 1024
)

// Key returns the API key of a team.
func Key(team string) string {
	return "rehearsal-key-of-" + team
}

// Names returns the names of all mixes.
func Names() []string {
	return []string{"rehearsal", "lookups", "deep", "full", "urgent"}
}

// New generates the mix with the given name.
func New(name string, opt Options) (*Mix, error) {
	switch name {
	case "rehearsal":
		return buildMix(name, rehearsalTeams(), rehearsalSources(), opt), nil
	case "lookups":
		return buildMix(name, rehearsalTeams(), lookupSources(), opt), nil
	case "deep":
		return buildMix(name, rehearsalTeams(), deepSources(), opt), nil
	case "full":
		return buildMix(name, fullTeams(), fullSources(), opt), nil
	case "urgent":
		return buildMix(name, fullTeams(), urgentSources(), opt), nil
	}
	return nil, fmt.Errorf("unknown mix %q; must be one of %v", name, Names())
}

func buildMix(name string, teams map[string]config.Team, sources []source, opt Options) *Mix {
	rng := rand.New(rand.NewPCG(opt.Seed, opt.Seed))
	m := &Mix{Name: name, Teams: teams}
	for _, s := range sources {
		m.Orders = append(m.Orders, s.arrivals(rng, opt)...)
	}
	sort.SliceStable(m.Orders, func(a, b int) bool { return m.Orders[a].At < m.Orders[b].At })
	if len(m.Orders) > MaxArrivals {
		m.Orders = m.Orders[:MaxArrivals]
	}
	return m
}

// arrivals draws a Poisson process: the gaps between arrivals are exponentially
// distributed.
func (s *source) arrivals(rng *rand.Rand, opt Options) []Arrival {
	var list []Arrival
	rate := s.perSecond * opt.Rate
	if rate <= 0 {
		return nil
	}
	at := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	for at < opt.Length && len(list) < MaxArrivals {
		list = append(list, s.arrival(rng, opt.Seed, len(list), at))
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	return list
}

func (s *source) arrival(rng *rand.Rand, seed uint64, n int, at time.Duration) Arrival {
	run := time.Duration(float64(s.run) * (0.5 + rng.Float64()))
	estimate := run
	if s.maxEstimateError > 1 {
		factor := 1 + rng.Float64()*(s.maxEstimateError-1)
		if rng.IntN(2) == 0 {
			factor = 1 / factor
		}
		estimate = time.Duration(float64(run) * factor)
	}
	a := Arrival{
		At: at, Team: s.team, Label: s.label, Run: run,
		Tag: fmt.Sprintf("%s-%s-%d-%d", s.team, s.label, seed, n), AnswerBytes: s.answerBytes,
	}
	a.Request = api.SubmitRequest{
		Kind: s.kind, Size: s.size, Count: s.count, ExpectedRunMs: estimate.Milliseconds(),
		DeadlineMs: s.deadline.Milliseconds(), NonIdempotent: s.nonIdempotent, Urgent: s.urgent,
	}
	return a
}

// PayloadFor returns the encoded payload for the given tag. A service runs
// without end, which the workers take from a run time of -1.
func (a *Arrival) PayloadFor(tag string) string {
	runMs := a.Run.Milliseconds()
	if a.Request.Kind == config.Service {
		runMs = -1
	}
	data, err := json.Marshal(Payload{Tag: tag, RunMs: runMs, AnswerBytes: a.AnswerBytes})
	if err != nil {
		panic("rehearsal: cannot encode payload: " + err.Error())
	}
	return string(data)
}

func newTeam(name string, share int64, limit resource.Vector) config.Team {
	return config.Team{
		Share: share, Limit: limit, QueueCount: queueCount, QueueBytes: queueBytes,
		Keys: map[string]config.Key{"rehearsal": {Hash: config.HashKey(Key(name))}},
	}
}

func slotLimit(slots int64) resource.Vector {
	return resource.Vector{MilliCPU: slots * 8 * milliPerCore, MemoryMB: slots * 32 * mbPerGB, Slots: slots}
}
