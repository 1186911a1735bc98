package job

import (
	"slices"

	"pollendock.example/cell/site"
)

type (
	// Renewers names the leaders up to Epoch that may still renew leases when the record is appended.
	// The others of these renew none from then on.
	Renewers struct {
		_       struct{} `cbor:",toarray"`
		Epoch   int64
		Leaders []TermOf
	}

	// TermOf names the process that leads in an epoch.
	TermOf struct {
		_           struct{} `cbor:",toarray"`
		Epoch       int64
		Incarnation string
	}
)

const renewersKey = "renewers"

// MaxRenewers is the number of leaders that a record may name.
const MaxRenewers = 64

// RenewersEntry returns the entry that stores which leaders may renew leases.
func RenewersEntry(r *Renewers) (site.Entry, error) {
	return encode(renewersKey, r)
}

func (r *Renewers) validateRecord() error {
	if r.Epoch < 0 || r.Epoch > maxNumber || len(r.Leaders) > MaxRenewers {
		return Class.New("%d leaders up to epoch %d may renew leases", len(r.Leaders), r.Epoch)
	}
	for _, t := range r.Leaders {
		if t.Epoch < 0 || t.Epoch > r.Epoch || t.Incarnation == "" {
			return Class.New("leader %.60q of epoch %d, until epoch %d", t.Incarnation, t.Epoch, r.Epoch)
		}
	}
	return nil
}

// Covers reports whether the record tells which leaders up to an epoch may renew leases.
func (r *Renewers) Covers(epoch int64) bool {
	return r.Epoch > 0 && epoch <= r.Epoch
}

// UpTo returns the leaders up to an epoch that may renew leases.
func (r *Renewers) UpTo(epoch int64) []TermOf {
	return slices.DeleteFunc(slices.Clone(r.Leaders), func(t TermOf) bool { return t.Epoch > epoch })
}

func (v *View) applyRenewers(e *site.Entry) error {
	if len(e.Value) == 0 {
		v.renewers = Renewers{}
		return nil
	}
	// Readers may hold the old record, so that it is not decoded into.
	var r Renewers
	if err := decode(e, &r); err != nil {
		return err
	}
	v.renewers = r
	return nil
}

// Renewers returns the newest record of the leaders that may renew leases. It must not be modified.
func (v *View) Renewers() *Renewers {
	v.mu.RLock()
	defer v.mu.RUnlock()
	r := v.renewers
	return &r
}
