package httpapi

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
	"pollendock.example/standin/memplatform"
)

type (
	// Simulation holds everything that one stand-in process simulates.
	Simulation struct {
		Log     *memplatform.Log
		VMs     *memplatform.VMs
		Workers map[string]*memplatform.Worker
	}

	// WorkerFaultRequest sets the faults of one worker and may act on it.
	WorkerFaultRequest struct {
		Worker string                   `json:"worker"`
		Faults memplatform.WorkerFaults `json:"faults"`
		// Action is "", "reboot", "pause" or "resume".
		Action string `json:"action"`
	}

	// VMRequest changes the list of VMs.
	VMRequest struct {
		VM   platform.VM `json:"vm"`
		Gone bool        `json:"gone"`
	}

	// Report is the actual state of the simulated workers and log, for checks.
	Report struct {
		Runs []memplatform.Run `json:"runs"`
		// Capacities maps worker ids to capacities.
		Capacities map[string]resource.Vector `json:"capacities"`
		Used       resource.Vector            `json:"used"`
		Capacity   resource.Vector            `json:"capacity"`
		Appends    int64                      `json:"appends"`
		LogBytes   int64                      `json:"logBytes"`
	}
)

// ControlRoutes serves the control API, with which tests and the demo inject
// faults and read the actual state.
func ControlRoutes(e *echo.Echo, s *Simulation) {
	e.POST("/control/log", func(c echo.Context) error {
		var f memplatform.LogFaults
		if err := c.Bind(&f); err != nil {
			return reply(c, nil, badRequest(err))
		}
		s.Log.SetFaults(f)
		return c.JSON(http.StatusOK, platform.Empty{})
	})
	e.POST("/control/worker", func(c echo.Context) error {
		var r WorkerFaultRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		return reply(c, platform.Empty{}, s.changeWorker(&r))
	})
	e.POST("/control/vm", func(c echo.Context) error {
		var r VMRequest
		if err := c.Bind(&r); err != nil {
			return reply(c, nil, badRequest(err))
		}
		if r.Gone {
			s.VMs.Remove(r.VM.ID)
		} else {
			s.VMs.Put(r.VM)
		}
		return c.JSON(http.StatusOK, platform.Empty{})
	})
	e.GET("/control/report", func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.report(c.QueryParam("runs") != ""))
	})
}

func (s *Simulation) changeWorker(r *WorkerFaultRequest) error {
	w := s.Workers[r.Worker]
	if w == nil {
		return platform.Refuse(platform.BadRequest, "no worker %q", r.Worker)
	}
	w.SetFaults(r.Faults)
	switch r.Action {
	case "":
	case "reboot":
		w.Reboot()
	case "pause":
		w.Pause()
	case "resume":
		w.Resume()
	default:
		return platform.Refuse(platform.BadRequest, "no action %q", r.Action)
	}
	return nil
}

func (s *Simulation) report(withRuns bool) *Report {
	report := &Report{Capacities: map[string]resource.Vector{}}
	report.Appends, report.LogBytes = s.Log.Appends()
	for id, w := range s.Workers {
		used, capacity := w.Used()
		report.Capacities[id] = capacity
		report.Used = report.Used.Add(used)
		report.Capacity = report.Capacity.Add(capacity)
		if withRuns {
			report.Runs = append(report.Runs, w.Runs()...)
		}
	}
	return report
}
