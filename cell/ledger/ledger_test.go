package ledger

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pollendock.example/cell/code"
	"pollendock.example/cell/config"
	"pollendock.example/cell/resource"
)

// machine applies records of one or more incarnations and assigns their offsets and
// Seqs.
type machine struct {
	t   *testing.T
	s   *State
	seq map[string]int64
	at  time.Time
}

var (
	size1    = resource.Vector{MilliCPU: 1000, MemoryMB: 100, Slots: 1}
	limit    = resource.Vector{MilliCPU: 4000, MemoryMB: 4000, Slots: 4}
	capacity = resource.Vector{MilliCPU: 8000, MemoryMB: 8000, Slots: 8}
)

func newMachine(t *testing.T) *machine {
	m := &machine{t: t, s: New(), seq: map[string]int64{}, at: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	m.add("a", Record{Join: &Join{EntryID: "a"}}, code.OK)
	m.add("b", Record{Join: &Join{EntryID: "b"}}, code.OK)
	merge, err := json.Marshal(config.Document{
		Operators: map[string]config.Key{"board": {Hash: config.HashKey("op")}},
		Teams: map[string]config.Team{"atlas": {
			Share: 1, Limit: limit, QueueCount: 100, QueueBytes: 1000,
			Keys: map[string]config.Key{"k": {Hash: config.HashKey("key")}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	m.publish("a", 0, string(merge), code.OK)
	m.add("a", Record{Home: &Home{Worker: "w", Boot: "1", Epoch: 1, Capacity: capacity}}, code.OK)
	return m
}

// add applies a record and checks the resulting code.
func (m *machine) add(by string, r Record, want code.Code) ApplyResult {
	m.t.Helper()
	m.seq[by]++
	r.By, r.Seq, r.At = by, m.seq[by], m.at
	res := m.s.Apply(m.s.Next, &r)
	if res.Code != want {
		m.t.Errorf("record %d of %s: %s (%s), want %s", r.Seq, by, res.Code, res.Detail, want)
	}
	return res
}

func (m *machine) publish(by string, base int64, merge string, want code.Code) {
	m.t.Helper()
	patch := config.Patch{Base: base, Author: "a", Reason: "r", Merge: json.RawMessage(merge)}
	m.add(by, Record{Publish: &Publish{KeyName: "board", Bootstrap: base == 0, Patch: patch}}, want)
}

func (m *machine) accept(job string, spec Spec, want code.Code) ApplyResult {
	m.t.Helper()
	if spec.Count == 0 {
		spec.Count = 1
	}
	if spec.Size.IsZero() {
		spec.Size = size1
	}
	if spec.Kind == "" {
		spec.Kind = config.Batch
	}
	return m.add("a", Record{Accept: &Accept{Job: job, Team: "atlas", KeyName: "k", Spec: spec}}, want)
}

func (m *machine) dispatch(by, job string, attempt int64, want code.Code, tasks ...int) {
	m.t.Helper()
	d := &Dispatch{Job: job}
	for _, task := range tasks {
		d.Placements = append(d.Placements, Placement{Task: task, Attempt: attempt, Worker: "w"})
	}
	m.add(by, Record{Dispatch: d}, want)
}

func (m *machine) settle(by, job string, attempt int64, endKind EndKind, want code.Code) {
	m.t.Helper()
	e := &Settle{Job: job, Attempt: attempt, EndKind: endKind}
	if endKind == Finished {
		e.Result = &Result{Code: code.OK}
	}
	m.add(by, Record{Settle: e}, want)
}

func expectTask(t *testing.T, m *machine, job string, phase Phase, c code.Code) {
	t.Helper()
	task := m.s.Jobs[job].Tasks[0]
	if task.Phase != phase || task.Code != c {
		t.Errorf("task of %s is %s with %s, want %s with %s", job, task.Phase, task.Code, phase, c)
	}
}

func TestAttemptEnds(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		endKind    EndKind
		phase      Phase
		code       code.Code
	}{
		{"finished", false, Finished, Done, code.OK},
		{"not run, non-idempotent", false, NotRun, Queued, 0},
		{"stopped, non-idempotent", false, Stopped, Done, code.MayHaveRun},
		{"vanished, non-idempotent", false, Vanished, Done, code.MayHaveRun},
		{"stopped, idempotent", true, Stopped, Queued, 0},
		{"vanished, idempotent", true, Vanished, Queued, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := newMachine(t)
			m.accept("j", Spec{Idempotent: tc.idempotent}, code.OK)
			m.dispatch("a", "j", 1, code.OK, 0)
			m.settle("a", "j", 1, tc.endKind, code.OK)
			expectTask(t, m, "j", tc.phase, tc.code)
			if use := m.s.Usage("atlas"); !use.IsZero() {
				t.Errorf("use after the attempt ended: %s", use)
			}
		})
	}
}

// TestStartedIsNeverNotRun checks that work of which an attempt started is never
// reported as not run, not even if it is canceled after it was requeued.
func TestStartedIsNeverNotRun(t *testing.T) {
	m := newMachine(t)
	m.accept("j", Spec{Idempotent: true}, code.OK)
	m.dispatch("a", "j", 1, code.OK, 0)
	m.settle("a", "j", 1, Stopped, code.OK)
	m.add("a", Record{Cancel: &Cancel{Job: "j", Team: "atlas", Code: code.Canceled}}, code.OK)
	expectTask(t, m, "j", Done, code.MayHaveRun)
	m.accept("k", Spec{Idempotent: true}, code.OK)
	m.add("a", Record{Cancel: &Cancel{Job: "k", Team: "atlas", Code: code.Canceled}}, code.OK)
	expectTask(t, m, "k", Done, code.Canceled)
}

func TestDispatchRules(t *testing.T) {
	m := newMachine(t)
	m.accept("j", Spec{Count: 6, Idempotent: true}, code.OK)
	m.dispatch("b", "j", 1, code.StaleBase, 0)
	m.dispatch("a", "j", 2, code.StaleBase, 0)
	m.dispatch("a", "j", 1, code.OK, 0)
	m.dispatch("a", "j", 1, code.StaleBase, 0)
	m.dispatch("a", "j", 1, code.OverLimit, 1, 2, 3, 4)
	m.dispatch("a", "j", 1, code.OK, 1, 2, 3)
	m.dispatch("a", "j", 1, code.OverLimit, 4)
	m.settle("b", "j", 1, NotRun, code.StaleBase)
	m.settle("a", "j", 1, Finished, code.OK)
	m.dispatch("a", "j", 1, code.OK, 4)
}

// TestAllocationsShareTheLimit checks that allocations for lookups and durable tasks
// together never exceed a team's limit, and that an increase is capped at the
// unused part.
func TestAllocationsShareTheLimit(t *testing.T) {
	m := newMachine(t)
	m.accept("j", Spec{Count: 2, Idempotent: true}, code.OK)
	m.dispatch("a", "j", 1, code.OK, 0, 1)
	increase := &Allocation{Worker: "w", Team: "atlas", Delta: size1.Scale(3)}
	res := m.add("a", Record{Allocation: increase}, code.OK)
	if res.Granted.Slots != 2 {
		t.Errorf("granted %s", res.Granted)
	}
	m.add("b", Record{Allocation: increase}, code.StaleBase)
	m.add("a", Record{Allocation: &Allocation{Worker: "w", Team: "atlas", Delta: size1.Scale(-5), Decrease: true}}, code.OK)
	if got := m.s.Usage("atlas"); got != size1.Scale(2) {
		t.Errorf("use %s", got)
	}
}

// TestRetiredIncarnation checks that records of a retired incarnation are refused,
// and that a retirement is refused if its incarnation has appended since.
func TestRetiredIncarnation(t *testing.T) {
	m := newMachine(t)
	m.add("b", Record{Retire: &Retire{Incarnation: "a", LastSeq: m.seq["a"] - 1}}, code.StaleBase)
	m.add("b", Record{Retire: &Retire{Incarnation: "a", LastSeq: m.seq["a"]}}, code.OK)
	m.accept("j", Spec{}, code.NotReady)
	m.publish("a", 1, `{"teams":{"atlas":{"share":9}}}`, code.NotReady)
	if got := m.s.PossibleStarters(); len(got) != 2 {
		t.Errorf("starters %v: the retired home of a worker may still start work", got)
	}
	m.add("b", Record{Home: &Home{Worker: "w", Boot: "1", Epoch: 2, Capacity: capacity}}, code.OK)
	if got := m.s.PossibleStarters(); len(got) != 1 {
		t.Errorf("starters %v after the takeover", got)
	}
	m.seq["a"]--
	m.add("b", Record{Home: &Home{Worker: "w", Boot: "1", Epoch: 1, Capacity: capacity}}, code.StaleBase)
}

func TestRepeatIsIgnored(t *testing.T) {
	m := newMachine(t)
	m.accept("j", Spec{}, code.OK)
	r := Record{By: "a", Seq: m.seq["a"], At: m.at, Accept: &Accept{Job: "j2", Team: "atlas", KeyName: "k", Spec: Spec{Count: 1, Size: size1}}}
	if res := m.s.Apply(m.s.Next, &r); !res.Repeat || m.s.Jobs["j2"] != nil {
		t.Errorf("result %+v", res)
	}
}

// TestWithdrawnKeyInLogOrder checks that an accept record after the revocation of
// its key in the log is refused, even if the entry VM that appended it had not
// applied the revocation yet.
func TestWithdrawnKeyInLogOrder(t *testing.T) {
	m := newMachine(t)
	m.publish("a", 1, `{"teams":{"atlas":{"keys":{"k":null}}}}`, code.OK)
	m.accept("j", Spec{}, code.Unauthenticated)
}

// TestLoweredLimit checks that lowering a limit stops the newest idempotent tasks.
func TestLoweredLimit(t *testing.T) {
	m := newMachine(t)
	m.accept("old", Spec{Count: 2, Idempotent: true}, code.OK)
	m.accept("fixed", Spec{}, code.OK)
	m.accept("young", Spec{Idempotent: true}, code.OK)
	m.dispatch("a", "old", 1, code.OK, 0, 1)
	m.dispatch("a", "fixed", 1, code.OK, 0)
	m.dispatch("a", "young", 1, code.OK, 0)
	m.publish("a", 1, `{"teams":{"atlas":{"limit":{"slots":2}}}}`, code.OK)
	for job, want := range map[string]bool{"old": true, "fixed": false, "young": true} {
		if got := m.s.Jobs[job].Tasks[0].Stop; got != want {
			t.Errorf("%s: stop is %t", job, got)
		}
	}
}

// TestGangIsAllOrNone checks that a gang with one task that did not run is stopped
// and requeued as a whole.
func TestGangIsAllOrNone(t *testing.T) {
	m := newMachine(t)
	m.accept("g", Spec{Kind: config.Gang, Count: 3, Idempotent: true}, code.OK)
	m.dispatch("a", "g", 1, code.BadRequest, 0, 1)
	m.dispatch("a", "g", 1, code.OK, 0, 1, 2)
	m.settle("a", "g", 1, NotRun, code.OK)
	j := m.s.Jobs["g"]
	if !j.Tasks[1].Stop || !j.Tasks[2].Stop || j.Startable() {
		t.Errorf("the rest of the gang is not being stopped: %+v", j.Tasks)
	}
	for task := 1; task < 3; task++ {
		m.add("a", Record{Settle: &Settle{Job: "g", Task: task, Attempt: 1, EndKind: Stopped}}, code.OK)
	}
	if !j.Startable() {
		t.Errorf("the gang is not startable again: %+v", j.Tasks)
	}
}

// TestNeverFitsNeedsEveryWorker checks that work is not refused as neverFits while
// the capacity of a listed worker is not in the log yet. During the start of a
// cell a gang of six was refused for good, because only the first of four workers
// with four slots each was known.
func TestNeverFitsNeedsEveryWorker(t *testing.T) {
	m := newMachine(t)
	small := resource.Vector{MilliCPU: 2000, MemoryMB: 2000, Slots: 2}
	m.add("a", Record{Home: &Home{Worker: "w", Boot: "1", Epoch: 2, Capacity: small}}, code.OK)
	gang := Spec{Kind: config.Gang, Count: 3, Size: size1}
	cases := []struct {
		job     string
		unsized int
		want    code.Code
	}{
		{"other capacities unknown", 1, code.OK},
		{"all capacities known", 0, code.NeverFits},
	}
	for _, tc := range cases {
		a := &Accept{Job: tc.job, Team: "atlas", KeyName: "k", Spec: gang, UnknownCapacities: tc.unsized}
		m.add("a", Record{Accept: a}, tc.want)
	}
	beyond := &Accept{Job: "beyond the limit", Team: "atlas", KeyName: "k", Spec: gang, UnknownCapacities: 1}
	beyond.Spec.Count = 5
	m.add("a", Record{Accept: beyond}, code.NeverFits)
}

// TestSnapshotIsTheSameState checks that a state restored from a snapshot in the
// log behaves like the original one.
func TestSnapshotIsTheSameState(t *testing.T) {
	m := newMachine(t)
	for i := range 50 {
		m.accept(fmt.Sprintf("j%d", i), Spec{Idempotent: true, IdempotencyKey: fmt.Sprint(i), IssuedAt: m.at, Digest: "d"}, code.OK)
	}
	m.dispatch("a", "j0", 1, code.OK, 0)
	m.settle("a", "j0", 1, Finished, code.OK)
	m.dispatch("a", "j1", 1, code.OK, 0)
	data, err := m.s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	var parts SnapshotAssembler
	var restored *State
	for _, p := range SplitSnapshot(data, m.s.Next) {
		if restored, err = parts.Add(&Record{By: "a", Snapshot: p}); err != nil {
			t.Fatal(err)
		}
	}
	if restored == nil || restored.Next != m.s.Next {
		t.Fatal("the parts do not yield the state")
	}
	if restored.Usage("atlas") != m.s.Usage("atlas") || restored.WaitingCount("atlas") != m.s.WaitingCount("atlas") || restored.Load("w") != m.s.Load("w") {
		t.Error("the restored state has different totals")
	}
	m.s = restored
	res := m.accept("again", Spec{IdempotencyKey: "0", IssuedAt: m.at, Digest: "d"}, code.OK)
	if res.Job != "j0" {
		t.Errorf("the idempotency key yields job %q", res.Job)
	}
}

// TestOutcomeRetention checks that ended jobs are removed after OutcomeRetention,
// and that older idempotency keys are refused.
func TestOutcomeRetention(t *testing.T) {
	m := newMachine(t)
	issued := m.at
	m.accept("j", Spec{IdempotencyKey: "k", IssuedAt: issued, Digest: "d"}, code.OK)
	m.dispatch("a", "j", 1, code.OK, 0)
	m.settle("a", "j", 1, Finished, code.OK)
	m.at = m.at.Add(OutcomeRetention + time.Minute)
	m.add("a", Record{Heartbeat: &Heartbeat{}}, code.OK)
	if m.s.Jobs["j"] != nil {
		t.Error("the job is still present")
	}
	m.accept("j2", Spec{IdempotencyKey: "k", IssuedAt: issued, Digest: "d"}, code.KeyTooOld)
}

// TestEvacuationInLogOrder checks that a dispatch after an evacuation is refused, that an
// attempt before it goes on, and that only data centres are evacuated in which there is
// something.
func TestEvacuationInLogOrder(t *testing.T) {
	m := newMachine(t)
	m.add("a", Record{Home: &Home{Worker: "w", Boot: "1", Epoch: 2, Capacity: capacity, DataCentre: "north"}}, code.OK)
	m.add("c", Record{Join: &Join{EntryID: "c", DataCentre: "south"}}, code.OK)
	m.accept("before", Spec{}, code.OK)
	m.accept("during", Spec{}, code.OK)
	m.accept("gang", Spec{Kind: config.Gang}, code.OK)
	m.dispatch("a", "before", 1, code.OK, 0)
	m.publish("a", 1, `{"evacuated":{"north":true,"nowhere":true}}`, code.NoDataCentre)
	m.publish("a", 1, `{"evacuated":{"North ":true}}`, code.BadPatch)
	m.publish("a", 1, `{"evacuated":["north"]}`, code.BadPatch)
	m.publish("a", 1, `{"evacuated":{"north":false}}`, code.BadPatch)
	m.publish("a", 1, `{"evacuated":{"north":true,"south":true}}`, code.OK)
	m.dispatch("a", "during", 1, code.StaleBase, 0)
	m.dispatch("a", "gang", 1, code.StaleBase, 0)
	m.settle("a", "before", 1, Finished, code.OK)
	expectTask(t, m, "before", Done, code.OK)
	expectTask(t, m, "during", Queued, 0)

	data, err := m.s.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	if m.s, err = Unmarshal(data); err != nil {
		t.Fatal(err)
	}
	m.dispatch("a", "during", 1, code.StaleBase, 0)
	m.add("c", Record{Leave: &Leave{}}, code.OK)
	// A data centre that has become empty does not keep other patches back.
	m.publish("a", 2, `{"evacuated":{"north":null}}`, code.OK)
	m.dispatch("a", "during", 1, code.OK, 0)
	m.publish("a", 3, `{"evacuated":null}`, code.OK)
	m.publish("a", 4, `{"evacuated":{"south":true}}`, code.NoDataCentre)
}

// TestPoisonTaskIsGivenUp guards against starting a task that crashes its workers as often
// as its kind of work has attempts, and against giving up those that ran beside it.
func TestPoisonTaskIsGivenUp(t *testing.T) {
	m := newMachine(t)
	m.add("a", Record{Home: &Home{Worker: "x", Boot: "1", Epoch: 1, Capacity: capacity}}, code.OK)
	m.accept("poison", Spec{Idempotent: true}, code.OK)
	m.accept("beside", Spec{Idempotent: true, Count: 2}, code.OK)
	boot := 1
	crash := func() {
		boot++
		m.add("a", Record{Home: &Home{Worker: "w", Boot: fmt.Sprint(boot), Epoch: 1, Capacity: capacity}}, code.OK)
	}
	m.dispatch("a", "poison", 1, code.OK, 0)
	m.dispatch("a", "beside", 1, code.OK, 0, 1)
	crash()
	m.dispatch("a", "poison", 2, code.OK, 0)
	// Whoever ran beside it is suspected, too, and has to wait for another worker.
	m.dispatch("a", "beside", 2, code.StaleBase, 0)
	m.accept("other", Spec{Idempotent: true}, code.OK)
	m.dispatch("a", "other", 1, code.StaleBase, 0)
	crash()
	m.dispatch("a", "poison", 3, code.OK, 0)
	crash()
	if j := m.s.Jobs["poison"]; j.Code != code.CrashesWorkers {
		t.Errorf("the poison job has code %v, want %v", j.Code, code.CrashesWorkers)
	}
	m.dispatch("a", "beside", 2, code.OK, 0)
	m.at = m.at.Add(survivedAfter)
	m.accept("later", Spec{Idempotent: true}, code.OK)
	m.dispatch("a", "later", 1, code.OK, 0)
	if beside := m.s.Jobs["beside"].Tasks[0]; beside.Failures != 0 || beside.Crashes.Count != 1 {
		t.Errorf("the task beside it has %d failures and %d crashes, want 0 and 1", beside.Failures, beside.Crashes.Count)
	}
}

// TestServiceIsCleared guards against a service that keeps a worker for itself for ever,
// because its workers have crashed twice.
func TestServiceIsCleared(t *testing.T) {
	m := newMachine(t)
	m.accept("service", Spec{Idempotent: true, Kind: config.Service}, code.OK)
	for attempt := int64(1); attempt <= 2; attempt++ {
		m.dispatch("a", "service", attempt, code.OK, 0)
		m.add("a", Record{Home: &Home{Worker: "w", Boot: fmt.Sprint(attempt + 1), Epoch: 1, Capacity: capacity}}, code.OK)
	}
	m.dispatch("a", "service", 3, code.OK, 0)
	m.accept("other", Spec{Idempotent: true}, code.OK)
	m.dispatch("a", "other", 1, code.StaleBase, 0)
	m.at = m.at.Add(survivedAfter)
	m.dispatch("a", "other", 1, code.OK, 0)
}
