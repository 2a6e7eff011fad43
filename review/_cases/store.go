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

// fault is how the store treats a client.
type fault int

const (
	// healthy serves the client, busy answers 503 without any effect, and silent never answers.
	healthy fault = iota
	busy
	silent
)

// pageItems is the largest number of items in a page of the newest records.
const pageItems = 500

// storeLatency is the time that the store takes for each call.
const storeLatency = 4 * time.Millisecond

// store is a stand-in of the platform's metadata store. Each process reaches it at an address of its
// own, so that a fault can apply to one process only.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	faults  map[string]fault
	changed chan struct{}
}

// topic is a keyed topic with one partition.
type topic struct {
	records   []record
	producers map[string]*producer
}

type record struct {
	key   string
	value []byte
}

// producer holds the last epoch and sequence number, and the first answers of the last appends.
type producer struct {
	epoch, seq int64
	answers    map[int64]int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, faults: map[string]fault{}, changed: make(chan struct{})}
}

// setFault sets how the store treats a client; the empty name stands for all clients.
func (s *store) setFault(client string, f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if client == "" {
		for name := range s.faults {
			s.faults[name] = f
		}
		return
	}
	s.faults[client] = f
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{producers: map[string]*producer{}}
	}
	return s.topics[name]
}

// handler serves one client.
func (s *store) handler(client string) http.Handler {
	s.setFault(client, healthy)
	m := http.NewServeMux()
	m.HandleFunc("POST /api/log-append", s.serveAppend)
	m.HandleFunc("GET /api/log-read", func(w http.ResponseWriter, r *http.Request) { s.serveRead(w, r, client) })
	m.HandleFunc("GET /api/log-newest", s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		if s.blocked(w, r, client) {
			return
		}
		m.ServeHTTP(w, r)
	})
}

// blocked applies the client's fault, and reports whether the call is over.
func (s *store) blocked(w http.ResponseWriter, r *http.Request, client string) bool {
	s.mu.Lock()
	f := s.faults[client]
	s.mu.Unlock()
	switch f {
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// decodeFrames decodes the records of an append: 4 bytes of length, 1 byte of the key's length, the
// key and the value.
func decodeFrames(body []byte) []record {
	var out []record
	for len(body) >= 5 {
		length, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		out = append(out, record{key: string(body[5 : 5+key]), value: slices.Clone(body[5+key : 4+length])})
		body = body[4+length:]
	}
	return out
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	end := int64(len(t.records))
	if q.Has("producer") {
		if done := t.checkProducer(w, q.Get("producer"), number(r, "epoch"), number(r, "seq"), end); done {
			return
		}
	}
	if q.Has("at") && number(r, "at") != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	if q.Has("producer") {
		t.remember(q.Get("producer"), number(r, "epoch"), number(r, "seq"), end)
	}
	t.records = append(t.records, decodeFrames(body)...)
	close(s.changed)
	s.changed = make(chan struct{})
	writeJSON(w, http.StatusOK, map[string]int64{"offset": end, "end": int64(len(t.records))})
}

// checkProducer answers an append that its epoch or sequence number settles, and reports whether it
// did.
func (t *topic) checkProducer(w http.ResponseWriter, name string, epoch, seq, end int64) bool {
	p := t.producers[name]
	switch {
	case p == nil || epoch > p.epoch:
		return false
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return true
	}
	if first, ok := p.answers[seq]; ok {
		writeJSON(w, http.StatusOK, map[string]int64{"offset": first, "end": end})
		return true
	}
	if seq != p.seq+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
		return true
	}
	return false
}

func (t *topic) remember(name string, epoch, seq, offset int64) {
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, answers: map[int64]int64{}}
		t.producers[name] = p
	}
	p.seq = seq
	p.answers[seq] = offset
	delete(p.answers, seq-5)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, client string) {
	name, from := r.URL.Query().Get("topic"), number(r, "from")
	limit := 1 << 20
	if kb := number(r, "max_kb"); kb > 0 {
		limit = int(kb) << 10
	}
	deadline := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.topic(name).records, s.changed
		s.mu.Unlock()
		if from < int64(len(records)) || !waiting {
			if s.blocked(w, r, client) {
				return
			}
			w.Write(encodeRead(records, from, limit))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRead encodes the answer to a read: the end, the first offset, and records up to a size. At
// least one record is in it.
func encodeRead(records []record, from int64, limit int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < int64(len(records)); i++ {
		rec := records[i]
		if i > from && len(out)+len(rec.key)+len(rec.value)+5 > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(append(out, rec.key...), rec.value...)
	}
	return out
}

type newestItem struct {
	Key    string `json:"tlsKey"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("dependsOn")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]int{}
	for i, rec := range t.records {
		newest[rec.key] = i
	}
	var keys []string
	for key, i := range newest {
		if len(t.records[i].value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []newestItem{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		i := newest[key]
		items = append(items, newestItem{key, base64.StdEncoding.EncodeToString(t.records[i].value), int64(i)})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"items": items, "more": len(keys) > pageItems, "end": len(t.records),
	})
}

// put writes a record as the operator, whom no fault affects.
func (s *store) put(topicName, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.records = append(t.records, record{key: key, value: data})
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
