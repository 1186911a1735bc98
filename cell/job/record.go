package job

import (
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"pollendock.example/cell/site"
)

type (
	// Member is an entry VM of the cell.
	Member struct {
		_    struct{} `cbor:",toarray"`
		Name string
		// Incarnation identifies one run of its process.
		Incarnation string
		PeerAddr    netip.AddrPort
		DataCentre  string
		// CPUCores is the CPU share of the VM, in cores.
		CPUCores float64
	}

	// Leader names the leader from this record on.
	Leader struct {
		_     struct{} `cbor:",toarray"`
		Epoch int64
		// Incarnation identifies the leader; empty if it has stepped down.
		Incarnation string
		// Successor is the incarnation that a leader nominates when it steps down.
		Successor string
	}

	// WorkerSpeeds is what a leader has learnt of the speeds of the workers.
	WorkerSpeeds struct {
		_ struct{} `cbor:",toarray"`
		// Workers holds the estimates by a hash of the worker's id and boot.
		Workers map[uint32]WorkerSpeed
	}

	// record is the value of an entry.
	record interface {
		// validateRecord returns an error for values that no VM writes. Later stages rely
		// on it: they count runs and epochs on, and use steps and tasks as indexes.
		validateRecord() error
	}

	// WorkerSpeed is the estimate of ln(time factor) of a worker, in hundredths: its
	// mean and its standard deviation.
	WorkerSpeed struct {
		_            struct{} `cbor:",toarray"`
		Mean, StdDev int
	}
)

// Keys of the stream's entries: a prefix for the kind, then an id or a name.
const (
	submissionKey = "j/"
	stateKey      = "s/"
	cancelKey     = "c/"
	crashesKey    = "crashes/"
	memberKey     = "m/"
	leaderKey     = "leader"
	speedsKey     = "speeds"
)

// BeforeMembers is a key that sorts before the keys of the leader and the members,
// and after those of the cancels, submissions, crashes and runs that were given up.
const BeforeMembers = "k"

const (
	// maxNumber is the highest number of a run or an epoch.
	maxNumber = 1 << 53
	// maxCPUCores is more than any VM has.
	maxCPUCores = 1 << 20
	// maxSpeed bounds ln(time factor), in hundredths.
	maxSpeed = 5000
)

var (
	// Class wraps the errors of this package.
	Class = errs.Class("job")

	encoding = newEncoding()
)

// newEncoding returns the encoding of records. The library's default truncates
// times to seconds, which makes a lookup that was accepted late in a second appear
// to have waited for most of that second.
func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		// The options are constants.
		panic(err)
	}
	return mode
}

// SubmissionEntry returns the entry that stores a submission.
func SubmissionEntry(s *Submission) (site.Entry, error) {
	return encode(submissionKey+s.ID, s)
}

// SubmissionOf decodes the submission in an entry. It returns nil for entries of
// other kinds and for removals, and an error for one that no VM accepts.
func SubmissionOf(e *site.Entry) (*Submission, error) {
	id, found := strings.CutPrefix(e.Key, submissionKey)
	if !found || len(e.Value) == 0 {
		return nil, nil
	}
	s := &Submission{}
	if err := decode(e, s); err != nil {
		return nil, err
	}
	if s.ID != id {
		return nil, Class.New("the record is that of job %.60q", s.ID)
	}
	return s, nil
}

// StateEntry returns the entry that stores the state of a job.
func StateEntry(id string, s *State) (site.Entry, error) {
	e, err := encode(stateKey+id, s)
	if err != nil {
		return site.Entry{}, err
	}
	return compressLarge(e)
}

// CancelEntry returns the entry that requests the cancellation of a job.
func CancelEntry(id string) site.Entry {
	return site.Entry{Key: cancelKey + id, Value: []byte{1}}
}

// MemberEntry returns the entry that adds or updates a member.
func MemberEntry(m *Member) (site.Entry, error) {
	return encode(memberKey+m.Name, m)
}

// MemberRemovalEntry returns the entry that removes a member.
func MemberRemovalEntry(name string) site.Entry {
	return site.Entry{Key: memberKey + name}
}

// LeaderEntry returns the entry that stores the leader.
func LeaderEntry(l *Leader) (site.Entry, error) {
	return encode(leaderKey, l)
}

// SpeedsEntry returns the entry that stores the speeds of the workers.
func SpeedsEntry(s *WorkerSpeeds) (site.Entry, error) {
	return encode(speedsKey, s)
}

// RemovalEntries returns the entries that remove all records of a job, which has those of
// crashes or not.
func RemovalEntries(id string, crashes bool) []site.Entry {
	entries := []site.Entry{{Key: submissionKey + id}, {Key: stateKey + id}, {Key: cancelKey + id}}
	if crashes {
		entries = append(entries, site.Entry{Key: crashesKey + id}, site.Entry{Key: doubtfulCrashesKey + id})
	}
	return entries
}

// LeaderOnly reports whether entries with that key are appended by leaders only.
func LeaderOnly(key string) bool {
	switch key {
	case leaderKey, speedsKey, renewalsKey, renewersKey, answeredStartsKey, startDelayKey, renewedStartsKey, unbegunJobsKey:
		return true
	}
	for _, prefix := range []string{stateKey, crashesKey, doubtfulCrashesKey, givenUpRunsKey, silentKey, settledKey, boundedKey} {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func encode(key string, v any) (site.Entry, error) {
	value, err := encoding.Marshal(v)
	if err != nil {
		return site.Entry{}, Class.Wrap(err)
	}
	return site.Entry{Key: key, Value: value}, nil
}

// decode decodes the value of an entry and checks it. Other writers may have appended it.
func decode(e *site.Entry, r record) error {
	if err := cbor.Unmarshal(e.Value, r); err != nil {
		return Class.Wrap(err)
	}
	return r.validateRecord()
}

// validateRecord allows the summary of a job that has ended, and all that Validate allows.
func (s *Submission) validateRecord() error {
	if s.MaxAttempts < 0 {
		return Class.New("%d attempts", s.MaxAttempts)
	}
	if s.IsSummary() {
		return nil
	}
	return s.Validate()
}

func (s *State) validateRecord() error {
	if s.Phase < Queued || s.Phase > Canceled {
		return Class.New("phase %d", s.Phase)
	}
	for _, tasks := range s.Steps {
		for i := range tasks {
			if err := tasks[i].validate(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *Task) validate() error {
	switch {
	case t.Status < Waiting || t.Status > Interrupted:
		return Class.New("status %d", t.Status)
	case t.Run < 0 || t.Run > maxNumber || t.FailedRun < 0 || t.FailedRun > t.Run:
		return Class.New("run %d, last failed run %d", t.Run, t.FailedRun)
	case t.Failures < 0:
		return Class.New("%d failures", t.Failures)
	}
	return nil
}

// validateFor checks that the state has the steps and tasks of the submission. The state of
// a job that has ended may have none.
func (s *State) validateFor(sub *Submission) error {
	if sub.IsSummary() || len(s.Steps) == 0 && s.Phase.Final() {
		return nil
	}
	if len(s.Steps) != len(sub.Steps) {
		return Class.New("a state of %d steps of a job of %d", len(s.Steps), len(sub.Steps))
	}
	for i := range s.Steps {
		if len(s.Steps[i]) != sub.Steps[i].Count {
			return Class.New("a state of %d tasks of step %d, which has %d", len(s.Steps[i]), i, sub.Steps[i].Count)
		}
	}
	return nil
}

func (c *Crashes) validateRecord() error {
	for i := range c.Tasks {
		t := &c.Tasks[i]
		switch {
		case t.Step < 0 || t.Step >= MaxSteps || t.Index < 0 || t.Index >= MaxTasks:
			return Class.New("crashes under task %d of step %d", t.Index, t.Step)
		case t.Count < 0 || t.Early < 0 || t.Run < 0 || t.Run > maxNumber:
			return Class.New("%d crashes, %d of them early, the last of run %d", t.Count, t.Early, t.Run)
		case t.Verdict < Trusted || t.Verdict > Poison:
			return Class.New("verdict %d", int(t.Verdict))
		}
	}
	return nil
}

func (m *Member) validateRecord() error {
	if m.Incarnation == "" {
		return Class.New("a member without an incarnation")
	}
	if !(m.CPUCores >= 0) || m.CPUCores > maxCPUCores {
		return Class.New("a member with %v cores", m.CPUCores)
	}
	return nil
}

func (l *Leader) validateRecord() error {
	if l.Epoch < 0 || l.Epoch > maxNumber {
		return Class.New("epoch %d", l.Epoch)
	}
	return nil
}

func (s *WorkerSpeeds) validateRecord() error {
	for _, w := range s.Workers {
		if w.Mean < -maxSpeed || w.Mean > maxSpeed || w.StdDev < 0 || w.StdDev > maxSpeed {
			return Class.New("a speed of %d with a deviation of %d", w.Mean, w.StdDev)
		}
	}
	return nil
}
