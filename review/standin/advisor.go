package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// advisorDoor is where one machine calls the advisor. It serves one call at a time, in turn.
type advisorDoor struct {
	fleet   *fleet
	turn    sync.Mutex
	waiting atomic.Int32
}

// maxAdviceWaiting is how many calls may wait.
const maxAdviceWaiting = 32

// ServeHTTP allows all workers that are up.
func (d *advisorDoor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if d.waiting.Add(1) > maxAdviceWaiting {
		d.waiting.Add(-1)
		reply(rw, http.StatusTooManyRequests, map[string]string{})
		return
	}
	d.turn.Lock()
	d.waiting.Add(-1)
	time.Sleep(d.fleet.adviceTime(len(b.Workers)))
	d.turn.Unlock()
	reply(rw, http.StatusOK, map[string]any{"good": d.fleet.allow(b.Step, b.Workers), "valid-ms": ticketTime.Milliseconds()})
}

// allow issues tickets for the workers that are up.
func (f *fleet) allow(step string, workers []string) [][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	good := [][]string{}
	for _, id := range workers {
		for _, w := range f.workers {
			if w.id == id && w.up {
				f.ticketCount++
				text := fmt.Sprintf("t-%d", f.ticketCount)
				f.tickets[text] = ticket{step, id, w.boot, time.Now().Add(ticketTime)}
				good = append(good, []string{id, text})
			}
		}
	}
	return good
}
