// Command soak runs entry VMs as processes against stand-ins for the users'
// platform, brings faults about from outside, and checks the promises that
// callers and workers can see. Its faults are drawn from a seed.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/alexflint/go-arg"
)

type (
	options struct {
		Program string        `arg:"--program,required" help:"path of pollendockd"`
		Seed    uint64        `arg:"--seed" default:"1"`
		Length  time.Duration `arg:"--length" default:"20s" help:"time with faults"`
		Entries int           `arg:"--entries" default:"4"`
		Workers int           `arg:"--workers" default:"6"`
		Rate    int           `arg:"--rate" default:"6" help:"jobs a second"`
		Net     int           `arg:"--net" default:"1" help:"entry VMs listen on 127.0.NET.*, so that several soaks can run"`
		Keep    string        `arg:"--keep" help:"directory for the logs of the entry VMs; a temporary one is removed"`
	}

	// verdict collects breaches.
	verdict struct {
		mu       sync.Mutex
		breaches []breach
	}
)

const (
	// settle is how long after the last fault all accepted jobs may take.
	settle      = 45 * time.Second
	warmUp      = 2 * time.Second
	settlePoll  = 250 * time.Millisecond
	exitBreach  = 1
	exitTrouble = 2
)

func main() {
	var opt options
	arg.MustParse(&opt)
	breaches, err := soak(&opt)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitTrouble)
	}
	for _, b := range breaches {
		fmt.Println("breach:", b)
	}
	if len(breaches) > 0 {
		os.Exit(exitBreach)
	}
}

func soak(opt *options) ([]breach, error) {
	dir := opt.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := newCell(ctx, opt, dir)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	time.Sleep(warmUp)
	v := &verdict{}
	var callers, troubles sync.WaitGroup
	end := time.Now().Add(opt.Length)
	callers.Go(func() { c.load(ctx, opt, end, &callers, v) })
	troubles.Go(func() { c.trouble(opt, end, &troubles) })
	time.Sleep(opt.Length)
	troubles.Wait()
	c.await(v)
	cancel()
	callers.Wait()
	c.judge(v)
	fmt.Printf("seed %d: %d jobs, %d accepted, %d breaches\n", opt.Seed, len(c.jobs), c.acceptedJobs(), len(v.breaches))
	return v.breaches, nil
}

// load hands jobs in at a steady rate.
func (c *cell) load(ctx context.Context, opt *options, end time.Time, callers *sync.WaitGroup, v *verdict) {
	r := rand.New(rand.NewPCG(opt.Seed, 1))
	for n := 0; time.Now().Before(end); n++ {
		j := newCaller(newID(n, opt.Seed), r)
		c.mu.Lock()
		c.jobs[j.id] = j
		c.mu.Unlock()
		seed := r.Uint64()
		callers.Go(func() { j.run(ctx, c, seed, v.add) })
		time.Sleep(time.Second / time.Duration(opt.Rate))
	}
}

// trouble brings faults about, often several at a time.
func (c *cell) trouble(opt *options, end time.Time, troubles *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(opt.Seed, 2))
	for time.Now().Before(end) {
		f := faults[r.IntN(len(faults))]
		own := rand.New(rand.NewPCG(r.Uint64(), 3))
		fmt.Printf("%s before the end: %s\n", time.Until(end).Round(time.Millisecond), f.name)
		troubles.Go(func() { f.strike(c, own) })
		time.Sleep(time.Duration(200+r.IntN(1800)) * time.Millisecond)
	}
}

// await gives accepted jobs their time once all troubles are over.
func (c *cell) await(v *verdict) {
	deadline := time.Now().Add(settle)
	for time.Now().Before(deadline) {
		if len(c.open()) == 0 {
			return
		}
		time.Sleep(settlePoll)
	}
	for _, j := range c.open() {
		v.add(breach(fmt.Sprintf("job %s was accepted and is %q, %v after the last fault", j.id, j.state, settle)))
	}
}

// open returns the accepted jobs that have not been shown as completed.
func (c *cell) open() []*caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*caller
	for _, j := range c.jobs {
		if !j.acceptedAt().IsZero() && !j.ended() {
			list = append(list, j)
		}
	}
	return list
}

// judge adds what the workers saw.
func (c *cell) judge(v *verdict) {
	for _, b := range c.fleet.Breaches() {
		v.add(breach(b))
	}
	started := c.fleet.Started()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.sent > 0 && j.refused == j.sent && started[id] {
			v.add(breach(fmt.Sprintf("job %s was refused each time, and was started", id)))
		}
	}
}

func (c *cell) acceptedJobs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, j := range c.jobs {
		if !j.acceptedAt().IsZero() {
			n++
		}
	}
	return n
}

func (v *verdict) add(b breach) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.breaches = append(v.breaches, b)
}
