package job

import (
	"bytes"
	"compress/flate"
	"io"

	"pollendock.example/cell/site"
)

const (
	// MaxRecordBytes is the largest key and value of an entry that the stream takes
	// together.
	MaxRecordBytes = 256<<10 - 16
	// maxPlainState is the size, in bytes, up to which a state is stored as it is. Versions
	// that know no compressed states read those.
	maxPlainState = 240 << 10
	// maxLargeState bounds what a compressed state is expanded to.
	maxLargeState = 8 << 20
	// compressedState begins the value of a compressed state. No CBOR array begins with it.
	compressedState = 0xff
)

// compressLarge compresses the value of a state that is too large for a record: that of
// thousands of tasks that run at once, most of which names their workers.
func compressLarge(e site.Entry) (site.Entry, error) {
	if len(e.Value) <= maxPlainState {
		return e, nil
	}
	var out bytes.Buffer
	out.WriteByte(compressedState)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return site.Entry{}, Class.Wrap(err)
	}
	if _, err := w.Write(e.Value); err != nil {
		return site.Entry{}, Class.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return site.Entry{}, Class.Wrap(err)
	}
	e.Value = out.Bytes()
	return e, nil
}

// expandLarge is the inverse of compressLarge.
func expandLarge(e *site.Entry) (*site.Entry, error) {
	if len(e.Value) == 0 || e.Value[0] != compressedState {
		return e, nil
	}
	r := flate.NewReader(bytes.NewReader(e.Value[1:]))
	value, err := io.ReadAll(io.LimitReader(r, maxLargeState+1))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(value) > maxLargeState {
		return nil, Class.New("a state of more than %d bytes", maxLargeState)
	}
	return &site.Entry{Key: e.Key, Value: value}, nil
}
