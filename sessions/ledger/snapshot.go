package ledger

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/benbjohnson/immutable"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
)

// chunkBytes is the maximum data size of one snapshot record. A compressed state of 1 MB takes 16
// appends.
const chunkBytes = 64 << 10

// maxStateBytes is the maximum size of a decompressed state, so that a corrupt snapshot cannot
// exhaust memory.
const maxStateBytes = 64 << 20

// storedState is the stored form of a State, as JSON. Snapshots and the states that entries send to
// their peers contain it in compressed form.
type storedState struct {
	Revision       int64            `json:"revision"`
	ConfigRevision int64            `json:"config_revision"`
	SavedRevision  int64            `json:"saved_revision"`
	SavedAt        int64            `json:"saved_at"`
	Config         []ConfigEntry    `json:"config"`
	Workers        []Worker         `json:"workers"`
	Sessions       []Session        `json:"sessions"`
	Placements     []Placement      `json:"placements"`
	Ended          map[int64]string `json:"ended"`
	Seen           []Verdict        `json:"seen"`
}

// EncodeState returns the compressed stored form of a state.
func EncodeState(s State) ([]byte, error) {
	form := storedState{
		Revision:       s.revision,
		ConfigRevision: s.configRevision,
		SavedRevision:  s.savedRevision,
		SavedAt:        s.savedAt,
		Config:         s.Config(),
		Workers:        s.Workers(),
		Sessions:       s.Sessions(),
		Placements:     s.Placements(),
		Ended:          make(map[int64]string),
	}
	for itr := s.ended.Iterator(); !itr.Done(); {
		offset, name, _ := itr.Next()
		form.Ended[offset] = name
	}
	for itr := s.seenOrder.Iterator(); !itr.Done(); {
		_, id, _ := itr.Next()
		v, _ := s.seen.Get(id)
		form.Seen = append(form.Seen, v)
	}
	var buffer bytes.Buffer
	zip := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(zip).Encode(form); err != nil {
		return nil, fmt.Errorf("ledger.EncodeState: %w", err)
	}
	if err := zip.Close(); err != nil {
		return nil, fmt.Errorf("ledger.EncodeState: %w", err)
	}
	return buffer.Bytes(), nil
}

// DecodeState parses the stored form of a state.
func DecodeState(data []byte) (State, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return State{}, fmt.Errorf("ledger.DecodeState: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(zip, maxStateBytes+1))
	if err != nil {
		return State{}, fmt.Errorf("ledger.DecodeState: %w", err)
	}
	if len(plain) > maxStateBytes {
		return State{}, fmt.Errorf("ledger.DecodeState: more than %d bytes", maxStateBytes)
	}
	var form storedState
	if err := fault.Decode(plain, &form); err != nil {
		return State{}, fmt.Errorf("ledger.DecodeState: %w", err)
	}
	return form.state()
}

func (form storedState) state() (State, error) {
	s := NewState()
	s.revision, s.configRevision = form.Revision, form.ConfigRevision
	s.savedRevision, s.savedAt = form.SavedRevision, form.SavedAt
	for _, e := range form.Config {
		s.config = s.config.Set(e.Key, e)
		if !strings.HasPrefix(e.Key, TeamPrefix) {
			continue
		}
		team, err := decodeTeam(e.Value)
		if err != nil {
			return State{}, fmt.Errorf("ledger.DecodeState: %s: %w", e.Key, err)
		}
		s.teams = s.teams.Set(team.Name, team)
	}
	s.workers = sorted(form.Workers, func(w Worker) string { return w.Name })
	s.sessions = sorted(form.Sessions, func(v Session) string { return v.Name })
	s.placements = sorted(form.Placements, func(p Placement) int64 { return p.Token })
	for offset, name := range form.Ended {
		s.ended = s.ended.Set(offset, name)
	}
	for _, v := range form.Seen {
		s.seen = s.seen.Set(v.ID, v)
		s.seenOrder = s.seenOrder.Set(v.Offset, v.ID)
	}
	return s, nil
}

func sorted[K string | int64, V any](list []V, key func(V) K) *immutable.SortedMap[K, V] {
	m := immutable.NewSortedMap[K, V](nil)
	for _, v := range list {
		m = m.Set(key(v), v)
	}
	return m
}

// chunk is one record of the snapshot stream.
type chunk struct {
	// Writer distinguishes processes that write snapshots of the same revision.
	Writer   string `json:"writer"`
	Revision int64  `json:"revision"`
	Index    int    `json:"index"`
	Total    int    `json:"total"`
	Data     []byte `json:"data"`
}

// WriteSnapshot appends the whole state to the snapshot stream in chunks. Readers ignore incomplete
// snapshots and duplicate chunks.
func WriteSnapshot(ctx context.Context, log hosting.Log, writer string, s State) error {
	data, err := EncodeState(s)
	if err != nil {
		return err
	}
	total := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range total {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		record, err := json.Marshal(chunk{Writer: writer, Revision: s.revision, Index: i, Total: total, Data: part})
		if err != nil {
			return fmt.Errorf("ledger.WriteSnapshot: %w", err)
		}
		if _, err := log.Append(ctx, hosting.SnapshotStream, record); err != nil {
			return fault.New("ledger.WriteSnapshot", hosting.SnapshotStream, err)
		}
	}
	return nil
}

// snapshotKey identifies a snapshot in the stream.
type snapshotKey struct {
	writer   string
	revision int64
}

// errNoSnapshot means that the stream has no complete snapshot.
var errNoSnapshot = errors.New("no complete snapshot")

// ReadSnapshot returns the newest complete snapshot in the stream.
func ReadSnapshot(ctx context.Context, log hosting.Log) (State, error) {
	parts := make(map[snapshotKey]map[int][]byte)
	var newest State
	found := false
	for offset := int64(0); ; {
		batch, err := log.Read(ctx, hosting.SnapshotStream, offset, readLimit, 0)
		if err != nil {
			return State{}, fault.New("ledger.ReadSnapshot", hosting.SnapshotStream, err)
		}
		for _, r := range batch.Records {
			offset = r.Offset + 1
			s, complete := collect(parts, r.Data)
			if complete && (!found || s.revision > newest.revision) {
				newest, found = s, true
			}
		}
		if len(batch.Records) == 0 {
			break
		}
	}
	if !found {
		return State{}, errNoSnapshot
	}
	return newest, nil
}

// collect adds a chunk and returns the state if the chunk completes its snapshot. It ignores
// unreadable chunks.
func collect(parts map[snapshotKey]map[int][]byte, data []byte) (State, bool) {
	var c chunk
	if err := fault.Decode(data, &c); err != nil || c.Index < 0 || c.Index >= c.Total {
		return State{}, false
	}
	key := snapshotKey{writer: c.Writer, revision: c.Revision}
	if parts[key] == nil {
		parts[key] = make(map[int][]byte)
	}
	parts[key][c.Index] = c.Data
	if len(parts[key]) < c.Total {
		return State{}, false
	}
	var joined []byte
	for i := range c.Total {
		joined = append(joined, parts[key][i]...)
	}
	delete(parts, key)
	s, err := DecodeState(joined)
	return s, err == nil && s.revision == c.Revision
}
