package main

import (
	"context"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"pollendock.example/loadgen/internal/verdict"
)

type (
	// costs reads what the entry VMs spend from their metrics.
	costs struct {
		entries []string
		at      time.Time
		cpu     map[string]float64
	}

	// spent is a reading of one entry VM.
	spent struct {
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

func newCosts(entries []string) *costs {
	return &costs{entries: entries, cpu: map[string]float64{}}
}

func (c *costs) begin(ctx context.Context) {
	c.at = time.Now()
	for _, base := range c.entries {
		if s, err := scrape(ctx, base); err == nil {
			c.cpu[base] = s.cpuSeconds
		}
	}
}

// end returns the cost since begin of the entry VMs that ran all the time.
func (c *costs) end(ctx context.Context) []verdict.Cost {
	seconds := time.Since(c.at).Seconds()
	var list []verdict.Cost
	for _, base := range c.entries {
		before, known := c.cpu[base]
		s, err := scrape(ctx, base)
		if !known || err != nil || s.cpuSeconds < before {
			continue
		}
		list = append(list, verdict.Cost{
			Entry: base, CorePercent: percent * (s.cpuSeconds - before) / seconds, MemoryMB: s.memoryBytes / bytesPerMB,
		})
	}
	return list
}

func scrape(ctx context.Context, base string) (*spent, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	resp, err := get(ctx, base+"/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, err
	}
	s := &spent{}
	if f := families[cpuMetric]; f != nil {
		s.cpuSeconds = f.GetMetric()[0].GetCounter().GetValue()
	}
	if f := families[memoryMetric]; f != nil {
		s.memoryBytes = f.GetMetric()[0].GetGauge().GetValue()
	}
	return s, nil
}
