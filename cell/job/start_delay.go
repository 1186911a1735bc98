package job

import (
	"time"

	"pollendock.example/cell/site"
)

// StartDelay records how long after the append of a dispatch leaders may send its start request.
// It holds for all dispatches whose records follow it.
type StartDelay struct {
	_     struct{} `cbor:",toarray"`
	Delay time.Duration
}

const (
	startDelayKey = "startDelay"
	// longestStartDelay is longer than any leader's.
	longestStartDelay = time.Minute
)

// StartDelayEntry returns the entry that stores the delay of start requests.
func StartDelayEntry(d *StartDelay) (site.Entry, error) {
	return encode(startDelayKey, d)
}

// StartDelayRemovalEntry returns the entry that removes the record.
func StartDelayRemovalEntry() site.Entry {
	return site.Entry{Key: startDelayKey}
}

func (d *StartDelay) validateRecord() error {
	if d.Delay < 0 || d.Delay > longestStartDelay {
		return Class.New("a delay of start requests of %v", d.Delay)
	}
	return nil
}

func (v *View) applyStartDelay(e *site.Entry) error {
	if len(e.Value) == 0 {
		v.startDelay = 0
		return nil
	}
	d := StartDelay{}
	if err := decode(e, &d); err != nil {
		return err
	}
	v.startDelay = d.Delay
	return nil
}

// StartDelay returns the recorded delay of start requests, 0 if there is no record.
func (v *View) StartDelay() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.startDelay
}
