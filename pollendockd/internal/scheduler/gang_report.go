package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/placement"
)

// gangWait is how the passes since its last query left a gang that needs advice.
type gangWait struct {
	// passes counts them by the reason why the gang waited.
	passes reasonCounts
	// answered is set from an answer until a pass has considered the gang.
	answered bool
	// ahead is the number of other steps that needed advice when its last query was sent.
	ahead int
}

// maxPlacesLogged limits the workers with reserved capacity in a log line.
const maxPlacesLogged = 6

// noteGangs counts why gangs wait that have been considered before, and logs those that did
// not start with the tickets that have just come.
func (l *leadership) noteGangs(p *pass, steps []*waitingStep) {
	for _, ws := range steps {
		a := ws.tj.advice[ws.step]
		if a == nil || !ws.tj.sub.Steps[ws.step].Gang {
			continue
		}
		a.wait.passes[ws.why]++
		if !a.wait.answered || ws.position == 0 {
			continue
		}
		a.wait.answered = false
		if ws.why != notWaiting {
			l.logUnstartedGang(p, ws, a)
		}
	}
}

// logUnstartedGang logs why a gang does not start in the first pass after an answer.
func (l *leadership) logUnstartedGang(p *pass, ws *waitingStep, a *stepAdvice) {
	spec := &ws.tj.sub.Steps[ws.step]
	fields := []any{
		"msg", "gang does not start after an answer", "job", ws.tj.id, "step", ws.step, "queue", ws.tj.sub.Queue, "tasks", spec.Count, "size", spec.Size,
		"rank", ws.sortKey.Rank, "why", ws.why, "room", l.roomWithTickets(p, ws, a), "validTickets", a.countValid(p.now), "knownWorkers", len(a.tickets),
		"refusedWorkers", len(a.refused), "turnMs", max(0, ws.tj.turn.until.Sub(p.now).Milliseconds()),
	}
	fields = append(fields, l.reservationFields(p, ws)...)
	_ = level.Info(l.s.deps.Logger).Log(fields...)
}

// roomWithTickets returns the room for tasks of a step on the workers with a valid ticket.
func (l *leadership) roomWithTickets(p *pass, ws *waitingStep, a *stepAdvice) string {
	var valid []*worker
	for id := range a.tickets {
		if wk := l.workers[id]; wk != nil && a.hasValidTicket(wk, p.now) {
			valid = append(valid, wk)
		}
	}
	return l.roomOn(p, ws, valid)
}

// reservationFields returns the log fields of a gang's reservation, none without one.
func (l *leadership) reservationFields(p *pass, ws *waitingStep) []any {
	r := ws.tj.reservation
	if r == nil || r.step != ws.step {
		return nil
	}
	return []any{"reservedPlaces", len(r.places), "reservedInMs", r.in.Milliseconds(), "reservedMs", millisSince(p.now, r.at),
		"askMore", r.askMore, "hasRoom", r.hasRoom, "places", l.placesReport(p, ws, r)}
}

// placesReport returns, for each worker of a reservation, the tasks that it is to hold, those
// for which it has room, whether its ticket is valid, and the run that ends last there.
func (l *leadership) placesReport(p *pass, ws *waitingStep, r *reservation) string {
	req := placement.Request{Count: ws.tj.sub.Steps[ws.step].Count, Size: ws.tj.sub.Steps[ws.step].Size}
	a := ws.tj.advice[ws.step]
	var parts []string
	for _, place := range r.places[:min(len(r.places), maxPlacesLogged)] {
		wk := l.workers[place.Worker]
		if wk == nil {
			parts = append(parts, place.Worker+":gone")
			continue
		}
		fit := placement.FitCount(req, &placement.WorkerState{Free: p.unreserved(wk, ws)})
		part := fmt.Sprintf("%s:%d/%d", wk.id, min(fit, place.Tasks), place.Tasks)
		if a != nil && !a.hasValidTicket(wk, p.now) {
			part += ",expired"
		}
		if fit < place.Tasks {
			part += l.lastRunReport(p, wk)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " ")
}

// lastRunReport describes the run of a worker that is expected to end last.
func (l *leadership) lastRunReport(p *pass, wk *worker) string {
	var runs []*run
	for _, r := range wk.runs {
		runs = append(runs, r)
	}
	if len(runs) == 0 {
		return ",noRun"
	}
	last := slices.MaxFunc(runs, func(a, b *run) int { return int(l.releaseIn(p, a) - l.releaseIn(p, b)) })
	return fmt.Sprintf(",heldBy=%s.%d.%d,for=%d,of=%d", last.task.Job, last.task.Step, last.task.Index, l.releaseIn(p, last).Milliseconds(), len(runs))
}

// sinceLastQuery returns the reasons why a gang has waited since its last query.
func (w *gangWait) sinceLastQuery() string {
	var parts []string
	for why, n := range w.passes {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", waitReason(why), n))
		}
	}
	return strings.Join(parts, " ")
}
