package ledger

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/benbjohnson/immutable"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/sessions/placement"
)

// seenLimit is the number of record IDs remembered. It covers about one day: the expected load is
// 8,000 records a day, from 750 sessions with ten records each, 450 configuration changes, and 200
// joins and leaves.
const seenLimit = 8192

// endedLimit is the number of ended sessions that remain visible to operators.
const endedLimit = 1000

// State is the result of all records up to a revision. It is immutable.
type State struct {
	revision       int64
	configRevision int64
	savedRevision  int64
	savedAt        int64
	config         *immutable.SortedMap[string, ConfigEntry]
	workers        *immutable.SortedMap[string, Worker]
	sessions       *immutable.SortedMap[string, Session]
	placements     *immutable.SortedMap[int64, Placement]
	ended          *immutable.SortedMap[int64, string] // offset of the ending record to session name
	seen           *immutable.Map[string, Verdict]
	seenOrder      *immutable.SortedMap[int64, string] // offset to record ID
	teams          *immutable.SortedMap[string, Team]  // decoded team entries of config
	// changedWorkers lists the workers that the last record changed.
	changedWorkers []string
}

// NewState returns the state before the first record.
func NewState() State {
	return State{
		config:     immutable.NewSortedMap[string, ConfigEntry](nil),
		workers:    immutable.NewSortedMap[string, Worker](nil),
		sessions:   immutable.NewSortedMap[string, Session](nil),
		placements: immutable.NewSortedMap[int64, Placement](nil),
		ended:      immutable.NewSortedMap[int64, string](nil),
		seen:       immutable.NewMap[string, Verdict](nil),
		seenOrder:  immutable.NewSortedMap[int64, string](nil),
		teams:      immutable.NewSortedMap[string, Team](nil),
	}
}

// Revision returns the offset of the last record applied; zero before the first.
func (s State) Revision() int64 { return s.revision }

// ConfigRevision returns the offset of the last accepted configuration change.
func (s State) ConfigRevision() int64 { return s.configRevision }

// LastSnapshot returns the revision of the newest snapshot and the time at which it was taken, by
// its writer's clock in ms since 1970.
func (s State) LastSnapshot() (revision, at int64) { return s.savedRevision, s.savedAt }

// Apply returns the state after the record, and the verdict on the record. The offset must be the
// one directly after the state's revision. A record that is not accepted changes only the revision
// and the remembered IDs.
func (s State) Apply(offset int64, data []byte) (State, Verdict) {
	s.revision, s.changedWorkers = offset, nil
	r, err := DecodeRecord(data)
	if err != nil {
		return s, Verdict{Offset: offset, Status: Unreadable, Reason: err.Error()}
	}
	if earlier, found := s.seen.Get(r.ID); found {
		reason := "settled at offset " + decimal(earlier.Offset)
		return s, Verdict{Offset: offset, ID: r.ID, Status: Duplicate, Reason: reason}
	}
	if floor := s.seenFloor(); r.Base < floor {
		reason := "based on revision " + decimal(r.Base) + ", older than the ids remembered"
		return s, Verdict{Offset: offset, ID: r.ID, Status: Rejected, Reason: reason}
	}
	if r.Void != nil {
		return s.void(offset, r)
	}
	next, err := s.applyBody(offset, r)
	verdict := Verdict{Offset: offset, ID: r.ID, Status: Accepted}
	if err != nil {
		next = s
		verdict.Status = Rejected
		verdict.Reason = err.Error()
	}
	return next.withSeen(r.ID, verdict), verdict
}

// void rejects an ID that has not been seen, so that a record with this ID that arrives later is a
// duplicate. The ID of the Void record itself is not remembered, because Void is idempotent.
func (s State) void(offset int64, r Record) (State, Verdict) {
	if _, found := s.seen.Get(r.Void.ID); !found {
		rejected := Verdict{Offset: offset, ID: r.Void.ID, Status: Rejected, Reason: "given up by its proposer"}
		s = s.withSeen(r.Void.ID, rejected)
	}
	return s, Verdict{Offset: offset, ID: r.ID, Status: Accepted}
}

// seenFloor returns the revision below which record IDs may have been evicted.
func (s State) seenFloor() int64 {
	if s.seenOrder.Len() < seenLimit {
		return 0
	}
	itr := s.seenOrder.Iterator()
	oldest, _, _ := itr.Next()
	return oldest
}

func (s State) withSeen(id string, v Verdict) State {
	s.seen = s.seen.Set(id, v)
	s.seenOrder = s.seenOrder.Set(v.Offset, id)
	if s.seenOrder.Len() > seenLimit {
		itr := s.seenOrder.Iterator()
		oldest, forgotten, _ := itr.Next()
		s.seenOrder = s.seenOrder.Delete(oldest)
		s.seen = s.seen.Delete(forgotten)
	}
	return s
}

// Verdict returns the verdict on the record with the ID, if there is one. A voided ID is rejected.
func (s State) Verdict(id string) (Verdict, bool) {
	return s.seen.Get(id)
}

func (s State) applyBody(offset int64, r Record) (State, error) {
	switch {
	case r.Config != nil:
		return s.putConfig(offset, r.At, *r.Config)
	case r.Join != nil:
		return s.join(offset, r.Join.Worker)
	case r.Leave != nil:
		return s.leave(offset, *r.Leave)
	case r.Create != nil:
		return s.create(offset, r.At, *r.Create)
	case r.Cancel != nil:
		return s.cancel(offset, r.At, r.Cancel.Session)
	case r.Place != nil:
		return s.place(offset, r.At, *r.Place)
	case r.Start != nil:
		return s.start(offset, *r.Start)
	case r.Stop != nil:
		return s.stop(offset, *r.Stop)
	case r.Finish != nil:
		return s.finish(offset, r.At, *r.Finish)
	case r.Checkpoint != nil:
		return s.checkpoint(*r.Checkpoint)
	case r.Saved != nil:
		s.savedRevision, s.savedAt = max(s.savedRevision, r.Saved.Revision), r.At
		return s, nil
	}
	return s.release(offset, r.At, *r.Release)
}

func (s State) putConfig(offset, at int64, put PutConfig) (State, error) {
	entry, _ := s.config.Get(put.Key)
	if entry.Revision != put.Revision {
		return s, fault.BadField("revision", "%s is at revision %d, not %d: someone else changed it",
			put.Key, entry.Revision, put.Revision)
	}
	if err := ValidateConfig(put.Key, put.Value); err != nil {
		return s, err
	}
	if strings.HasPrefix(put.Key, TeamPrefix) {
		team, err := decodeTeam(put.Value)
		if err != nil {
			return s, err
		}
		s.teams = s.teams.Set(team.Name, team)
	}
	entry.Key = put.Key
	change := Change{Revision: offset, Value: put.Value, Author: put.Author, At: at}
	s.config = s.config.Set(put.Key, entry.WithChange(change))
	s.configRevision = offset
	return s, nil
}

func (s State) join(offset int64, w Worker) (State, error) {
	if err := w.Validate(); err != nil {
		return s, err
	}
	w.Leaving = false
	w.Joined = offset
	w.Holders = make([]int64, w.Accelerators)
	if old, found := s.workers.Get(w.Name); found {
		if old.held() && old.Accelerators != w.Accelerators {
			return s, fault.BadField("worker.accelerators", "was %d, and some are held; release them first", old.Accelerators)
		}
		if old.Accelerators == w.Accelerators {
			w.Holders = old.Holders
		}
	}
	return s.withWorker(w.WithRevision(offset)), nil
}

// withWorker replaces a worker and marks it as changed, so that its agent gets a new view.
func (s State) withWorker(w Worker) State {
	s.workers = s.workers.Set(w.Name, w)
	s.changedWorkers = append(s.changedWorkers[:len(s.changedWorkers):len(s.changedWorkers)], w.Name)
	return s
}

// ChangedWorkers returns the names of the workers that the last record changed, possibly with
// duplicates. A configuration change affects all workers but is not listed here.
func (s State) ChangedWorkers() []string { return s.changedWorkers }

func (w Worker) held() bool {
	for _, h := range w.Holders {
		if h != 0 {
			return true
		}
	}
	return false
}

func (s State) leave(offset int64, l LeaveWorker) (State, error) {
	w, found := s.workers.Get(l.Worker)
	if !found {
		return s, fault.BadField("worker", "%q is not known", l.Worker)
	}
	if w.Incarnation != l.Incarnation {
		return s, fault.BadField("incarnation", "%q has been replaced", l.Incarnation)
	}
	w.Leaving = true
	return s.withWorker(w.WithRevision(offset)), nil
}

func (s State) create(offset, at int64, r CreateSession) (State, error) {
	spec := r.Spec.Defaults()
	if err := spec.Validate(); err != nil {
		return s, err
	}
	if len(r.Trace) > maxTrace {
		return s, fault.BadField("trace", "want at most %d bytes, got %d", maxTrace, len(r.Trace))
	}
	if _, found := s.sessions.Get(spec.Name); found {
		return s, fault.BadField("name", "a session %q exists already", spec.Name)
	}
	if _, found := s.teams.Get(spec.Team); !found {
		return s, fault.BadField("team", "%q is not known; put %s%s first", spec.Team, TeamPrefix, spec.Team)
	}
	s.sessions = s.sessions.Set(spec.Name, Session{
		SessionSpec: spec,
		Phase:       SessionWaiting,
		Since:       at,
		Created:     offset,
		Trace:       r.Trace,
	})
	return s, nil
}

func (s State) cancel(offset, at int64, name string) (State, error) {
	session, found := s.sessions.Get(name)
	if !found {
		return s, fault.BadField("session", "%q is not known", name)
	}
	if session.Ended() {
		return s, fault.BadField("session", "%q is %s already", name, session.Phase)
	}
	if session.Token != 0 {
		s = s.stopPlacement(offset, session.Token, "cancelled", "")
	}
	return s.endSession(offset, at, session, SessionCancelled), nil
}

func (s State) endSession(offset, at int64, session Session, phase SessionPhase) State {
	session.Phase, session.Token, session.Since = phase, 0, at
	s.sessions = s.sessions.Set(session.Name, session)
	s.ended = s.ended.Set(offset, session.Name)
	if s.ended.Len() > endedLimit {
		itr := s.ended.Iterator()
		oldest, name, _ := itr.Next()
		s.ended = s.ended.Delete(oldest)
		s.sessions = s.sessions.Delete(name)
	}
	return s
}

// Worker returns a worker by name.
func (s State) Worker(name string) (Worker, bool) { return s.workers.Get(name) }

// Session returns a session by name.
func (s State) Session(name string) (Session, bool) { return s.sessions.Get(name) }

// Placement returns a placement by token.
func (s State) Placement(token int64) (Placement, bool) { return s.placements.Get(token) }

// Team returns a team by name.
func (s State) Team(name string) (Team, bool) { return s.teams.Get(name) }

// ConfigEntry returns a configuration entry by key.
func (s State) ConfigEntry(key string) (ConfigEntry, bool) { return s.config.Get(key) }

// Workers returns all workers in the order of their names.
func (s State) Workers() []Worker { return values(s.workers) }

// Sessions returns all sessions in the order of their names.
func (s State) Sessions() []Session { return values(s.sessions) }

// Placements returns all placements in the order of their tokens.
func (s State) Placements() []Placement { return values(s.placements) }

// Teams returns all teams in the order of their names.
func (s State) Teams() []Team { return values(s.teams) }

// Config returns all configuration entries in the order of their keys.
func (s State) Config() []ConfigEntry { return values(s.config) }

// Limits returns the limits in force.
func (s State) Limits() Limits {
	limits := DefaultLimits()
	if entry, found := s.config.Get(LimitsKey); found {
		// The value was validated when it was accepted.
		_ = json.Unmarshal(entry.Value, &limits)
	}
	return limits
}

// Profile returns the placement profile in force.
func (s State) Profile() placement.Profile {
	var c PlacementConfig
	if entry, found := s.config.Get(PlacementKey); found {
		_ = json.Unmarshal(entry.Value, &c)
	}
	if c.Profile == FragmentationFirst {
		return placement.FragmentationProfile()
	}
	return placement.CompletionProfile()
}

func values[K comparable, V any](m *immutable.SortedMap[K, V]) []V {
	list := make([]V, 0, m.Len())
	for itr := m.Iterator(); !itr.Done(); {
		_, v, _ := itr.Next()
		list = append(list, v)
	}
	return list
}

// Age returns the time elapsed since a proposer's clock reading, in ms since 1970. Because clocks
// may differ, it returns zero for a reading in the future.
func Age(since int64, now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(since)))
}

// Waiting returns the waiting sessions in creation order.
func (s State) Waiting() []Session {
	var list []Session
	for _, session := range s.Sessions() {
		if session.Phase == SessionWaiting {
			list = append(list, session)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Created < list[j].Created })
	return list
}
