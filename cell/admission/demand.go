package admission

import (
	"time"

	"pollendock.example/cell/resource"
)

type (
	// Demand is an amount of work: the resources that it uses, times the seconds for
	// which it uses them.
	Demand struct {
		MilliCPU float64
		MemoryMB float64
		// QuickCalls and SlowCalls are calls to the advisor.
		QuickCalls float64
		SlowCalls  float64
	}

	// component is a field of a Demand.
	component int
)

const (
	milliCPU component = iota
	memoryMB
	quickCalls
	slowCalls
)

// CapacityDemand returns the demand of work that uses the given capacity for some time.
func CapacityDemand(size resource.Vector, takes time.Duration) Demand {
	return Demand{MilliCPU: float64(size.MilliCPU), MemoryMB: float64(size.MemoryMB)}.Scale(takes.Seconds())
}

// Add returns d + o.
func (d Demand) Add(o Demand) Demand {
	return Demand{
		MilliCPU:   d.MilliCPU + o.MilliCPU,
		MemoryMB:   d.MemoryMB + o.MemoryMB,
		QuickCalls: d.QuickCalls + o.QuickCalls,
		SlowCalls:  d.SlowCalls + o.SlowCalls,
	}
}

// Scale returns d with each component multiplied by f.
func (d Demand) Scale(f float64) Demand {
	return Demand{MilliCPU: d.MilliCPU * f, MemoryMB: d.MemoryMB * f, QuickCalls: d.QuickCalls * f, SlowCalls: d.SlowCalls * f}
}

func (d Demand) get(c component) float64 {
	switch c {
	case milliCPU:
		return d.MilliCPU
	case memoryMB:
		return d.MemoryMB
	case quickCalls:
		return d.QuickCalls
	}
	return d.SlowCalls
}
