package main

import (
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings of the processes state them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
	newestPage  = 500
)

// store is a stand-in for the platform's store: keyed topics with one partition.
type store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
	trace  *trace
	// loses decides whether an append gets no answer. It is then done after the returned time.
	loses func(records []storeRecord) (time.Duration, bool)
}

type storeTopic struct {
	// appending is held for the duration of an append: each partition handles its appends in turn.
	appending sync.Mutex
	records   []storeRecord
	producers map[string]*storeProducer
	// changed is closed and replaced at each append.
	changed chan struct{}
}

type storeRecord struct {
	key   string
	value []byte
}

type storeProducer struct {
	epoch, seq int64
	// answers holds the offsets of the last appends by sequence number.
	answers map[int64]int64
}

func newStore(t *trace) *store { return &store{topics: map[string]*storeTopic{}, trace: t} }

func (s *store) topic(name string) *storeTopic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{producers: map[string]*storeProducer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator.
func (s *store) put(topic, key string, value []byte) {
	t := s.topic(topic)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([]storeRecord{{key: key, value: value}})
}

// add appends records. The store's lock must be held.
func (t *storeTopic) add(records []storeRecord) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// lose sets the function that decides which appends get no answer; nil answers all.
func (s *store) lose(f func(records []storeRecord) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses = f
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /api/log-append", s.serveAppend)
	m.HandleFunc("GET /api/log-read", s.serveRead)
	m.HandleFunc("GET /api/log-newest", s.serveNewest)
	return m
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	records, ok := decodeFrames(body)
	if !ok || len(body) > callBytes {
		s.trace.log("store", "append to %s refused: %d bytes in all", q.Get("topic"), len(body))
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	t := s.topic(q.Get("topic"))
	s.mu.Lock()
	loses := s.loses
	s.mu.Unlock()
	if loses != nil && !q.Has("producer") {
		if delay, lost := loses(records); lost {
			s.trace.log("store", "append of %s gets no answer; done in %v", records[0].key, delay)
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.trace.log("store", "late append of %s is done", records[0].key)
				t.add(records)
			})
			<-r.Context().Done()
			return
		}
	}
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	producer, epoch, seq := q.Get("producer"), int64Of(q.Get("epoch")), int64Of(q.Get("seq"))
	if producer != "" {
		p := t.producers[producer]
		switch {
		case p != nil && epoch < p.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case p != nil && epoch == p.epoch:
			if first, known := p.answers[seq]; known && seq > p.seq-5 {
				writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": end})
				return
			}
			if seq != p.seq+1 {
				writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
				return
			}
		}
	}
	if q.Has("at") && int64Of(q.Get("at")) != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if producer != "" {
		p := t.producers[producer]
		if p == nil || epoch > p.epoch {
			p = &storeProducer{epoch: epoch, answers: map[int64]int64{}}
			t.producers[producer] = p
		}
		p.seq = seq
		p.answers[seq] = end
	}
	t.add(records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end": end + int64(len(records))})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := int(int64Of(q.Get("from")))
	limit := 1 << 20
	if q.Has("max_kb") {
		limit = int(int64Of(q.Get("max_kb"))) << 10
	}
	deadline := time.NewTimer(time.Duration(int64Of(q.Get("waitMs"))) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(appendTime)
	t := s.topic(q.Get("topic"))
	for waiting := true; ; {
		s.mu.Lock()
		changed, end := t.changed, len(t.records)
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < end; i++ {
			framed := appendFrame(out, t.records[i])
			if i > from && len(framed) > limit {
				break
			}
			out = framed
		}
		s.mu.Unlock()
		if from < end || !waiting {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(appendTime)
	t := s.topic(q.Get("topic"))
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]int{}
	for i, record := range t.records {
		newest[record.key] = i
	}
	var keys []string
	for key, i := range newest {
		if len(t.records[i].value) > 0 && key > q.Get("dependsOn") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > newestPage
	if more {
		keys = keys[:newestPage]
	}
	items := []map[string]any{}
	for _, key := range keys {
		i := newest[key]
		items = append(items, map[string]any{"tlsKey": key, "value": t.records[i].value, "offset": i})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(t.records)})
}

func appendFrame(out []byte, r storeRecord) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
	out = append(out, byte(len(r.key)))
	out = append(out, r.key...)
	return append(out, r.value...)
}

// decodeFrames decodes records of a keyed topic. It returns false if one is malformed or too long.
func decodeFrames(body []byte) (records []storeRecord, ok bool) {
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		length, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		if length > recordBytes || length < 1+key || length > len(body)-4 {
			return nil, false
		}
		records = append(records, storeRecord{
			key:   string(body[5 : 5+key]),
			value: slices.Clone(body[5+key : 4+length]),
		})
		body = body[4+length:]
	}
	return records, true
}

func int64Of(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
