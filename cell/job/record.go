package job

import (
	"net/netip"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"pollendock.example/cell/site"
)

type (
	// Member is an entry VM.
	Member struct {
		_    struct{} `cbor:",toarray"`
		Name string
		// Incarnation names one run of its process.
		Incarnation string
		PeerAddr    netip.AddrPort
		DataCentre  string
		// Power is the processor time of the VM, in cores.
		Power float64
	}

	// Leader says who decides, from this record on.
	Leader struct {
		_     struct{} `cbor:",toarray"`
		Epoch int64
		// Incarnation is empty if the leader has stepped down.
		Incarnation string
		// Successor is the incarnation that a leader names when it steps down.
		Successor string
	}
)

// Keys of the stream's entries: a letter for the kind, then a name.
const (
	submissionKey = "j/"
	stateKey      = "s/"
	cancelKey     = "c/"
	memberKey     = "m/"
	leaderKey     = "leader"
)

// BeforeMembers is a key that sorts before those of the leader and of the members,
// and after those of the submissions.
const BeforeMembers = "k"

var (
	// Class wraps the errors of this package.
	Class = errs.Class("job")

	encoding = newEncoding()
)

// newEncoding returns how records are written. The library's own way rounds
// times down to seconds, which makes a lookup that was accepted late in a second
// look as if it had waited for most of it.
func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		// The options are constants.
		panic(err)
	}
	return mode
}

// SubmissionEntry makes a job durable.
func SubmissionEntry(s *Submission) (site.Entry, error) {
	return encode(submissionKey+s.ID, s)
}

// SubmissionOf returns the job that an entry makes durable, or nil if it is an entry
// of another kind.
func SubmissionOf(e *site.Entry) (*Submission, error) {
	if !strings.HasPrefix(e.Key, submissionKey) || len(e.Value) == 0 {
		return nil, nil
	}
	s := &Submission{}
	return s, cbor.Unmarshal(e.Value, s)
}

// StateEntry makes the progress of a job durable.
func StateEntry(id string, s *State) (site.Entry, error) {
	return encode(stateKey+id, s)
}

// CancelEntry asks for the end of a job.
func CancelEntry(id string) site.Entry {
	return site.Entry{Key: cancelKey + id, Value: []byte{1}}
}

// MemberEntry lists an entry VM.
func MemberEntry(m *Member) (site.Entry, error) {
	return encode(memberKey+m.Name, m)
}

// LeaveEntry takes an entry VM off the list.
func LeaveEntry(name string) site.Entry {
	return site.Entry{Key: memberKey + name}
}

// LeaderEntry says who decides.
func LeaderEntry(l *Leader) (site.Entry, error) {
	return encode(leaderKey, l)
}

// ForgetEntries removes all that is kept of a job.
func ForgetEntries(id string) []site.Entry {
	return []site.Entry{{Key: submissionKey + id}, {Key: stateKey + id}, {Key: cancelKey + id}}
}

// ByLeader reports whether only a leader appends entries of that key.
func ByLeader(key string) bool {
	return key == leaderKey || strings.HasPrefix(key, stateKey)
}

func encode(key string, v any) (site.Entry, error) {
	value, err := encoding.Marshal(v)
	if err != nil {
		return site.Entry{}, Class.Wrap(err)
	}
	return site.Entry{Key: key, Value: value}, nil
}
