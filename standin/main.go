// Command standin simulates the platform for tests and the demo: the log, the
// list of VMs and a number of workers, each on its own port.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"pollendock.example/cell/platform"
	"pollendock.example/cell/resource"
	"pollendock.example/standin/httpapi"
	"pollendock.example/standin/memplatform"
)

type (
	options struct {
		Ctl              *ctl           `arg:"subcommand:ctl" help:"change a running stand-in"`
		Listen           netip.AddrPort `arg:"--listen" default:"127.0.0.1:7100" help:"address of the log, the list and the controls"`
		FirstWorker      netip.AddrPort `arg:"--first-worker" default:"127.0.0.1:7200" help:"address of the first worker; the others follow"`
		Workers          int            `arg:"--workers" default:"50"`
		DataCentres      int            `arg:"--data-centres" default:"3"`
		RackSize         int            `arg:"--rack-size" default:"8"`
		Cores            int64          `arg:"--cores" default:"64"`
		MemoryGB         int64          `arg:"--memory-gb" default:"256"`
		Accelerators     int64          `arg:"--accelerators" default:"0"`
		Slots            int64          `arg:"--slots" default:"8"`
		Connections      int            `arg:"--connections" default:"60" help:"connections that a worker takes"`
		AppendsPerSecond int            `arg:"--appends-per-second" default:"400"`
		Retention        time.Duration  `arg:"--retention" default:"1h"`
		Lag              time.Duration  `arg:"--lag" default:"1s" help:"lag of the list of VMs"`
	}
)

const (
	milliPerCore    = 1000
	mbPerGB         = 1024
	shutdownTimeout = 2 * time.Second
)

func main() {
	var opt options
	arg.MustParse(&opt)
	work := func() error { return serve(&opt) }
	if opt.Ctl != nil {
		work = opt.Ctl.run
	}
	if err := work(); err != nil {
		var signal run.SignalError
		if errors.As(err, &signal) {
			return
		}
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func serve(opt *options) error {
	sim := &httpapi.Simulation{
		Log:     memplatform.NewLog(memplatform.LogOptions{AppendsPerSecond: opt.AppendsPerSecond, Retention: opt.Retention}),
		VMs:     memplatform.NewVMs(opt.Lag),
		Workers: map[string]*memplatform.Worker{},
	}
	var g run.Group
	front := httpapi.NewEcho()
	httpapi.LogRoutes(front, sim.Log)
	httpapi.VMRoutes(front, sim.VMs)
	httpapi.ControlRoutes(front, sim)
	if err := addServer(&g, front, opt.Listen, 0); err != nil {
		return err
	}
	for i := range opt.Workers {
		if err := addWorker(&g, sim, opt, i); err != nil {
			return err
		}
	}
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	return g.Run()
}

func addWorker(g *run.Group, sim *httpapi.Simulation, opt *options, i int) error {
	capacity := resource.Vector{
		MilliCPU:     opt.Cores * milliPerCore,
		MemoryMB:     opt.MemoryGB * mbPerGB,
		Accelerators: opt.Accelerators,
		Slots:        opt.Slots,
	}
	vm := platform.VM{
		ID:         fmt.Sprintf("worker-%03d", i),
		Role:       platform.WorkerRole,
		Addr:       netip.AddrPortFrom(opt.FirstWorker.Addr(), opt.FirstWorker.Port()+uint16(i)),
		DataCentre: fmt.Sprintf("dc-%d", i%opt.DataCentres),
		Rack:       fmt.Sprintf("rack-%d", i/opt.RackSize),
	}
	w := memplatform.NewWorker(vm.ID, capacity)
	sim.Workers[vm.ID] = w
	sim.VMs.Put(vm)
	e := httpapi.NewEcho()
	httpapi.WorkerRoutes(e, w)
	return addServer(g, e, vm.Addr, opt.Connections)
}

func addServer(g *run.Group, e *echo.Echo, addr netip.AddrPort, conns int) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	if conns > 0 {
		ln = httpapi.LimitListener(ln, conns)
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: shutdownTimeout}
	g.Add(func() error {
		return server.Serve(ln)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	return nil
}
