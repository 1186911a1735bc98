// Package resource defines resource vectors: task sizes, worker capacities and
// limits.
package resource

import "fmt"

type (
	// Vector is an amount of each kind of resource.
	Vector struct {
		// MilliCPU is CPU time in thousandths of a core.
		MilliCPU int64 `json:"milliCpu"`
		// MemoryMB is memory in MiB.
		MemoryMB int64 `json:"memoryMb"`
		// Accelerators is a number of whole devices.
		Accelerators int64 `json:"accelerators"`
		// Slots is a number of task slots.
		Slots int64 `json:"slots"`
	}

	// pair holds the same component of two vectors.
	pair struct {
		name  string
		part  int64
		whole int64
	}
)

const (
	// MaxComponent is the maximum of each component. It is low enough that sums
	// over a cell of a million workers cannot overflow.
	MaxComponent = int64(1) << 40
)

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU + o.MilliCPU,
		MemoryMB:     v.MemoryMB + o.MemoryMB,
		Accelerators: v.Accelerators + o.Accelerators,
		Slots:        v.Slots + o.Slots,
	}
}

// Sub returns v - o.
func (v Vector) Sub(o Vector) Vector {
	return v.Add(o.Scale(-1))
}

// Scale returns v with each component multiplied by n.
func (v Vector) Scale(n int64) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU * n,
		MemoryMB:     v.MemoryMB * n,
		Accelerators: v.Accelerators * n,
		Slots:        v.Slots * n,
	}
}

// Min returns the component-wise minimum of v and o.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		MilliCPU:     min(v.MilliCPU, o.MilliCPU),
		MemoryMB:     min(v.MemoryMB, o.MemoryMB),
		Accelerators: min(v.Accelerators, o.Accelerators),
		Slots:        min(v.Slots, o.Slots),
	}
}

// Max returns the component-wise maximum of v and o.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		MilliCPU:     max(v.MilliCPU, o.MilliCPU),
		MemoryMB:     max(v.MemoryMB, o.MemoryMB),
		Accelerators: max(v.Accelerators, o.Accelerators),
		Slots:        max(v.Slots, o.Slots),
	}
}

// Fits reports whether v is at most capacity in each component.
func (v Vector) Fits(capacity Vector) bool {
	return v.MilliCPU <= capacity.MilliCPU &&
		v.MemoryMB <= capacity.MemoryMB &&
		v.Accelerators <= capacity.Accelerators &&
		v.Slots <= capacity.Slots
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool {
	return v == Vector{}
}

// Count returns how many times v fits into capacity, at most limit.
func (v Vector) Count(capacity Vector, limit int64) int64 {
	n := limit
	for _, p := range v.pairs(capacity) {
		if p.part > 0 {
			n = min(n, max(p.whole, 0)/p.part)
		}
	}
	return n
}

// Dominant returns the dominant share of v in whole: the largest fraction that v
// takes of any component. Components that are not positive in whole are ignored.
func (v Vector) Dominant(whole Vector) float64 {
	largest := 0.0
	for _, p := range v.pairs(whole) {
		if p.whole > 0 {
			largest = max(largest, float64(p.part)/float64(p.whole))
		}
	}
	return largest
}

// Validate returns an error if a component is negative or exceeds MaxComponent.
func (v Vector) Validate() error {
	for _, p := range v.pairs(v) {
		if p.part < 0 || p.part > MaxComponent {
			return fmt.Errorf("%s is %d, outside 0 to %d", p.name, p.part, MaxComponent)
		}
	}
	return nil
}

// String returns a short form such as "1500m/2048MB/0acc/1slot".
func (v Vector) String() string {
	return fmt.Sprintf("%dm/%dMB/%dacc/%dslot", v.MilliCPU, v.MemoryMB, v.Accelerators, v.Slots)
}

func (v Vector) pairs(o Vector) [4]pair {
	return [4]pair{
		{"milliCpu", v.MilliCPU, o.MilliCPU},
		{"memoryMb", v.MemoryMB, o.MemoryMB},
		{"accelerators", v.Accelerators, o.Accelerators},
		{"slots", v.Slots, o.Slots},
	}
}
