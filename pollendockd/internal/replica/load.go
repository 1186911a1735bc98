package replica

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
	"pollendock.example/cell/transfer"
)

// loadProgress is the progress of loading the newest record of every key.
type loadProgress struct {
	// after is the last key that was loaded. next is the offset from which the
	// stream is read after loading.
	after          string
	next           int64
	pages, records int
	// wrapped is set once the last key was reached and loading went on with the
	// first one, done once all keys are loaded.
	wrapped, done bool
	// fresh is the copy into which the records are loaded again after a gap, which replaces
	// the present one; nil while they are loaded for the first time.
	fresh *job.View
}

// pageTimeout is how long nothing may arrive of a page of the newest records. A page takes
// longer than that on a VM with a slow link, while all VMs load at the same time.
const pageTimeout = 3 * time.Second

func newLoadProgress() loadProgress {
	return loadProgress{after: job.BeforeMembers}
}

// load reads the newest record of every key, page by page. After a failure, the next
// call resumes with the page that failed. Loading starts with the records of the
// leader and the members, because those VMs can serve this VM's callers until it has
// loaded everything. It continues with the keys after them and then wraps around to
// the keys before them.
func (f *Follower) load(ctx context.Context) error {
	r := &f.loadProgress
	for !r.done {
		p, err := f.loadPage(ctx, r.after)
		if err != nil {
			return err
		}
		f.applyLoadPage(p)
	}
	_ = level.Info(f.logger).Log("msg", "loaded all records", "records", r.records, "pages", r.pages, "next", r.next)
	f.loadProgress = newLoadProgress()
	f.loaded.Store(true)
	return nil
}

// reload replaces the local copy after a gap. A record that was removed in it is on no page, so
// that the pages go into an empty copy. The present one stays in use until the other holds all
// records: pages are no snapshot, and what they lack was appended while they were loaded.
// After a failure, the next call resumes with the page or the read that failed.
func (f *Follower) reload(ctx context.Context) error {
	r := &f.loadProgress
	if r.fresh == nil {
		*r = newLoadProgress()
		r.fresh = job.NewView()
	}
	for !r.done {
		p, err := f.loadPage(ctx, r.after)
		if err != nil {
			return err
		}
		f.applyLoadPage(p)
	}
	if err := f.catchUp(ctx, r.fresh); err != nil {
		if site.ErrTrimmed.Has(err) {
			*r = newLoadProgress()
		}
		return err
	}
	ids := f.view.Replace(r.fresh)
	_ = level.Info(f.logger).Log("msg", "loaded all records", "records", r.records, "pages", r.pages, "next", f.view.Next(), "changedJobs", len(ids))
	*r = newLoadProgress()
	f.applyBuffered()
	if len(ids) > 0 {
		f.onChange(ids)
	}
	return nil
}

// catchUp reads the stream into a copy, up to its end.
func (f *Follower) catchUp(ctx context.Context, v *job.View) error {
	for {
		p, err := f.readPage(ctx, v.Next(), 0)
		if err != nil {
			return err
		}
		f.applyTo(v, p)
		if len(p.Entries) == 0 || v.Next() >= p.End {
			return nil
		}
	}
}

// applyLoadPage applies a page of the newest records and sets the key from which
// loading continues.
func (f *Follower) applyLoadPage(p *site.Page) {
	r := &f.loadProgress
	if r.pages == 0 {
		// Records that are appended during loading have offsets at or after the end of
		// the first page.
		r.next = p.Next
	}
	r.pages++
	r.records += len(p.Entries)
	switch {
	case r.wrapped:
		r.after = p.After
		r.done = p.After == "" || p.After >= job.BeforeMembers
	case p.After != "":
		r.after = p.After
	default:
		r.after = ""
		r.wrapped = true
	}
	p.Next = 0
	if r.done {
		p.Next = r.next
	}
	if r.fresh != nil {
		f.applyTo(r.fresh, p)
		return
	}
	f.applyRead(p)
}

func (f *Follower) loadPage(ctx context.Context, after string) (*site.Page, error) {
	ctx, cancel := transfer.WithTimeout(ctx, pageTimeout)
	defer cancel()
	p, err := f.stream.Newest(ctx, after)
	if p != nil {
		p.BeganAt = transfer.BeganAt(ctx)
	}
	return p, err
}
