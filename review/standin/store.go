package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is the platform's metadata store in its log form, as PROTOCOL.md describes it. Each
// topic has one partition.
type store struct {
	rec    *record
	mu     sync.Mutex
	topics map[string]*topic
	writes rateLimit
	reads  rateLimit
	// silent is set while the store answers nobody and does nothing.
	silent atomic.Bool
}

type topic struct {
	rec       *record
	records   []storeRecord
	wake      chan struct{}
	producers map[string]*producer
	// appends holds the lock while an append takes place: a partition processes one at a time.
	appends sync.Mutex
	waiting int
}

type storeRecord struct {
	key   string
	value []byte
	raw   []byte
}

// producer is what the store keeps of a producer: its epoch, its last sequence number, and the
// responses to its last five appends.
type producer struct {
	epoch, sequence int64
	started         bool
	last            []appendResult
}

type appendResult struct {
	sequence, offset, end int64
}

// rateLimit counts the calls of the present second.
type rateLimit struct {
	limit  int
	second int64
	used   int
}

const (
	appendTime     = 4 * time.Millisecond
	recordBytes    = 262144
	callBytes      = 2097152
	writesPerS     = 800
	readsPerS      = 2000
	maxItems       = 500
	maxItemsBytes  = 1 << 20
	maxWaitMs      = 30000
	maxQueueTime   = 2 * time.Second
	keptResults    = 5
	defaultFetchKB = 1024
)

func newStore(rec *record) *store {
	return &store{rec: rec, topics: map[string]*topic{}, writes: rateLimit{limit: writesPerS}, reads: rateLimit{limit: readsPerS}}
}

func (r *rateLimit) take() bool {
	now := time.Now().Unix()
	if now != r.second {
		r.second, r.used = now, 0
	}
	r.used++
	return r.used <= r.limit
}

// topic returns a topic, which is created on first use. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{rec: s.rec, wake: make(chan struct{}), producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put adds a record of the operator or of a worker.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	t.add(storeRecord{key: key, value: value, raw: raw})
}

func (t *topic) add(records ...storeRecord) {
	t.records = append(t.records, records...)
	close(t.wake)
	t.wake = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.silent.Load() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, callBytes+1))
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	s.mu.Lock()
	allowed := s.writes.take()
	t := s.topic(name)
	t.waiting++
	waiting := t.waiting
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		t.waiting--
		s.mu.Unlock()
	}()
	switch {
	case !allowed:
		reply(w, http.StatusTooManyRequests, map[string]string{})
		return
	case name == "keyed.op" || name == "keyed.servers":
		reply(w, http.StatusForbidden, map[string]string{})
		return
	case time.Duration(waiting)*appendTime > maxQueueTime:
		reply(w, http.StatusServiceUnavailable, map[string]string{})
		return
	}
	records, ok := splitRecords(body)
	if !ok || len(body) > callBytes {
		reply(w, http.StatusBadRequest, map[string]string{"error": "records"})
		return
	}
	t.appends.Lock()
	time.Sleep(appendTime)
	s.mu.Lock()
	status, answer := t.append(r, records)
	s.mu.Unlock()
	t.appends.Unlock()
	reply(w, status, answer)
}

// splitRecords decodes the records of a call. It reports false for one that is too long or has
// no key.
func splitRecords(body []byte) ([]storeRecord, bool) {
	var records []storeRecord
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) || n > recordBytes || n < 1 || int(body[0])+1 > n || body[0] == 0 {
			return nil, false
		}
		raw := body[:n]
		k := int(raw[0])
		records = append(records, storeRecord{key: string(raw[1 : 1+k]), value: raw[1+k:], raw: raw})
		body = body[n:]
	}
	return records, true
}

func (t *topic) append(r *http.Request, records []storeRecord) (int, any) {
	end := int64(len(t.records))
	if at := number(r, "at", -1); at >= 0 && at != end {
		return http.StatusPreconditionFailed, map[string]int64{"end": end}
	}
	name := r.URL.Query().Get("producer")
	if name == "" {
		t.add(records...)
		return http.StatusOK, map[string]int64{"offset": end, "end": end + int64(len(records))}
	}
	p := t.producers[name]
	if p == nil {
		p = &producer{}
		t.producers[name] = p
	}
	epoch, sequence := number(r, "epoch", 0), number(r, "sequence", 0)
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, map[string]string{"reason": "fenced"}
	case epoch > p.epoch:
		*p = producer{epoch: epoch}
	}
	for _, done := range p.last {
		if p.started && done.sequence == sequence {
			return http.StatusOK, map[string]int64{"offset": done.offset, "end": done.end}
		}
	}
	if p.started && sequence != p.sequence+1 {
		return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
	}
	if len(records) == 0 {
		return http.StatusOK, map[string]int64{"offset": end, "end": end}
	}
	kinds := ""
	for _, r := range records {
		kinds += strings.SplitN(r.key, "/", 2)[0] + " "
	}
	t.rec.note("append of producer %s, epoch %d: %s", name, epoch, kinds)
	t.add(records...)
	done := appendResult{sequence, end, end + int64(len(records))}
	p.started, p.sequence = true, sequence
	p.last = append(p.last, done)
	if len(p.last) > keptResults {
		p.last = p.last[1:]
	}
	return http.StatusOK, map[string]int64{"offset": done.offset, "end": done.end}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from", 0)
	limit := int(number(r, "fetch-limit", defaultFetchKB)) << 10
	wait := time.NewTimer(time.Duration(min(number(r, "wait-ms", 0), maxWaitMs)) * time.Millisecond)
	defer wait.Stop()
	s.mu.Lock()
	if !s.reads.take() {
		s.mu.Unlock()
		reply(w, http.StatusTooManyRequests, map[string]string{})
		return
	}
	t := s.topic(r.URL.Query().Get("topic"))
	for int64(len(t.records)) <= from {
		wake := t.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		case <-wait.C:
			s.mu.Lock()
			body := t.page(from, limit)
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Lock()
	}
	body := t.page(from, limit)
	s.mu.Unlock()
	_, _ = w.Write(body)
}

func (t *topic) page(from int64, limit int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < int64(len(t.records)) && (i == from || len(body) < limit); i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i].raw)))
		body = append(body, t.records[i].raw...)
	}
	return body
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	if !s.reads.take() {
		s.mu.Unlock()
		reply(w, http.StatusTooManyRequests, map[string]string{})
		return
	}
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]int{}
	for i := range t.records {
		newest[t.records[i].key] = i
	}
	items := []item{}
	for key, i := range newest {
		if key > after && len(t.records[i].value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[i].value), int64(i)})
		}
	}
	end := int64(len(t.records))
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	n, size := 0, 0
	for n < len(items) && n < maxItems && (n == 0 || size+len(items[n].Value) <= maxItemsBytes) {
		size += len(items[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": items[:n], "more-pages": n < len(items), "end": end})
}
