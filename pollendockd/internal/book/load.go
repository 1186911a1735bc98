package book

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pollendock.example/cell/job"
	"pollendock.example/cell/site"
)

// reading is how far a reading of all keys has come.
type reading struct {
	// after is the last key that was read, next the offset to go on from.
	after          string
	next           int64
	pages, records int
	// wrapped is set once the last key was reached, done once all were read.
	wrapped, done bool
}

// pageTimeout bounds one page of the newest records. All pages take longer than that
// at a VM with a slow link, while all VMs read at once.
const pageTimeout = 3 * time.Second

func newReading() reading {
	return reading{after: job.BeforeMembers}
}

// load reads the newest record of every key, page by page. After a failure it
// goes on with the page that failed. It begins with the other VMs and the leader,
// which can serve this VM's callers until it has read all, and with the keys that
// follow them; then it reads those before.
func (f *Follower) load(ctx context.Context) error {
	r := &f.reading
	for !r.done {
		p, err := f.loadPage(ctx, r.after)
		if err != nil {
			return err
		}
		f.noteLoaded(p)
	}
	_ = level.Info(f.logger).Log("msg", "book loaded", "records", r.records, "pages", r.pages, "next", r.next)
	f.reading = newReading()
	f.loaded.Store(true)
	return nil
}

// noteLoaded folds a page of the newest records and sets what is read next.
func (f *Follower) noteLoaded(p *site.Page) {
	r := &f.reading
	if r.pages == 0 {
		// What is added meanwhile lies after the first page's end.
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
	f.apply(p)
}

func (f *Follower) loadPage(ctx context.Context, after string) (*site.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.stream.Newest(ctx, after)
}
