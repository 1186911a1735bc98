package verdict

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
	"pollendock.example/loadgen/internal/caller"
	"pollendock.example/loadgen/internal/rehearsal"
	"pollendock.example/standin/history"
	"pollendock.example/standin/role"
	"pollendock.example/standin/web"
)

type (
	// Waiting is the waiting time of one kind of work of one team, in
	// milliseconds: for lookups the answer time beyond the run time, for
	// durable work the time from the request to the first start.
	Waiting struct {
		Label string  `json:"label"`
		Team  string  `json:"team"`
		Count int64   `json:"count"`
		P50   float64 `json:"p50Ms"`
		P99   float64 `json:"p99Ms"`
		P999  float64 `json:"p999Ms"`
		Max   float64 `json:"maxMs"`
	}

	// Nearness compares what a team held with its share.
	Nearness struct {
		Team string `json:"team"`
		// Share is the team's part of all shares, Held its part of what all
		// teams held, both 0 to 1.
		Share float64 `json:"share"`
		Held  float64 `json:"held"`
		// Off is Held over Share, less 1.
		Off float64 `json:"off"`
	}

	// Cost is what one entry VM spent.
	Cost struct {
		Entry string `json:"entry"`
		// CorePercent is processor time in percent of a core.
		CorePercent float64 `json:"corePercent"`
		// MemoryMB is the resident memory at the end.
		MemoryMB float64 `json:"memoryMb"`
	}

	// Results is everything that a run shows.
	Results struct {
		Mix      string     `json:"mix"`
		Seed     uint64     `json:"seed"`
		Seconds  float64    `json:"seconds"`
		Requests int        `json:"requests"`
		Answers  []Answers  `json:"answers"`
		Waiting  []Waiting  `json:"waiting"`
		Packing  float64    `json:"packing"`
		Costs    []Cost     `json:"costs"`
		Appends  float64    `json:"appendsPerSecond"`
		Nearness []Nearness `json:"nearness"`
		Repeated int        `json:"repeatedByCallers"`
		Breaches []Breach   `json:"breaches"`
	}

	// Answers counts the final answers of a kind of work.
	Answers struct {
		Label string `json:"label"`
		Name  string `json:"name"`
		Count int    `json:"count"`
	}
)

const (
	maxMicros   = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
	microsPerMs = 1000.0
	allTeams    = "(all)"
)

// Measure fills in what the stories and the report show.
func (r *Results) Measure(mix *rehearsal.Mix, stories []*caller.Call, report *web.Report, from, to time.Time) {
	r.Requests = len(stories)
	r.Answers = countAnswers(stories)
	r.Waiting = waitingTimes(stories, report.Runs)
	r.Packing = packing(report, from, to)
	r.Nearness = nearness(mix, report, from, to)
	for _, s := range stories {
		r.Repeated += max(0, len(s.Attempts)-1)
	}
}

func countAnswers(stories []*caller.Call) []Answers {
	counts := map[Answers]int{}
	for _, s := range stories {
		a := Answers{Label: s.Arrival.Label, Name: "unanswered"}
		if s.Final != nil {
			a.Name = s.Final.Name
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

// waitingTimes returns histograms by label, and by label and team.
func waitingTimes(stories []*caller.Call, runs []role.Run) []Waiting {
	first := map[string]time.Time{}
	for _, r := range runs {
		if at, known := first[r.Tag]; !known || r.Start.Before(at) {
			first[r.Tag] = r.Start
		}
	}
	type key struct{ label, team string }
	histograms := map[key]*hdrhistogram.Histogram{}
	for _, s := range stories {
		wait, known := waitOf(s, first)
		if !known {
			continue
		}
		for _, k := range []key{{s.Arrival.Label, allTeams}, {s.Arrival.Label, s.Arrival.Team}} {
			if histograms[k] == nil {
				histograms[k] = hdrhistogram.New(1, maxMicros, digits)
			}
			_ = histograms[k].RecordValue(min(max(wait.Microseconds(), 1), maxMicros))
		}
	}
	var list []Waiting
	for k, h := range histograms {
		list = append(list, Waiting{
			Label: k.label, Team: k.team, Count: h.TotalCount(),
			P50: millis(h, 50), P99: millis(h, 99), P999: millis(h, 99.9), Max: float64(h.Max()) / microsPerMs,
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

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / microsPerMs
}

func waitOf(s *caller.Call, first map[string]time.Time) (time.Duration, bool) {
	if len(s.Attempts) == 0 || s.Final == nil {
		return 0, false
	}
	sent := s.Attempts[0].Sent
	if s.Arrival.Request.Kind != config.Lookup {
		at, known := first[s.Arrival.Tag]
		return at.Sub(sent), known
	}
	last := s.Attempts[len(s.Attempts)-1]
	if s.Final.Truth != api.Ran {
		return 0, false
	}
	return last.Sent.Add(last.Latency).Sub(sent) - s.Arrival.Run, true
}

// held integrates the sizes of runs between two times, by team.
func held(runs []role.Run, from, to time.Time) map[string][]float64 {
	sums := map[string][]float64{}
	for _, r := range runs {
		start, end := r.Start, history.EndOf(r)
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
		if sums[r.Team] == nil {
			sums[r.Team] = make([]float64, 3)
		}
		sums[r.Team][0] += seconds * float64(r.Size.MilliCPU)
		sums[r.Team][1] += seconds * float64(r.Size.MemoryMB)
		sums[r.Team][2] += seconds * float64(r.Size.Slots)
	}
	return sums
}

// dominant returns the largest part of the cell's resource-seconds.
func dominant(sum []float64, capacity resource.Vector, seconds float64) float64 {
	parts := []float64{
		sum[0] / float64(max(1, capacity.MilliCPU)),
		sum[1] / float64(max(1, capacity.MemoryMB)),
		sum[2] / float64(max(1, capacity.Slots)),
	}
	return max(parts[0], parts[1], parts[2]) / seconds
}

// packing is the dominant part of the cell in use, on average.
func packing(report *web.Report, from, to time.Time) float64 {
	all := make([]float64, 3)
	for _, sum := range held(report.Runs, from, to) {
		for i := range all {
			all[i] += sum[i]
		}
	}
	return dominant(all, report.Capacity, to.Sub(from).Seconds())
}

func nearness(mix *rehearsal.Mix, report *web.Report, from, to time.Time) []Nearness {
	sums := held(report.Runs, from, to)
	shares, parts := 0.0, 0.0
	byTeam := map[string]float64{}
	for name, t := range mix.Teams {
		shares += float64(t.Share)
		if sum := sums[name]; sum != nil {
			byTeam[name] = dominant(sum, report.Capacity, to.Sub(from).Seconds())
			parts += byTeam[name]
		}
	}
	var list []Nearness
	for name, t := range mix.Teams {
		n := Nearness{Team: name, Share: float64(t.Share) / shares}
		if parts > 0 {
			n.Held = byTeam[name] / parts
		}
		n.Off = n.Held/n.Share - 1
		list = append(list, n)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Team < list[b].Team })
	return list
}

// Print writes the results as tables.
func (r *Results) Print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	line("mix %s, seed %d, %.0f s, %d requests, %d repeated by callers after a cut", r.Mix, r.Seed, r.Seconds, r.Requests, r.Repeated)
	line("\nanswers\t\tcount\t")
	for _, a := range r.Answers {
		line("%s\t%s\t%d\t", a.Label, a.Name, a.Count)
	}
	line("\nwaiting ms\tteam\tcount\tp50\tp99\tp99.9\tmax\t")
	for _, v := range r.Waiting {
		if v.Team == allTeams {
			line("%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t", v.Label, v.Team, v.Count, v.P50, v.P99, v.P999, v.Max)
		}
	}
	line("\npacking\t%.1f %% of the cell in use\t", 100*r.Packing)
	line("\ncontrol cost\tcore %%\tMB\t")
	for _, c := range r.Costs {
		line("%s\t%.1f\t%.0f\t", c.Entry, c.CorePercent, c.MemoryMB)
	}
	line("log\t%.1f appends/s\t", r.Appends)
	line("\nteam\tshare\theld\toff\t")
	for _, n := range r.Nearness {
		line("%s\t%.3f\t%.3f\t%+.1f %%\t", n.Team, n.Share, n.Held, 100*n.Off)
	}
	line("\npromises\t%d breaches\t", len(r.Breaches))
	for _, b := range r.Breaches {
		line("BREACH\t%s: %s", b.Promise, b.Detail)
	}
	_ = tw.Flush()
}
