package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// appendTime is how long the store takes for an append (append_ms of the settings).
const appendTime = 4 * time.Millisecond

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: a log with keyed
// topics of one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string]*logTopic
	changed chan struct{}
}

type logTopic struct {
	records   []logRecord
	producers map[string]*producerState
}

type logRecord struct {
	key   string
	value []byte
	raw   []byte
}

// producerState is what the store knows about a producer: its epoch, its last sequence number, and the
// first answers to its newest appends.
type producerState struct {
	epoch, last int64
	answers     map[int64]int64
}

func newStore() *store {
	return &store{topics: map[string]*logTopic{}, changed: make(chan struct{})}
}

func (s *store) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{producers: map[string]*producerState{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator does.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	body := []byte{byte(len(key))}
	body = append(append(body, key...), data...)
	raw := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topic), []logRecord{{key: key, value: data, raw: append(raw, body...)}})
}

// add appends records and wakes the readers. The lock must be held.
func (s *store) add(t *logTopic, records []logRecord) {
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/api/log-append":
		time.Sleep(appendTime)
		status, answer := s.apply(r, body)
		reply(w, status, answer)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.newest(w, r)
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// apply carries out an append.
func (s *store) apply(r *http.Request, body []byte) (status int, answer any) {
	records, ok := parseRecords(body)
	if !ok {
		return http.StatusBadRequest, nil
	}
	q := r.URL.Query()
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(q.Get(name), 10, 64)
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	offset := int64(len(t.records))
	p := t.producers[q.Get("producer")]
	epoch, seq := number("epoch"), number("seq")
	if q.Has("producer") && p != nil {
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if first, repeated := p.answers[seq]; epoch == p.epoch && repeated {
			return http.StatusOK, map[string]any{"offset": first, "end": offset}
		}
		if epoch == p.epoch && seq != p.last+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.last + 1}
		}
	}
	if q.Has("at") && number("at") != offset {
		return http.StatusPreconditionFailed, map[string]any{"end": offset}
	}
	if q.Has("producer") {
		if p == nil || p.epoch != epoch {
			p = &producerState{epoch: epoch, answers: map[int64]int64{}}
			t.producers[q.Get("producer")] = p
		}
		p.last = seq
		p.answers[seq] = offset
		delete(p.answers, seq-5)
	}
	if len(records) > 0 {
		s.add(t, records)
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": offset + int64(len(records))}
}

func parseRecords(body []byte) (records []logRecord, ok bool) {
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		length := int(binary.BigEndian.Uint32(body))
		if length < 1 || length > len(body)-4 || int(body[4]) > length-1 {
			return nil, false
		}
		key := int(body[4])
		record := logRecord{key: string(body[5 : 5+key]), value: body[5+key : 4+length], raw: body[:4+length]}
		records = append(records, record)
		body = body[4+length:]
	}
	return records, true
}

// read answers a read as soon as there is a record.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	kb, _ := strconv.Atoi(q.Get("max_kb"))
	if kb == 0 {
		kb = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		end := int64(len(t.records))
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		empty := true
		for i := from; i < end && (empty || len(out) < kb<<10); i++ {
			out = append(out, t.records[i].raw...)
			empty = false
		}
		s.mu.Unlock()
		if !empty || wait == 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// maxItems is the largest number of records in a page of the newest ones.
const maxItems = 500

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
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
	more := len(keys) > maxItems
	items := []any{}
	for _, key := range keys[:min(len(keys), maxItems)] {
		i := newest[key]
		value := base64.StdEncoding.EncodeToString(t.records[i].value)
		items = append(items, map[string]any{"tlsKey": key, "value": value, "offset": i})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(t.records)})
}
