package job

import "pollendock.example/cell/site"

// RenewedStarts records the runs whose workers may have got renewals of their leases while a start
// request of the run could be executed late.
type RenewedStarts struct {
	_ struct{} `cbor:",toarray"`
	// All is set if that holds for all runs.
	All  bool
	Runs []RunName
}

const renewedStartsKey = "renewedStarts"

// RenewedStartsEntry returns the entry that stores the record.
func RenewedStartsEntry(r *RenewedStarts) (site.Entry, error) {
	return encode(renewedStartsKey, r)
}

func (r *RenewedStarts) validateRecord() error {
	return validateRunNames(r.Runs)
}

func (v *View) applyRenewedStarts(e *site.Entry) error {
	if len(e.Value) == 0 {
		v.renewedStarts = RenewedStarts{}
		return nil
	}
	// Readers may hold the old record, so that it is not decoded into.
	var r RenewedStarts
	if err := decode(e, &r); err != nil {
		return err
	}
	v.renewedStarts = r
	return nil
}

// RenewedStarts returns the newest record. It must not be modified.
func (v *View) RenewedStarts() *RenewedStarts {
	v.mu.RLock()
	defer v.mu.RUnlock()
	r := v.renewedStarts
	return &r
}
