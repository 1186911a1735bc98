package workload

import (
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
)

var (
	small  = api.Size{MilliCPU: 250, MemoryMB: 256}
	medium = api.Size{MilliCPU: 2000, MemoryMB: 4096}
	large  = api.Size{MilliCPU: 6000, MemoryMB: 16384}

	dmTeams = []string{"dm-weighers", "dm-dispatch", "dm-buyers", "dm-agents", "dm-harvest", "dm-barns"}
	scTeams = []string{"sc-bhavnagar", "sc-jamnagar", "sc-okha", "sc-porbandar", "sc-veraval", "sc-mandvi"}
)

// rehearsalTeams returns six teams for each of the two customers, the first of
// each with three times the share and twice the limit of the others.
func rehearsalTeams() map[string]config.Team {
	teams := map[string]config.Team{}
	for i, name := range append(append([]string{}, dmTeams...), scTeams...) {
		share := int64(1)
		slots := int64(80)
		if i%len(dmTeams) == 0 {
			share, slots = 3, 160
		}
		teams[name] = newTeam(name, share, slotLimit(slots))
	}
	return teams
}

// rehearsalSources returns the workloads of a day of both customers, compressed
// into one run.
func rehearsalSources() []source {
	var list []source
	for i, name := range dmTeams {
		rate := 12.0
		if i == 0 {
			rate = 40
		}
		list = append(list, newLookupSource(name, rate),
			source{team: name, label: "service", kind: config.Service, perSecond: 0.05, count: 1, size: medium},
		)
	}
	list = append(list,
		source{team: "dm-harvest", label: "recount", kind: config.Batch, perSecond: 0.5, count: 6, size: medium,
			run: 1500 * time.Millisecond, nonIdempotent: true, answerBytes: 300, maxEstimateError: 4},
		source{team: "dm-barns", label: "reconcile", kind: config.Batch, perSecond: 1, count: 8, size: large,
			run: 2 * time.Second, answerBytes: 2000, maxEstimateError: 4},
	)
	for i, name := range scTeams {
		rosters, settlements := 0.12, 1.5
		if i == 0 {
			rosters, settlements = 0.3, 6
		}
		list = append(list,
			source{team: name, label: "roster", kind: config.Gang, perSecond: rosters, count: 12, size: large,
				run: 2 * time.Second, answerBytes: 1000, maxEstimateError: 4},
			source{team: name, label: "settlement", kind: config.Batch, perSecond: settlements, count: 1, size: small,
				run: 100 * time.Millisecond, nonIdempotent: true, answerBytes: 100, maxEstimateError: 4},
			source{team: name, label: "check", kind: config.Lookup, perSecond: 8, count: 1, size: small,
				run: 25 * time.Millisecond, deadline: 10 * time.Second, answerBytes: 400, maxEstimateError: 4},
		)
	}
	return list
}

func newLookupSource(name string, rate float64) source {
	return source{team: name, label: "lookup", kind: config.Lookup, perSecond: rate, count: 1, size: small,
		run: 20 * time.Millisecond, deadline: 10 * time.Second, answerBytes: 200, maxEstimateError: 4}
}

// lookupSources returns lookups on top of batch work that keeps the cell 70%
// busy: 280 of 400 slots.
func lookupSources() []source {
	var list []source
	for _, name := range dmTeams {
		list = append(list, newLookupSource(name, 50))
	}
	for _, name := range scTeams {
		list = append(list, source{team: name, label: "batch", kind: config.Batch, perSecond: 23, count: 1,
			size: medium, run: 2 * time.Second, maxEstimateError: 4})
	}
	return list
}

// deepSources returns the same lookups while a backlog of batch tasks, 100 times
// the cell's slots, builds up in the first seconds and remains.
func deepSources() []source {
	var list []source
	for _, name := range dmTeams {
		list = append(list, newLookupSource(name, 50))
	}
	for _, name := range scTeams {
		list = append(list, source{team: name, label: "batch", kind: config.Batch, perSecond: 1, count: 700,
			size: medium, run: 2 * time.Second, maxEstimateError: 4})
	}
	return list
}

// fullTeams returns teams with shares 1 to 4 and limits that never constrain
// them.
func fullTeams() map[string]config.Team {
	teams := map[string]config.Team{}
	for i, name := range scTeams {
		teams[name] = newTeam(name, int64(1+i%4), slotLimit(400))
	}
	return teams
}

// fullSources returns batch work of all teams that fills the cell. One team
// submits 100 times as many tasks as each of the others.
func fullSources() []source {
	var list []source
	for i, name := range scTeams {
		count := 10
		if i == 0 {
			count = 1000
		}
		list = append(list, source{team: name, label: "batch", kind: config.Batch, perSecond: 10, count: count,
			size: medium, run: 1500 * time.Millisecond, maxEstimateError: 4})
	}
	return list
}

// urgentSources returns urgent work for a cell that is full of long batch tasks.
func urgentSources() []source {
	return []source{
		{team: scTeams[0], label: "batch", kind: config.Batch, perSecond: 40, count: 40, size: medium,
			run: 30 * time.Second, maxEstimateError: 4},
		{team: scTeams[1], label: "urgent", kind: config.Batch, perSecond: 1, count: 1, size: medium,
			run: 200 * time.Millisecond, urgent: true, maxEstimateError: 4},
	}
}
