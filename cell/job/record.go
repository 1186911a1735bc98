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
// and after those of the cancels, submissions and crashes.
const BeforeMembers = "k"

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
// other kinds and for removals.
func SubmissionOf(e *site.Entry) (*Submission, error) {
	if !strings.HasPrefix(e.Key, submissionKey) || len(e.Value) == 0 {
		return nil, nil
	}
	s := &Submission{}
	return s, cbor.Unmarshal(e.Value, s)
}

// StateEntry returns the entry that stores the state of a job.
func StateEntry(id string, s *State) (site.Entry, error) {
	return encode(stateKey+id, s)
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

// RemovalEntries returns the entries that remove all records of a job, which has one of
// crashes or not.
func RemovalEntries(id string, crashes bool) []site.Entry {
	entries := []site.Entry{{Key: submissionKey + id}, {Key: stateKey + id}, {Key: cancelKey + id}}
	if crashes {
		entries = append(entries, site.Entry{Key: crashesKey + id})
	}
	return entries
}

// LeaderOnly reports whether entries with that key are appended by leaders only.
func LeaderOnly(key string) bool {
	return key == leaderKey || key == speedsKey || strings.HasPrefix(key, stateKey) || strings.HasPrefix(key, crashesKey)
}

func encode(key string, v any) (site.Entry, error) {
	value, err := encoding.Marshal(v)
	if err != nil {
		return site.Entry{}, Class.Wrap(err)
	}
	return site.Entry{Key: key, Value: value}, nil
}
