package rehearsal

import (
	"time"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
)

var (
	small  = api.Size{MilliCPU: 250, MemoryMB: 256}
	medium = api.Size{MilliCPU: 2000, MemoryMB: 4096}
	large  = api.Size{MilliCPU: 6000, MemoryMB: 16384}

	depots   = []string{"dm-weighers", "dm-dispatch", "dm-buyers", "dm-agents", "dm-harvest", "dm-barns"}
	agencies = []string{"sc-bhavnagar", "sc-jamnagar", "sc-okha", "sc-porbandar", "sc-veraval", "sc-mandvi"}
)

// rehearsalTeams are six teams of each user, one large in each.
func rehearsalTeams() map[string]config.Team {
	teams := map[string]config.Team{}
	for i, name := range append(append([]string{}, depots...), agencies...) {
		share := int64(1)
		slots := int64(80)
		if i%len(depots) == 0 {
			share, slots = 3, 160
		}
		teams[name] = team(name, share, limit(slots))
	}
	return teams
}

// rehearsalSources are a day of both users, drawn together.
func rehearsalSources() []source {
	var list []source
	for i, name := range depots {
		rate := 12.0
		if i == 0 {
			rate = 40
		}
		list = append(list, lotLookups(name, rate),
			source{team: name, label: "service", kind: config.Service, perSecond: 0.05, count: 1, size: medium},
		)
	}
	list = append(list,
		source{team: "dm-harvest", label: "recount", kind: config.Batch, perSecond: 0.5, count: 6, size: medium,
			run: 1500 * time.Millisecond, nonIdempotent: true, answerBytes: 300, falsehood: 4},
		source{team: "dm-barns", label: "reconcile", kind: config.Batch, perSecond: 1, count: 8, size: large,
			run: 2 * time.Second, answerBytes: 2000, falsehood: 4},
	)
	for i, name := range agencies {
		rosters, settlements := 0.12, 1.5
		if i == 0 {
			rosters, settlements = 0.3, 6
		}
		list = append(list,
			source{team: name, label: "roster", kind: config.Gang, perSecond: rosters, count: 12, size: large,
				run: 2 * time.Second, answerBytes: 1000, falsehood: 4},
			source{team: name, label: "settlement", kind: config.Batch, perSecond: settlements, count: 1, size: small,
				run: 100 * time.Millisecond, nonIdempotent: true, answerBytes: 100, falsehood: 4},
			source{team: name, label: "check", kind: config.Lookup, perSecond: 8, count: 1, size: small,
				run: 25 * time.Millisecond, deadline: 10 * time.Second, answerBytes: 400, falsehood: 4},
		)
	}
	return list
}

func lotLookups(name string, rate float64) source {
	return source{team: name, label: "lookup", kind: config.Lookup, perSecond: rate, count: 1, size: small,
		run: 20 * time.Millisecond, deadline: 10 * time.Second, answerBytes: 200, falsehood: 4}
}

// lookupSources are lookups over a cell that batch work keeps 70% busy: 280 of
// 400 slots.
func lookupSources() []source {
	var list []source
	for _, name := range depots {
		list = append(list, lotLookups(name, 50))
	}
	for _, name := range agencies {
		list = append(list, source{team: name, label: "batch", kind: config.Batch, perSecond: 23, count: 1,
			size: medium, run: 2 * time.Second, falsehood: 4})
	}
	return list
}

// deepSources are the same lookups while a batch queue of 100 times the cell's
// slots builds up in the first seconds and stays.
func deepSources() []source {
	var list []source
	for _, name := range depots {
		list = append(list, lotLookups(name, 50))
	}
	for _, name := range agencies {
		list = append(list, source{team: name, label: "batch", kind: config.Batch, perSecond: 1, count: 700,
			size: medium, run: 2 * time.Second, falsehood: 4})
	}
	return list
}

// fullTeams have shares 1 to 4 and limits that do not bind.
func fullTeams() map[string]config.Team {
	teams := map[string]config.Team{}
	for i, name := range agencies {
		teams[name] = team(name, int64(1+i%4), limit(400))
	}
	return teams
}

// fullSources fill the cell from every team, while one submits 100 times the
// tasks of the others.
func fullSources() []source {
	var list []source
	for i, name := range agencies {
		count := 10
		if i == 0 {
			count = 1000
		}
		list = append(list, source{team: name, label: "batch", kind: config.Batch, perSecond: 10, count: count,
			size: medium, run: 1500 * time.Millisecond, falsehood: 4})
	}
	return list
}

// urgentSources send urgent work into a cell full of long batch work.
func urgentSources() []source {
	return []source{
		{team: agencies[0], label: "batch", kind: config.Batch, perSecond: 40, count: 40, size: medium,
			run: 30 * time.Second, falsehood: 4},
		{team: agencies[1], label: "urgent", kind: config.Batch, perSecond: 1, count: 1, size: medium,
			run: 200 * time.Millisecond, urgent: true, falsehood: 4},
	}
}
