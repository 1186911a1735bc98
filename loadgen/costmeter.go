package main

import (
	"context"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"pollendock.example/loadgen/internal/report"
)

type (
	// costMeter measures the overhead of the entry VMs from their metrics.
	costMeter struct {
		entries []string
		started time.Time
		// startCPU holds the CPU seconds of each entry VM at the start.
		startCPU map[string]float64
	}

	// usage is one reading of the metrics of an entry VM.
	usage struct {
		cpuSeconds  float64
		memoryBytes float64
	}
)

const (
	cpuMetric     = "process_cpu_seconds_total"
	memoryMetric  = "process_resident_memory_bytes"
	bytesPerMB    = 1 << 20
	percent       = 100
	scrapeTimeout = 2 * time.Second
)

func newCostMeter(entries []string) *costMeter {
	return &costMeter{entries: entries, startCPU: map[string]float64{}}
}

func (c *costMeter) begin(ctx context.Context) {
	c.started = time.Now()
	for _, base := range c.entries {
		if u, err := scrape(ctx, base); err == nil {
			c.startCPU[base] = u.cpuSeconds
		}
	}
}

// end returns the cost since begin of the entry VMs that ran without
// interruption. Others are left out: they have no reading at the start or at the
// end, or their CPU time went backwards because the process was restarted.
func (c *costMeter) end(ctx context.Context) []report.Cost {
	seconds := time.Since(c.started).Seconds()
	var list []report.Cost
	for _, base := range c.entries {
		before, known := c.startCPU[base]
		u, err := scrape(ctx, base)
		if !known || err != nil || u.cpuSeconds < before {
			continue
		}
		list = append(list, report.Cost{
			Entry: base, CorePercent: percent * (u.cpuSeconds - before) / seconds, MemoryMB: u.memoryBytes / bytesPerMB,
		})
	}
	return list
}

func scrape(ctx context.Context, base string) (*usage, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	resp, err := httpGet(ctx, base+"/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, err
	}
	u := &usage{}
	if f := families[cpuMetric]; f != nil {
		u.cpuSeconds = f.GetMetric()[0].GetCounter().GetValue()
	}
	if f := families[memoryMetric]; f != nil {
		u.memoryBytes = f.GetMetric()[0].GetGauge().GetValue()
	}
	return u, nil
}
