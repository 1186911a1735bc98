package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	// store is the platform's store: topics with one partition each, of which the newest record
	// of each key is kept for ever. Nothing expires within a case.
	store struct {
		mu     sync.Mutex
		topics map[string]*topic
	}

	topic struct {
		// turn is held during an append: a partition takes one at a time.
		turn    sync.Mutex
		records []record
		newest  map[string]int
		changed chan struct{}
		// producers holds what is known of each producer.
		producers map[string]*producer
	}

	record struct {
		key   string
		value []byte
		raw   []byte
	}

	// producer holds the epoch and the answers to the last appends, by sequence number.
	producer struct {
		epoch, next int64
		answers     map[int64]appendAnswer
	}

	appendAnswer struct {
		Offset int `json:"offset"`
		End    int `json:"end"`
	}

	newestItem struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
)

const (
	appendTime   = 4 * time.Millisecond
	maxItems     = 500
	keptAnswers  = 5
	maxReadBytes = 1 << 20
	headerBytes  = 16
	lengthBytes  = 4
)

func newStore() *store {
	return &store{topics: map[string]*topic{}}
}

// topic returns the topic of that name, which is created on first use.
func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{}), producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator and the workers do. An empty value removes the key.
func (s *store) put(topicName, key string, value []byte) {
	t := s.topic(topicName)
	raw := append([]byte{byte(len(key))}, key...)
	t.turn.Lock()
	defer t.turn.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{append(raw, value...)})
}

// add appends records and returns the offset of the first. The caller holds the store's lock.
func (t *topic) add(raw [][]byte) int {
	first := len(t.records)
	for _, r := range raw {
		rec := record{raw: r}
		if len(r) > 0 && int(r[0]) < len(r) {
			rec.key, rec.value = string(r[1:1+r[0]]), r[1+r[0]:]
		}
		t.newest[rec.key] = len(t.records)
		if len(rec.value) == 0 {
			delete(t.newest, rec.key)
		}
		t.records = append(t.records, rec)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := s.topic(r.URL.Query().Get("topic"))
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r, t)
	case "/api/log-read":
		s.serveRead(w, r, t)
	case "/api/log-newest":
		s.serveNewest(w, r, t)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, t *topic) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var raw [][]byte
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		raw = append(raw, body[lengthBytes:lengthBytes+n])
		body = body[lengthBytes+n:]
	}
	q := r.URL.Query()
	t.turn.Lock()
	defer t.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := q.Get("producer")
	if name == "" {
		first := t.add(raw)
		reply(w, http.StatusOK, appendAnswer{first, len(t.records)})
		return
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	p := t.producers[name]
	switch {
	case p == nil || epoch > p.epoch:
		p = &producer{epoch: epoch, next: sequence, answers: map[int64]appendAnswer{}}
		t.producers[name] = p
	case epoch < p.epoch:
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	}
	if a, repeated := p.answers[sequence]; repeated {
		reply(w, http.StatusOK, a)
		return
	}
	if sequence != p.next {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})
		return
	}
	a := appendAnswer{t.add(raw), len(t.records)}
	p.answers[sequence] = a
	delete(p.answers, sequence-keptAnswers)
	p.next++
	reply(w, http.StatusOK, a)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, t *topic) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	s.mu.Lock()
	if from >= len(t.records) && wait > 0 {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	out := make([]byte, headerBytes)
	binary.BigEndian.PutUint64(out, uint64(len(t.records)))
	for i := from; i < len(t.records) && len(out) < maxReadBytes; i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i].raw)))
		out = append(out, t.records[i].raw...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, t *topic) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxItems
	items := []newestItem{}
	for _, key := range keys[:min(len(keys), maxItems)] {
		at := t.newest[key]
		items = append(items, newestItem{key, base64.StdEncoding.EncodeToString(t.records[at].value), at})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more-pages": more, "end": len(t.records)})
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
