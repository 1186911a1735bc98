package memplatform

import (
	"context"
	"sort"
	"sync"
	"time"

	"pollendock.example/cell/platform"
)

type (
	// VMs is the platform's list of VMs, which lags behind the actual state.
	VMs struct {
		lag time.Duration

		mu      sync.Mutex
		down    bool
		changes []vmChange
	}

	vmChange struct {
		at      time.Time
		vm      platform.VM
		removed bool
	}
)

// NewVMs returns an empty list in which each change becomes visible after lag.
func NewVMs(lag time.Duration) *VMs {
	return &VMs{lag: lag}
}

// Put adds or replaces a VM.
func (v *VMs) Put(vm platform.VM) {
	v.change(vmChange{vm: vm})
}

// Remove removes a VM from the list.
func (v *VMs) Remove(id string) {
	v.change(vmChange{vm: platform.VM{ID: id}, removed: true})
}

// SetDown makes calls to List fail, or succeed again.
func (v *VMs) SetDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

func (v *VMs) change(c vmChange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.at = time.Now()
	v.changes = append(v.changes, c)
}

// List implements platform.VMList.
func (v *VMs) List(context.Context) ([]platform.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return nil, platform.Refuse(platform.Unavailable, "the list is down")
	}
	cutoff := time.Now().Add(-v.lag)
	byID := map[string]platform.VM{}
	for _, c := range v.changes {
		switch {
		case c.at.After(cutoff):
		case c.removed:
			delete(byID, c.vm.ID)
		default:
			byID[c.vm.ID] = c.vm
		}
	}
	vms := make([]platform.VM, 0, len(byID))
	for _, vm := range byID {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(a, b int) bool { return vms[a].ID < vms[b].ID })
	return vms, nil
}
