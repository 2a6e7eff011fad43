package catalog_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

func decode(data []byte) (*catalog.Catalog, error) {
	c := catalog.Catalog{}
	if _, err := fmt.Sscan(string(data), &c.Version); err != nil {
		return nil, err
	}
	return c.WithIndex(), nil
}

// TestSuspendedFollower: a proof from before a suspension of the machine is as old as it really
// is, and so is that of a read that was under way meanwhile: keys may have been removed.
func TestSuspendedFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := jobtest.NewLog(1)
		var gap atomic.Int64
		format := catalog.Format{ConfigKey: "config", Config: decode}
		suspended := func() time.Duration { return time.Duration(gap.Load()) }
		f := catalog.NewFollower(log.Client("e"), format, zerolog.Nop()).WithSuspension(suspended)
		go f.Run(ctx)
		age := func() time.Duration {
			_, proof := f.Current()
			return time.Since(proof)
		}
		time.Sleep(3 * time.Second)
		if age() > 1100*time.Millisecond {
			t.Errorf("the proof is %v old", age())
		}
		gap.Store(int64(6 * time.Second))
		if age() < 6*time.Second {
			t.Errorf("after 6 s of suspension the proof is %v old", age())
		}
		// The read that was under way is answered within its wait.
		time.Sleep(501 * time.Millisecond)
		if age() < 6*time.Second {
			t.Errorf("a read from before the suspension proves something %v old", age())
		}
		time.Sleep(2 * time.Second)
		if age() > 1100*time.Millisecond {
			t.Errorf("2 s later the proof is %v old", age())
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestFollower: a version is in force soon, none reverts, and the proof ages while the log is
// away.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := jobtest.NewLog(1)
		f := catalog.NewFollower(log.Client("e"), catalog.Format{ConfigKey: "config", Config: decode}, zerolog.Nop())
		go f.Run(ctx)
		if c, _ := f.Current(); c != nil {
			t.Error("a configuration is in force before one came")
		}
		for _, step := range []struct {
			value string
			want  int64
		}{{"3", 3}, {"8", 8}, {"5", 8}, {"broken", 8}, {"9", 9}} {
			records := []topic.Record{{Key: "config", Value: []byte(step.value)}, {Key: "other", Value: []byte("99")}}
			if _, err := log.Client("o").Append(ctx, records, topic.Condition{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			if c, _ := f.Current(); c == nil || c.Version != step.want {
				t.Errorf("after %q the version is %+v, want %d", step.value, c, step.want)
			}
		}
		time.Sleep(3 * time.Second)
		if _, proof := f.Current(); time.Since(proof) > 1100*time.Millisecond {
			t.Errorf("the proof is %v old", time.Since(proof))
		}
		log.SetFault("e", jobtest.Fault{Silent: true})
		away := time.Now()
		time.Sleep(5 * time.Second)
		if _, proof := f.Current(); proof.After(away) {
			t.Error("there is a proof from while the log was away")
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// cordonFormat reads the records of tests: a cordon's value is "yes".
var cordonFormat = catalog.Format{
	ConfigKey: "config", Config: decode, Zones: []string{"a", "b"},
	CordonedZone: func(key string) (string, bool) { return strings.CutPrefix(key, "cordon/") },
	CheckCordon: func(value []byte) error {
		if string(value) != "yes" {
			return errors.New("want yes")
		}
		return nil
	},
}

// TestCordons: which zones are cordoned follows from operators' records in their order; an
// unreadable one changes nothing.
func TestCordons(t *testing.T) {
	type record struct{ zone, value string }
	a := []string{"a"}
	tests := []struct {
		name    string
		records []record
		// want is what is cordoned for a reader that sees each record, newest for one that sees
		// only the newest of each key.
		want, newest []string
		logged       string
	}{
		{"none", nil, nil, nil, ""},
		{"one", []record{{"a", "yes"}}, []string{"a"}, []string{"a"}, "zone is cordoned"},
		{"two", []record{{"b", "yes"}, {"a", "yes"}}, []string{"a", "b"}, []string{"a", "b"}, "zone is cordoned"},
		{"removed", []record{{"a", "yes"}, {"a", ""}}, nil, nil, "zone is open again"},
		{"removed and set again", []record{{"a", "yes"}, {"a", ""}, {"a", "yes"}}, a, a, "zone is open again"},
		{"unreadable", []record{{"a", "no"}}, nil, []string{"a"}, "cordon is unreadable"},
		{"unreadable after a readable one", []record{{"a", "yes"}, {"a", "no"}}, a, a, "cordon is unreadable"},
		{"a zone that does not exist", []record{{"c", "yes"}}, []string{"c"}, []string{"c"}, "cordoned zone does not exist"},
	}
	for _, test := range tests {
		for _, atOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, at once %v", test.name, atOnce), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var out strings.Builder
					log := jobtest.NewLog(1)
					f := catalog.NewFollower(log.Client("e"), cordonFormat, zerolog.New(&out))
					if !atOnce {
						go f.Run(ctx)
						time.Sleep(time.Second)
					}
					for _, r := range test.records {
						put(ctx, t, log, "cordon/"+r.zone, r.value)
						time.Sleep(20 * time.Millisecond)
					}
					if atOnce {
						go f.Run(ctx)
					}
					time.Sleep(time.Second)
					cordons, proof := f.Cordons()
					want := test.want
					if atOnce {
						want = test.newest
					}
					if got := slices.Sorted(maps.Keys(cordons)); !slices.Equal(got, want) {
						t.Errorf("cordoned are %q, want %q", got, want)
					}
					if time.Since(proof) > time.Second {
						t.Errorf("the proof is %v old", time.Since(proof))
					}
					// Of records that were replaced before the first read only the newest is
					// there.
					if !atOnce && !strings.Contains(out.String(), test.logged) {
						t.Errorf("the log does not say %q:\n%s", test.logged, out.String())
					}
					cancel()
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// TestCordonsAfterLostHistory: a reader that was cut off while history was dropped notices the
// cordon that went, and keeps Since of the one that stays.
func TestCordonsAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := jobtest.NewLog(1)
		f := catalog.NewFollower(log.Client("e"), cordonFormat, zerolog.Nop())
		go f.Run(ctx)
		put(ctx, t, log, "cordon/a", "yes")
		put(ctx, t, log, "cordon/b", "yes")
		time.Sleep(time.Second)
		before, _ := f.Cordons()
		log.SetFault("e", jobtest.Fault{Refuse: true})
		time.Sleep(time.Second)
		put(ctx, t, log, "cordon/a", "")
		log.Expire()
		time.Sleep(time.Second)
		log.Heal()
		time.Sleep(time.Second)
		after, _ := f.Cordons()
		if after.Has("a") || !after.Has("b") {
			t.Errorf("cordoned are %v, want only b", after)
		}
		if after["b"] != before["b"] {
			t.Errorf("the cordon that stayed was %+v and is %+v", before["b"], after["b"])
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// put writes a record; an empty value drops its key.
func put(ctx context.Context, t *testing.T, log *jobtest.Log, key, value string) {
	t.Helper()
	r := topic.Record{Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	if _, err := log.Client("o").Append(ctx, []topic.Record{r}, topic.Condition{}); err != nil {
		t.Fatal(err)
	}
}

// TestManyQueues: with 1,400 routes more, each still leads to its own queue, the longest prefix
// first.
func TestManyQueues(t *testing.T) {
	const routes = 1400
	c := catalog.Catalog{Version: 1}
	for i := range routes {
		c.Queues = append(c.Queues, catalog.Queue{
			Name:   fmt.Sprint(i),
			Host:   fmt.Sprintf("h%d.example", i%7),
			Prefix: fmt.Sprintf("/p%d/", i),
		})
	}
	c.Queues = append(c.Queues, catalog.Queue{Name: "longer", Host: "h3.example", Prefix: "/p3/x/"})
	indexed := c.WithIndex()
	for i := range routes {
		host, path := fmt.Sprintf("h%d.example", i%7), fmt.Sprintf("/p%d/0123456789abcdef", i)
		if q, ok := indexed.Route(host, path); !ok || q.Name != fmt.Sprint(i) {
			t.Fatalf("route %d leads to %q, %v", i, q.Name, ok)
		}
	}
	if q, _ := indexed.Route("h3.example", "/p3/x/0123456789abcdef"); q.Name != "longer" {
		t.Errorf("the longer prefix leads to %q", q.Name)
	}
	if q, ok := indexed.Route("h3.example", "/p4/0123456789abcdef"); ok {
		t.Errorf("a route of another host leads to %q", q.Name)
	}
}
