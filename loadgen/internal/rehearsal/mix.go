// Package rehearsal makes the orders of a named mix of work, from a seed.
package rehearsal

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
	// Order is one request at a time from the start.
	Order struct {
		At   time.Duration
		Team string
		// Label names the kind of work for reports.
		Label   string
		Request api.SubmitRequest
		// Tag is the stem of the tag that the answer must carry.
		Tag string
		// AnswerBytes is the length of the answer beyond the tag.
		AnswerBytes int
		// Run is the true run time.
		Run time.Duration
		// CancelAfter is when the caller cancels, 0 for never.
		CancelAfter time.Duration
	}

	// Options sizes a mix.
	Options struct {
		Seed   uint64
		Length time.Duration
		// Rate scales the number of requests.
		Rate float64
	}

	// Mix is a set of teams with what they ask for.
	Mix struct {
		Name   string
		Teams  map[string]config.Team
		Orders []Order
	}

	// Payload is what the stand-in's workers understand.
	Payload struct {
		Tag         string `json:"tag"`
		RunMs       int64  `json:"runMs"`
		AnswerBytes int    `json:"answerBytes"`
		Fail        bool   `json:"fail"`
	}

	// source makes the orders of one kind of work of one team.
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
		// falsehood is the factor by which declared run times may be wrong.
		falsehood float64
	}
)

const (
	// MaxOrders bounds a mix.
	MaxOrders = 200_000

	queueCount = 200_000
	queueBytes = 256 << 20
	milli      = 1000
	mbPerGB    = 1024
)

// Key returns the key of a team in rehearsals.
func Key(team string) string {
	return "rehearsal-key-of-" + team
}

// Names returns the names of the mixes.
func Names() []string {
	return []string{"rehearsal", "lookups", "deep", "full", "urgent"}
}

// New returns the mix of the name.
func New(name string, opt Options) (*Mix, error) {
	switch name {
	case "rehearsal":
		return build(name, rehearsalTeams(), rehearsalSources(), opt), nil
	case "lookups":
		return build(name, rehearsalTeams(), lookupSources(), opt), nil
	case "deep":
		return build(name, rehearsalTeams(), deepSources(), opt), nil
	case "full":
		return build(name, fullTeams(), fullSources(), opt), nil
	case "urgent":
		return build(name, fullTeams(), urgentSources(), opt), nil
	}
	return nil, fmt.Errorf("no mix %q; there are %v", name, Names())
}

func build(name string, teams map[string]config.Team, sources []source, opt Options) *Mix {
	rng := rand.New(rand.NewPCG(opt.Seed, opt.Seed))
	m := &Mix{Name: name, Teams: teams}
	for _, s := range sources {
		m.Orders = append(m.Orders, s.orders(rng, opt)...)
	}
	sort.SliceStable(m.Orders, func(a, b int) bool { return m.Orders[a].At < m.Orders[b].At })
	if len(m.Orders) > MaxOrders {
		m.Orders = m.Orders[:MaxOrders]
	}
	return m
}

// orders draws arrivals with exponential gaps.
func (s *source) orders(rng *rand.Rand, opt Options) []Order {
	var list []Order
	rate := s.perSecond * opt.Rate
	if rate <= 0 {
		return nil
	}
	at := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	for at < opt.Length && len(list) < MaxOrders {
		list = append(list, s.order(rng, opt.Seed, len(list), at))
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	return list
}

func (s *source) order(rng *rand.Rand, seed uint64, n int, at time.Duration) Order {
	run := time.Duration(float64(s.run) * (0.5 + rng.Float64()))
	declared := run
	if s.falsehood > 1 {
		factor := 1 + rng.Float64()*(s.falsehood-1)
		if rng.IntN(2) == 0 {
			factor = 1 / factor
		}
		declared = time.Duration(float64(run) * factor)
	}
	o := Order{
		At: at, Team: s.team, Label: s.label, Run: run,
		Tag: fmt.Sprintf("%s-%s-%d-%d", s.team, s.label, seed, n), AnswerBytes: s.answerBytes,
	}
	o.Request = api.SubmitRequest{
		Kind: s.kind, Size: s.size, Count: s.count, ExpectedRunMs: declared.Milliseconds(),
		DeadlineMs: s.deadline.Milliseconds(), NonIdempotent: s.nonIdempotent, Urgent: s.urgent,
	}
	return o
}

// PayloadFor returns the payload of an order with a tag.
func (o *Order) PayloadFor(tag string) string {
	runMs := o.Run.Milliseconds()
	if o.Request.Kind == config.Service {
		runMs = -1
	}
	data, err := json.Marshal(Payload{Tag: tag, RunMs: runMs, AnswerBytes: o.AnswerBytes})
	if err != nil {
		panic("rehearsal: payload cannot be encoded: " + err.Error())
	}
	return string(data)
}

func team(name string, share int64, limit resource.Vector) config.Team {
	return config.Team{
		Share: share, Limit: limit, QueueCount: queueCount, QueueBytes: queueBytes,
		Keys: map[string]config.Key{"rehearsal": {Hash: config.HashKey(Key(name))}},
	}
}

func limit(slots int64) resource.Vector {
	return resource.Vector{MilliCPU: slots * 8 * milli, MemoryMB: slots * 32 * mbPerGB, Slots: slots}
}
