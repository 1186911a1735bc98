// Command review-2 plays the cases of the second review against the project's own processes. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// testCase plays a case and returns a description of the broken rule, "" if it held.
type testCase struct {
	name               string
	workers            int
	capacity, capLimit size
	play               func(c *cell) (string, error)
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// maxCaseTime bounds a case, its start included.
	maxCaseTime = 118 * time.Second
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: review-2 CASE FOLDER PROGRAM")
		return exitFailed
	}
	for i := range cases {
		if t := &cases[i]; t.name == os.Args[1] {
			return t.run(os.Args[2], os.Args[3])
		}
	}
	fmt.Println("no such case")
	return exitFailed
}

func (t *testCase) run(dir, program string) int {
	c, err := newCell(dir, program, os.Getenv("TROUBLE") != "0", t.workers, t.capacity, t.capLimit)
	if c != nil {
		defer c.stop()
		time.AfterFunc(maxCaseTime-time.Since(c.began), func() {
			c.log("the case takes too long")
			c.stop()
			os.Exit(exitFailed)
		})
	}
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	broken, err := t.play(c)
	switch {
	case err != nil:
		c.log("the case could not run: %v", err)
		return exitFailed
	case broken != "":
		c.log("BROKEN: %s", broken)
		return exitBroken
	}
	c.log("held")
	return exitHeld
}
