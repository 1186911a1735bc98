package report

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollendock.example/cell/api"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
	"pollendock.example/loadgen/internal/client"
	"pollendock.example/loadgen/internal/workload"
	"pollendock.example/standin/httpapi"
	"pollendock.example/standin/invariant"
	"pollendock.example/standin/memplatform"
)

type (
	// WaitStats summarizes the waiting times of one workload of one team, in
	// milliseconds. The waiting time of a lookup is its latency less its run
	// time; that of durable work is the time from the request to the first start.
	WaitStats struct {
		Label string  `json:"label"`
		Team  string  `json:"team"`
		Count int64   `json:"count"`
		P50   float64 `json:"p50Ms"`
		P99   float64 `json:"p99Ms"`
		P999  float64 `json:"p999Ms"`
		Max   float64 `json:"maxMs"`
	}

	// ShareUsage compares a team's use of the cell with its fair share.
	ShareUsage struct {
		Team string `json:"team"`
		// Share is the team's fraction of all shares, and Used its fraction of
		// what all teams used, both from 0 to 1.
		Share float64 `json:"share"`
		Used  float64 `json:"held"`
		// Deviation is Used/Share - 1.
		Deviation float64 `json:"off"`
	}

	// Cost is the overhead of one entry VM.
	Cost struct {
		Entry string `json:"entry"`
		// CorePercent is CPU time in percent of one core.
		CorePercent float64 `json:"corePercent"`
		// MemoryMB is the resident memory at the end of the run.
		MemoryMB float64 `json:"memoryMb"`
	}

	// Results is the outcome of a run.
	Results struct {
		Mix         string       `json:"mix"`
		Seed        uint64       `json:"seed"`
		Seconds     float64      `json:"seconds"`
		Requests    int          `json:"requests"`
		Answers     []Answers    `json:"answers"`
		WaitStats   []WaitStats  `json:"waiting"`
		Utilization float64      `json:"packing"`
		Costs       []Cost       `json:"costs"`
		Appends     float64      `json:"appendsPerSecond"`
		ShareUsage  []ShareUsage `json:"nearness"`
		Retries     int          `json:"repeatedByCallers"`
		Violations  []Violation  `json:"breaches"`
	}

	// Answers counts the final answers of one kind to one workload.
	Answers struct {
		Label string `json:"label"`
		Name  string `json:"name"`
		Count int    `json:"count"`
	}
)

const (
	maxWaitMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	microsPerMs       = 1000.0
	allTeams          = "(all)"
)

// Measure fills in the figures that follow from the calls and the stand-in's
// report. Utilization and use of shares are computed over the time between from
// and to.
func (r *Results) Measure(mix *workload.Mix, calls []*client.Call, standinReport *httpapi.Report, from, to time.Time) {
	r.Requests = len(calls)
	r.Answers = countAnswers(calls)
	r.WaitStats = waitStats(calls, standinReport.Runs)
	r.Utilization = utilization(standinReport, from, to)
	r.ShareUsage = shareUsage(mix, standinReport, from, to)
	for _, c := range calls {
		r.Retries += max(0, len(c.Attempts)-1)
	}
}

func countAnswers(calls []*client.Call) []Answers {
	counts := map[Answers]int{}
	for _, c := range calls {
		a := Answers{Label: c.Arrival.Label, Name: "unanswered"}
		if c.Final != nil {
			a.Name = c.Final.Name
		}
		counts[a]++
	}
	var list []Answers
	for a, n := range counts {
		a.Count = n
		list = append(list, a)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Label != list[b].Label {
			return list[a].Label < list[b].Label
		}
		return list[a].Name < list[b].Name
	})
	return list
}

// waitStats returns waiting times by label, and by label and team.
func waitStats(calls []*client.Call, runs []memplatform.Run) []WaitStats {
	firstStart := map[string]time.Time{}
	for _, r := range runs {
		if at, known := firstStart[r.Tag]; !known || r.Start.Before(at) {
			firstStart[r.Tag] = r.Start
		}
	}
	type key struct{ label, team string }
	histograms := map[key]*hdrhistogram.Histogram{}
	for _, c := range calls {
		wait, known := waitTime(c, firstStart)
		if !known {
			continue
		}
		for _, k := range []key{{c.Arrival.Label, allTeams}, {c.Arrival.Label, c.Arrival.Team}} {
			if histograms[k] == nil {
				histograms[k] = hdrhistogram.New(1, maxWaitMicros, significantDigits)
			}
			_ = histograms[k].RecordValue(min(max(wait.Microseconds(), 1), maxWaitMicros))
		}
	}
	var list []WaitStats
	for k, h := range histograms {
		list = append(list, WaitStats{
			Label: k.label, Team: k.team, Count: h.TotalCount(),
			P50: quantileMs(h, 50), P99: quantileMs(h, 99), P999: quantileMs(h, 99.9), Max: float64(h.Max()) / microsPerMs,
		})
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Label != list[b].Label {
			return list[a].Label < list[b].Label
		}
		return list[a].Team < list[b].Team
	})
	return list
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsPerMs
}

// waitTime returns the waiting time of a call. It is unknown for calls without
// an answer, lookups that did not run, and work that never started.
func waitTime(c *client.Call, firstStart map[string]time.Time) (time.Duration, bool) {
	if len(c.Attempts) == 0 || c.Final == nil {
		return 0, false
	}
	sent := c.Attempts[0].Sent
	if c.Arrival.Request.Kind != config.Lookup {
		at, known := firstStart[c.Arrival.Tag]
		return at.Sub(sent), known
	}
	last := c.Attempts[len(c.Attempts)-1]
	if c.Final.Truth != api.Ran {
		return 0, false
	}
	return last.Sent.Add(last.Latency).Sub(sent) - c.Arrival.Run, true
}

// resourceSeconds integrates the sizes of runs over the time between from and
// to, by team. The components are milli-CPU, memory and slots.
func resourceSeconds(runs []memplatform.Run, from, to time.Time) map[string][]float64 {
	usage := map[string][]float64{}
	for _, r := range runs {
		start, end := r.Start, invariant.EndOf(r)
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		if !end.After(start) {
			continue
		}
		seconds := end.Sub(start).Seconds()
		if usage[r.Team] == nil {
			usage[r.Team] = make([]float64, 3)
		}
		usage[r.Team][0] += seconds * float64(r.Size.MilliCPU)
		usage[r.Team][1] += seconds * float64(r.Size.MemoryMB)
		usage[r.Team][2] += seconds * float64(r.Size.Slots)
	}
	return usage
}

// dominantShare returns the largest fraction of the cell's resource-seconds over
// all resources, as in dominant resource fairness.
func dominantShare(sum []float64, capacity resource.Vector, seconds float64) float64 {
	parts := []float64{
		sum[0] / float64(max(1, capacity.MilliCPU)),
		sum[1] / float64(max(1, capacity.MemoryMB)),
		sum[2] / float64(max(1, capacity.Slots)),
	}
	return max(parts[0], parts[1], parts[2]) / seconds
}

// utilization returns the dominant share of the cell in use, averaged over time.
func utilization(standinReport *httpapi.Report, from, to time.Time) float64 {
	all := make([]float64, 3)
	for _, sum := range resourceSeconds(standinReport.Runs, from, to) {
		for i := range all {
			all[i] += sum[i]
		}
	}
	return dominantShare(all, standinReport.Capacity, to.Sub(from).Seconds())
}

func shareUsage(mix *workload.Mix, standinReport *httpapi.Report, from, to time.Time) []ShareUsage {
	usage := resourceSeconds(standinReport.Runs, from, to)
	shares, parts := 0.0, 0.0
	byTeam := map[string]float64{}
	for name, t := range mix.Teams {
		shares += float64(t.Share)
		if sum := usage[name]; sum != nil {
			byTeam[name] = dominantShare(sum, standinReport.Capacity, to.Sub(from).Seconds())
			parts += byTeam[name]
		}
	}
	var list []ShareUsage
	for name, t := range mix.Teams {
		u := ShareUsage{Team: name, Share: float64(t.Share) / shares}
		if parts > 0 {
			u.Used = byTeam[name] / parts
		}
		u.Deviation = u.Used/u.Share - 1
		list = append(list, u)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Team < list[b].Team })
	return list
}

// Print writes the results as tables.
func (r *Results) Print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	line("mix %s, seed %d, %.0f s, %d requests, %d retries by callers", r.Mix, r.Seed, r.Seconds, r.Requests, r.Retries)
	line("\nanswers\t\tcount\t")
	for _, a := range r.Answers {
		line("%s\t%s\t%d\t", a.Label, a.Name, a.Count)
	}
	line("\nwaiting ms\tteam\tcount\tp50\tp99\tp99.9\tmax\t")
	for _, v := range r.WaitStats {
		if v.Team == allTeams {
			line("%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t", v.Label, v.Team, v.Count, v.P50, v.P99, v.P999, v.Max)
		}
	}
	line("\nutilization\t%.1f %% of the cell\t", 100*r.Utilization)
	line("\nscheduler cost\tcore %%\tMB\t")
	for _, c := range r.Costs {
		line("%s\t%.1f\t%.0f\t", c.Entry, c.CorePercent, c.MemoryMB)
	}
	line("log\t%.1f appends/s\t", r.Appends)
	line("\nteam\tshare\tused\tdeviation\t")
	for _, u := range r.ShareUsage {
		line("%s\t%.3f\t%.3f\t%+.1f %%\t", u.Team, u.Share, u.Used, 100*u.Deviation)
	}
	line("\nguarantees\t%d violations\t", len(r.Violations))
	for _, violation := range r.Violations {
		line("VIOLATION\t%s: %s", violation.Guarantee, violation.Detail)
	}
	_ = tw.Flush()
}
