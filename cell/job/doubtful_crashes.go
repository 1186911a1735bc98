package job

import "pollendock.example/cell/site"

type (
	// DoubtfulCrashes lists the crashes under the tasks of a job that may have been none: the
	// worker was silent and off the list, as it would be behind a partition. The record is
	// appended and removed together with that of Crashes, which counts them.
	DoubtfulCrashes struct {
		_    struct{} `cbor:",toarray"`
		List []DoubtfulCrash
	}

	// DoubtfulCrash is a crash that is taken back if the same incarnation of the worker
	// answers again.
	DoubtfulCrash struct {
		_     struct{} `cbor:",toarray"`
		Step  int
		Index int
		// Worker and Boot identify the incarnation.
		Worker string
		Boot   int64
		// Settled is set if the run is known to have worked well past its start.
		Settled bool
	}
)

const (
	// doubtfulCrashesKey is a prefix that is followed by the id of the job.
	doubtfulCrashesKey = "doubtfulCrashes/"
	// maxDoubtfulCrashes is the number of crashes under one task that are kept, the newest.
	// A task that runs until its job is canceled may see any number.
	maxDoubtfulCrashes = 8
)

// DoubtfulCrashesEntry returns the entry that stores the doubtful crashes under the tasks of a
// job.
func DoubtfulCrashesEntry(id string, d *DoubtfulCrashes) (site.Entry, error) {
	return encode(doubtfulCrashesKey+id, d)
}

// Under returns the doubtful crashes under a task, the oldest first.
func (d *DoubtfulCrashes) Under(step, index int) []DoubtfulCrash {
	if d == nil {
		return nil
	}
	var list []DoubtfulCrash
	for _, c := range d.List {
		if c.Step == step && c.Index == index {
			list = append(list, c)
		}
	}
	return list
}

// With returns a copy with another crash.
func (d *DoubtfulCrashes) With(c DoubtfulCrash) *DoubtfulCrashes {
	if old := d.Under(c.Step, c.Index); len(old) >= maxDoubtfulCrashes {
		d = d.Without(old[0])
	}
	next := &DoubtfulCrashes{}
	if d != nil {
		next.List = append(next.List, d.List...)
	}
	next.List = append(next.List, c)
	return next
}

// Without returns a copy that lacks a crash.
func (d *DoubtfulCrashes) Without(c DoubtfulCrash) *DoubtfulCrashes {
	next := &DoubtfulCrashes{}
	for _, other := range d.List {
		if other != c {
			next.List = append(next.List, other)
		}
	}
	return next
}

func (d *DoubtfulCrashes) validateRecord() error {
	for i := range d.List {
		c := &d.List[i]
		switch {
		case c.Step < 0 || c.Step >= MaxSteps || c.Index < 0 || c.Index >= MaxTasks:
			return Class.New("a doubtful crash under task %d of step %d", c.Index, c.Step)
		case c.Worker == "":
			return Class.New("a doubtful crash of no worker")
		}
	}
	return nil
}

func (v *View) applyDoubtfulCrashes(id string, e *site.Entry) error {
	if len(e.Value) == 0 {
		return nil
	}
	d := &DoubtfulCrashes{}
	if err := decode(e, d); err != nil {
		return err
	}
	v.job(id).DoubtfulCrashes = d
	return nil
}
