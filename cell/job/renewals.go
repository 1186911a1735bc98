package job

import "pollendock.example/cell/site"

// renewalsKey is the key of the record of leaders that renew leases for a bounded time without
// the stream, shorter than that of versions which do not append the record.
const renewalsKey = "renewals"

// RenewalsEntry returns the entry that stores the record of the leaders' renewals.
func RenewalsEntry(r *EpochRange) (site.Entry, error) {
	return encode(renewalsKey, r)
}

func (v *View) applyRenewals(e *site.Entry) error {
	if len(e.Value) == 0 {
		v.renewals = EpochHistory{}
		return nil
	}
	h, err := v.renewals.next(e)
	v.renewals = h
	return err
}

// Renewals returns the record of the leaders' renewals.
func (v *View) Renewals() EpochHistory {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.renewals
}
