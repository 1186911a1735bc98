// Command soak runs entry VMs as processes against a simulated platform, injects
// faults from outside, and checks the guarantees that callers and workers can
// observe. The faults are drawn at random from a seed.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/alexflint/go-arg"
)

type (
	options struct {
		Program string        `arg:"--program,required" help:"path of pollendockd"`
		Seed    uint64        `arg:"--seed" default:"1"`
		Length  time.Duration `arg:"--length" default:"20s" help:"time with faults"`
		Entries int           `arg:"--entries" help:"entry VMs; default 4, or the site's"`
		Workers int           `arg:"--workers" help:"workers; default 6, or the site's"`
		Rate    int           `arg:"--rate" help:"jobs a second; default 6, or the site's"`
		Advice  bool          `arg:"--advice" help:"jobs of the small site, whose starts need the advisor's tickets"`
		Site    string        `arg:"--site" help:"small, large or full: its jobs, with advice, entry VMs, workers and rate"`
		MaxGang int           `arg:"--max-gang" help:"tasks of the largest gang; default the site's"`
		Net     uint8         `arg:"--net" help:"entry VMs listen on 127.90.NET.*; 0 for a subnet that no other soak uses"`
		Basic   bool          `arg:"--basic" help:"no cuts of links between some pairs, and short jobs only"`
		Only    string        `arg:"--only" help:"only faults with this in their name"`
		Last    string        `arg:"--last" help:"end a soak of a site with the fault of this name"`
		Calm    bool          `arg:"--calm" help:"at a site, no fault but the last one"`
		Lasting bool          `arg:"--lasting" help:"at a site, jobs that last, too; the full site has them"`
		Deaths  bool          `arg:"--deaths" help:"at a site, workers end for good and leaders die in series, too"`
		Keep    string        `arg:"--keep" help:"directory for the logs of the entry VMs; a temporary one is removed"`
	}

	// violationLog collects violations from concurrent clients.
	violationLog struct {
		mu         sync.Mutex
		violations []violation
	}
)

const (
	// completionTimeout is the time after the last fault by which all accepted
	// jobs must have completed.
	completionTimeout = 45 * time.Second
	warmUp            = 2 * time.Second
	completionPoll    = 250 * time.Millisecond
	exitViolation     = 1
	exitError         = 2
)

func main() {
	var opt options
	arg.MustParse(&opt)
	violations, err := soak(&opt)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(exitError)
	}
	for _, v := range violations {
		fmt.Println("breach:", v)
	}
	if len(violations) > 0 {
		os.Exit(exitViolation)
	}
}

func soak(opt *options) ([]violation, error) {
	opt.setDefaults()
	dir, removeLogs, err := opt.logDirectory()
	if err != nil {
		return nil, err
	}
	defer removeLogs()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := newCell(ctx, opt, dir)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	time.Sleep(c.warmUp())
	vl := c.violations
	var clients, activeFaults sync.WaitGroup
	end := time.Now().Add(opt.Length)
	stopCalmJudge := c.judgeCalmTimes()
	clients.Go(func() { c.generateJobs(ctx, opt, end, &clients, vl) })
	if c.site != nil && c.site.lasting {
		clients.Go(func() { c.generateLastingJobs(ctx, opt, end, &clients) })
	}
	activeFaults.Go(func() { c.injectFaults(opt, end, &activeFaults) })
	if !opt.Basic && c.site == nil {
		activeFaults.Go(func() { c.injectCuts(opt, end, &activeFaults) })
	}
	if opt.Only == "" && c.site == nil {
		activeFaults.Go(func() { c.injectShrinks(rand.New(rand.NewPCG(opt.Seed, 5)), end) })
		activeFaults.Go(func() { c.evacuate(opt, end, vl) })
	}
	time.Sleep(opt.Length)
	activeFaults.Wait()
	if c.site != nil && (opt.Only == "" || opt.Last != "") {
		if err := c.injectClosing(opt.Last, rand.New(rand.NewPCG(opt.Seed, 10))); err != nil {
			return nil, err
		}
	}
	faultsEnd := time.Now()
	stopJudge := c.judgeWaiting(faultsEnd)
	var asking sync.WaitGroup
	asking.Go(func() {
		time.Sleep(time.Until(faultsEnd.Add(askAfter)))
		c.askForJobs(ctx, opt.Seed)
	})
	c.waitForCompletion(vl)
	stopJudge()
	stopCalmJudge()
	c.reportLongWaits()
	asking.Wait()
	if !opt.Basic {
		time.Sleep(time.Until(faultsEnd.Add(c.settleTime())))
		c.checkCancelled()
	}
	cancel()
	clients.Wait()
	c.checkRuns(vl)
	fmt.Printf("seed %d: %d jobs, %d accepted, %d breaches\n", opt.Seed, len(c.jobs), c.countAccepted(), len(vl.violations))
	return vl.violations, nil
}

// warmUp returns the time between the start of the entry VMs and the traffic.
func (c *cell) warmUp() time.Duration {
	if c.site != nil {
		return c.site.warmUp
	}
	return warmUp
}

// logDirectory makes the directory for the logs and settings of the entry VMs. The returned function
// removes it unless it is to be kept.
func (opt *options) logDirectory() (dir string, remove func(), err error) {
	if opt.Keep == "" {
		dir, err = os.MkdirTemp("", "soak")
		return dir, func() { _ = os.RemoveAll(dir) }, err
	}
	if err := os.MkdirAll(opt.Keep, 0o755); err != nil {
		return "", nil, fmt.Errorf("the directory of --keep can't be made: %w", err)
	}
	return opt.Keep, func() {}, nil
}

// evacuate has the operator evacuate data centres.
func (c *cell) evacuate(opt *options, end time.Time, vl *violationLog) {
	if err := c.operator.run(rand.New(rand.NewPCG(opt.Seed, 4)), end); err != nil {
		vl.add(violation(fmt.Sprintf("the operator's change failed: %v", err)))
	}
}

// generateJobs submits jobs at a constant rate, each from its own client.
func (c *cell) generateJobs(ctx context.Context, opt *options, end time.Time, clients *sync.WaitGroup, vl *violationLog) {
	r := rand.New(rand.NewPCG(opt.Seed, 1))
	kinds := rand.New(rand.NewPCG(opt.Seed, 8))
	for n := 0; time.Now().Before(end); n++ {
		j := c.newJob(newJobID(n, opt.Seed), opt, time.Until(end), r, kinds)
		c.addJob(j)
		seed := r.Uint64()
		clients.Go(func() { j.run(ctx, c, seed, vl.add) })
		time.Sleep(time.Second / time.Duration(opt.Rate))
	}
}

func (c *cell) addJob(j *jobClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
}

// newJob draws the next job. The time left is that until the end of the traffic.
func (c *cell) newJob(id string, opt *options, left time.Duration, r, kinds *rand.Rand) *jobClient {
	if c.site != nil {
		return c.site.newJob(id, left < gangBurst, r)
	}
	j := newJobClient(id, r)
	if !opt.Basic {
		j.vary(kinds)
	}
	return j
}

// injectFaults starts a random fault every 0.2 to 2 s. Faults often overlap. At a site they come
// in bursts.
func (c *cell) injectFaults(opt *options, end time.Time, activeFaults *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(opt.Seed, 2))
	list := chosenFaults(c.faults(opt), opt.Only)
	if len(list) == 0 || opt.Calm && c.site != nil {
		return
	}
	burstBegan := time.Now()
	for time.Now().Before(end) {
		f := list[r.IntN(len(list))]
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 3))
		fmt.Printf("%s left, injecting fault: %s\n", time.Until(end).Round(time.Millisecond), f.name)
		activeFaults.Go(func() {
			defer c.disruptions.begin(faultName)()
			f.inject(c, faultRand)
		})
		time.Sleep(time.Duration(200+r.IntN(1800)) * time.Millisecond)
		if c.site != nil && time.Since(burstBegan) > faultBurst {
			sleepUntil(end, calmLength)
			burstBegan = time.Now()
		}
	}
}

// chosenFaults returns the faults with part in their name.
func chosenFaults(list []fault, part string) []fault {
	var chosen []fault
	for _, f := range list {
		if strings.Contains(f.name, part) {
			chosen = append(chosen, f)
		}
	}
	return chosen
}

// waitForCompletion waits for the accepted jobs that can be done to complete once all faults are
// over, and reports those that don't.
func (c *cell) waitForCompletion(vl *violationLog) {
	deadline := time.Now().Add(completionTimeout)
	for time.Now().Before(deadline) {
		if open, _ := c.doable(c.unfinishedJobs()); len(open) == 0 {
			break
		}
		time.Sleep(completionPoll)
	}
	open, others := c.doable(c.unfinishedJobs())
	for _, j := range open {
		vl.addf("accepted job %s is still %q %v after the last fault%s", j.id, j.shownState(), completionTimeout, j.queueNote())
	}
	for _, text := range others {
		fmt.Println(text)
	}
}

// unfinishedJobs returns the accepted jobs that no entry VM has reported as ended, but for
// those that last and run.
func (c *cell) unfinishedJobs() []*jobClient {
	running := c.fleet.Running()
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*jobClient
	for _, j := range c.jobs {
		if !j.acceptedAt().IsZero() && !j.hasEnded() && !j.lasts(running) {
			list = append(list, j)
		}
	}
	return list
}

// checkRuns adds the violations that the workers saw, and jobs that were started
// although every attempt to submit them was rejected.
func (c *cell) checkRuns(vl *violationLog) {
	for _, b := range c.fleet.Violations() {
		vl.add(violation(b))
	}
	c.operator.report(vl)
	started := c.fleet.Started()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		if j.attempts > 0 && j.rejected == j.attempts && started[id] {
			vl.add(violation(fmt.Sprintf("job %s was started although every attempt was rejected", id)))
		}
	}
}

func (c *cell) countAccepted() int {
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

func (vl *violationLog) addf(format string, args ...any) {
	vl.add(violation(fmt.Sprintf(format, args...)))
}

func (vl *violationLog) add(v violation) {
	vl.mu.Lock()
	defer vl.mu.Unlock()
	vl.violations = append(vl.violations, v)
}
