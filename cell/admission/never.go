package admission

import (
	"fmt"

	"pollendock.example/cell/resource"
)

// Part is a step of a job, as far as it matters for whether it fits.
type Part struct {
	Count int
	Size  resource.Vector
	// Gang requires that all tasks run at the same time.
	Gang bool
}

// NeverFits returns why a step can never run, or an empty string if it can: a task is
// larger than any worker, or the tasks that have to run together exceed the team's limit.
// A component of 0 in largest, or in the limit, means that there is no bound.
func NeverFits(p *Part, largest, limit resource.Vector) string {
	if !fitsBound(p.Size, largest) {
		return fmt.Sprintf("a task of %v is larger than any worker", p.Size)
	}
	together := p.Size
	if p.Gang {
		together = p.Size.Scale(int64(p.Count))
	}
	if !fitsBound(together, limit) {
		return fmt.Sprintf("tasks of %v that run together exceed the team's limit of %v", together, limit)
	}
	return ""
}

// fitsBound reports whether the size is within the components of the bound that are set.
func fitsBound(size, bound resource.Vector) bool {
	return fitsComponent(size.MilliCPU, bound.MilliCPU) &&
		fitsComponent(size.MemoryMB, bound.MemoryMB) &&
		fitsComponent(size.Accelerators, bound.Accelerators)
}

func fitsComponent(size, bound int64) bool {
	return bound <= 0 || size <= bound
}
