// Command standin runs one case of the review: entry VMs as processes of the program under
// test, and stand-ins for the platform's store, the workers, the advisor and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

type scenario struct {
	vms, workers int
	capacity     size
	// config changes the configuration of the cell before it is published.
	config func(*config)
	// prepare sets up the stand-ins before the entry VMs start.
	prepare func(c *cell)
	// play runs the case. It returns an error if the case could not run.
	play func(c *cell, cl *clients, trouble bool) error
}

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// maxTime ends a case that takes too long.
const maxTime = 115 * time.Second

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(runScenario(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runScenario(name, recordPath string, trouble bool) int {
	s, found := scenarios[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no scenario", name)
		return exitCannotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	rec.note("scenario %s, trouble %t", name, trouble)
	c, err := newCell(root, rec, s.vms, s.workers)
	if err != nil {
		return cannotRun(rec, err)
	}
	defer c.close()
	done := make(chan error, 1)
	go func() { done <- s.run(c, trouble) }()
	select {
	case err = <-done:
	case <-time.After(maxTime):
		err = fmt.Errorf("the case took longer than %v", maxTime)
	}
	if err != nil {
		return cannotRun(rec, err)
	}
	for _, b := range rec.breaches() {
		fmt.Println(b)
	}
	if len(rec.breaches()) > 0 {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func cannotRun(rec *record, err error) int {
	rec.note("cannot run: %v", err)
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	return exitCannotRun
}

func (s *scenario) run(c *cell, trouble bool) error {
	cfg := defaultConfig()
	if s.config != nil {
		s.config(&cfg)
	}
	c.publish(cfg)
	cl := newClients(c)
	c.fleet.taskTime = func(task string, _ int64) (time.Duration, string) { return cl.estimate(task), "done" }
	c.fleet.lasts = func(task string) bool {
		s := cl.stepOf(task)
		return s != nil && s.LongRunning
	}
	if s.prepare != nil {
		s.prepare(c)
	}
	if err := c.addWorkers(s.workers, s.capacity); err != nil {
		return err
	}
	if err := c.startAll(); err != nil {
		return err
	}
	// Traffic starts some seconds after the machines.
	time.Sleep(3 * time.Second)
	probe := newJob(step{Count: 1, CPU: 1000, MemMB: 100, EstimatedMs: 300})
	if !cl.submit(probe) {
		return fmt.Errorf("the first job was not accepted")
	}
	if state := cl.awaitState(probe, 8*time.Second, "completed"); state != "completed" {
		return fmt.Errorf("the first job is %q", state)
	}
	return s.play(c, cl, trouble)
}
