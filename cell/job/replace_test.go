package job

import (
	"testing"

	"pollendock.example/cell/site"
)

// TestReplaceOutlivesOldPages guards against a job that an old page, read before the records were loaded anew, brings back.
func TestReplaceOutlivesOldPages(t *testing.T) {
	s := goodSubmission()
	e, err := SubmissionEntry(s)
	if err != nil {
		t.Fatal(err)
	}
	v, fresh := NewView(), NewView()
	old := &site.Page{Entries: []site.Entry{e}, Next: 1, End: 1}
	for _, a := range []struct {
		v *View
		p *site.Page
	}{{v, old}, {fresh, &site.Page{Next: 9, End: 9}}} {
		if _, err := a.v.Apply(a.p); err != nil {
			t.Fatal(err)
		}
	}
	if changed := v.Replace(fresh); len(changed) != 1 || changed[0] != s.ID {
		t.Errorf("changed %v, want %s", changed, s.ID)
	}
	if _, err := v.Apply(old); err != nil {
		t.Fatal(err)
	}
	if v.Job(s.ID) != nil || v.Next() != 9 || v.Waiting(s.Queue) != 0 {
		t.Errorf("job %+v, next %d, %d waiting", v.Job(s.ID), v.Next(), v.Waiting(s.Queue))
	}
	behind := NewView()
	if _, err := behind.Apply(old); err != nil {
		t.Fatal(err)
	}
	if v.Replace(behind); v.Next() != 9 || v.Job(s.ID) != nil {
		t.Errorf("replaced by a copy that is behind: next %d", v.Next())
	}
}
