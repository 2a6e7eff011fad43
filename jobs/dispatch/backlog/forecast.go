package backlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/job"
)

// MaxAge is the age from which a forecast is void. A leader under load writes one each second, and
// an entry may read it 0.8 s later; a backlog that is older says little about the next seconds.
const MaxAge = 2 * time.Second

// Forecast is the backlog of all overloaded services, as the leader of a term knew it. The zero
// value is empty.
type Forecast struct {
	term     int64
	next     int64
	services map[string]Service
}

// With returns the forecast with the backlog of a service.
func (f Forecast) With(name string, s Service) Forecast {
	services := maps.Clone(f.services)
	if services == nil {
		services = map[string]Service{}
	}
	services[name] = s
	f.services = services
	return f
}

// WithTerm returns the forecast as that of a term's leader.
func (f Forecast) WithTerm(term int64) Forecast {
	f.term = term
	return f
}

// WithNext returns the forecast with the offset in the jobs topic up to which submissions are part
// of it.
func (f Forecast) WithNext(next int64) Forecast {
	f.next = next
	return f
}

// Next returns the offset in the jobs topic up to which submissions are part of the forecast, or
// zero if it is not known.
func (f Forecast) Next() int64 { return f.next }

// Term returns the term of the leader that wrote the forecast.
func (f Forecast) Term() int64 { return f.term }

// Service returns the backlog of a service, and false if the service is not overloaded.
func (f Forecast) Service(name string) (Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// Services returns the names of the overloaded services, sorted.
func (f Forecast) Services() []string { return slices.Sorted(maps.Keys(f.services)) }

// Empty reports whether no service is overloaded.
func (f Forecast) Empty() bool { return len(f.services) == 0 }

// record is the stored form of a forecast.
type record struct {
	Term int64 `json:"term"`
	// Services holds for each service and priority the backlog of each team, in milliseconds of the
	// whole service.
	Services map[string][]map[string]int64 `json:"services"`
	// Capacity is that of each service's workers, from which readers compute the work of a job. A
	// service without it is ignored.
	Capacity map[string]job.Resources `json:"capacity,omitempty"`
	// Next is the offset in the topic up to which submissions are part of the forecast. Readers add
	// those that came later.
	Next int64 `json:"next,omitempty"`
}

// Encode returns the stored form.
func (f Forecast) Encode() ([]byte, error) {
	r := record{
		Term:     f.term,
		Next:     f.next,
		Services: map[string][]map[string]int64{},
		Capacity: map[string]job.Resources{},
	}
	for name, s := range f.services {
		list := make([]map[string]int64, len(s.priorities))
		for p, teams := range s.priorities {
			list[p] = make(map[string]int64, len(teams))
			for team, d := range teams {
				list[p][team] = d.Milliseconds()
			}
		}
		r.Services[name], r.Capacity[name] = list, s.capacity
	}
	return json.Marshal(r)
}

// Decode decodes the stored form. It ignores unknown fields, which later versions may add.
func Decode(value []byte) (Forecast, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return Forecast{}, fmt.Errorf("backlog.Decode: %w", err)
	}
	f := Forecast{term: r.Term, next: r.Next, services: map[string]Service{}}
	for name, list := range r.Services {
		of := map[Key]time.Duration{}
		for p, teams := range list {
			for team, ms := range teams {
				if ms < 0 {
					return Forecast{}, fmt.Errorf("backlog.Decode: service %s has %d ms for team %q", name, ms, team)
				}
				of[Key{Priority: p, Team: team}] = time.Duration(min(ms, maxBacklog.Milliseconds())) * time.Millisecond
			}
		}
		f.services[name] = NewService(r.Capacity[name], of)
	}
	return f, nil
}
