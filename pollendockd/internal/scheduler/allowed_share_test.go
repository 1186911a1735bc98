package scheduler

import (
	"testing"

	"pollendock.example/cell/advice"
	"pollendock.example/cell/site"
)

// TestRenewedTicketsSayNothingOfOtherWorkers guards against queries that name too few workers, since the renewed tickets of gangs count as if the advisor admitted nearly all workers.
func TestRenewedTicketsSayNothingOfOtherWorkers(t *testing.T) {
	l := leadershipOf("j", gang(3, 1))
	l.advice.init()
	l.advice.dispatcher.Routes().Set([]advice.VM{{Name: "a"}})
	l.advice.pass = &pass{}
	tj := l.jobs["j"]
	want := l.queueStatsOf("q").allowedShare()
	answers := tj.adviceOf(0)
	answers.tickets["w0"], answers.refused["w1"] = ticket{}, true
	for range 100 {
		adviceDone{l: l, q: &query{tj: tj, workers: []string{"w0"}, through: "a"}, tickets: []site.Ticket{{Upstream: "w0"}}}.handle(l.s)
	}
	if got := l.queueStatsOf("q").allowedShare(); got != want {
		t.Errorf("the advisor is expected to admit %.2f of the workers after renewals, want %.2f", got, want)
	}
	adviceDone{l: l, q: &query{tj: tj, workers: []string{"w0", "w2", "w3"}, through: "a"}, tickets: []site.Ticket{{Upstream: "w0"}, {Upstream: "w2"}}}.handle(l.s)
	if got, want := l.queueStatsOf("q").allowedShare(), (1+priorAllowedShare*priorWeight)/(2+priorWeight); got != want {
		t.Errorf("the advisor is expected to admit %.2f of the workers, want %.2f", got, want)
	}
}
