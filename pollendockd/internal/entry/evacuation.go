package entry

import (
	"github.com/go-kit/log/level"

	"pollendock.example/cell/config"
)

// evacuated reports whether a worker gets no new work because its data centre is evacuated.
// The VM keeps its claim, and what runs on the worker is left to end.
func (c *control) evacuated(u *upstream) bool {
	return c.state.Document.IsEvacuated(u.vm.DataCentre)
}

// allEvacuated reports whether all workers with an owner are in evacuated data centres.
func (c *control) allEvacuated() bool {
	if len(c.state.Document.Evacuated) == 0 {
		return false
	}
	owned := 0
	for _, w := range c.state.Workers {
		if w.Home == "" {
			continue
		}
		if !c.state.Document.IsEvacuated(w.DataCentre) {
			return false
		}
		owned++
	}
	return owned > 0
}

// reportEvacuations logs which data centres have been evacuated and restored since an older
// document.
func (c *control) reportEvacuations(old *config.Document) {
	document := c.state.Document
	if document == old {
		return
	}
	for _, name := range document.EvacuatedSince(old) {
		level.Info(c.e.deps.Logger).Log("msg", "data centre evacuated", "dataCentre", name, "version", c.state.Number)
	}
	for _, name := range old.EvacuatedSince(document) {
		level.Info(c.e.deps.Logger).Log("msg", "data centre restored", "dataCentre", name, "version", c.state.Number)
	}
}
