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

// TestSuspendedFollower checks that the time since the last confirmation includes a suspension of
// the box, also for a read that was in flight during the suspension. Otherwise keys that were
// removed meanwhile would still be accepted.
func TestSuspendedFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := jobtest.NewLog(1)
		var gap atomic.Int64
		format := catalog.Format{ConfigKey: "config", DecodeConfig: decode}
		suspended := func() time.Duration { return time.Duration(gap.Load()) }
		f := catalog.NewFollower(log.Client("e"), format, zerolog.Nop()).WithSuspension(suspended)
		go f.Run(ctx)
		age := func() time.Duration {
			_, syncedAt := f.Current()
			return time.Since(syncedAt)
		}
		time.Sleep(3 * time.Second)
		if age() > 1100*time.Millisecond {
			t.Errorf("the catalog was last confirmed %v ago", age())
		}
		gap.Store(int64(6 * time.Second))
		if age() < 6*time.Second {
			t.Errorf("after 6 s of suspension the catalog was last confirmed %v ago, want at least 6 s", age())
		}
		// The read that was in flight is answered within its wait.
		time.Sleep(501 * time.Millisecond)
		if age() < 6*time.Second {
			t.Errorf("after a read sent before the suspension the catalog was last confirmed %v ago, want at least 6 s", age())
		}
		time.Sleep(2 * time.Second)
		if age() > 1100*time.Millisecond {
			t.Errorf("2 s later the catalog was last confirmed %v ago", age())
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestFollower checks that new versions are applied soon, that the version never reverts, and that
// the last confirmation ages during an outage of the log.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := jobtest.NewLog(1)
		f := catalog.NewFollower(log.Client("e"), catalog.Format{ConfigKey: "config", DecodeConfig: decode}, zerolog.Nop())
		go f.Run(ctx)
		if c, _ := f.Current(); c != nil {
			t.Error("there is a configuration before one was stored")
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
		if _, syncedAt := f.Current(); time.Since(syncedAt) > 1100*time.Millisecond {
			t.Errorf("the catalog was last confirmed %v ago", time.Since(syncedAt))
		}
		log.SetFault("e", jobtest.Fault{Silent: true})
		outageStart := time.Now()
		time.Sleep(5 * time.Second)
		if _, syncedAt := f.Current(); syncedAt.After(outageStart) {
			t.Error("the catalog was confirmed during the outage of the log")
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// cordonFormat is the record format of the tests. The value of a valid cordon is "yes".
var cordonFormat = catalog.Format{
	ConfigKey: "config", DecodeConfig: decode, Zones: []string{"a", "b"},
	CordonedZone: func(key string) (string, bool) { return strings.CutPrefix(key, "cordon/") },
	CheckCordon: func(value []byte) error {
		if string(value) != "yes" {
			return errors.New("want yes")
		}
		return nil
	},
}

// TestCordons checks that the cordoned zones result from the operators' records in order. An
// invalid record changes nothing, unless the reader has missed the earlier ones.
func TestCordons(t *testing.T) {
	type record struct{ zone, value string }
	a := []string{"a"}
	tests := []struct {
		name    string
		records []record
		// want lists the cordoned zones for a reader that sees every record, newest those for one
		// that sees only the newest record of each key.
		want, newest []string
		logged       string
	}{
		{"none", nil, nil, nil, ""},
		{"one", []record{{"a", "yes"}}, []string{"a"}, []string{"a"}, "zone is cordoned"},
		{"two", []record{{"b", "yes"}, {"a", "yes"}}, []string{"a", "b"}, []string{"a", "b"}, "zone is cordoned"},
		{"removed", []record{{"a", "yes"}, {"a", ""}}, nil, nil, "zone is no longer cordoned"},
		{"removed and set again", []record{{"a", "yes"}, {"a", ""}, {"a", "yes"}}, a, a, "zone is no longer cordoned"},
		{"unreadable", []record{{"a", "no"}}, nil, []string{"a"}, "invalid cordon record"},
		{"unreadable after a readable one", []record{{"a", "yes"}, {"a", "no"}}, a, a, "invalid cordon record"},
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
					cordons, syncedAt := f.Cordons()
					want := test.want
					if atOnce {
						want = test.newest
					}
					if got := slices.Sorted(maps.Keys(cordons)); !slices.Equal(got, want) {
						t.Errorf("cordoned are %q, want %q", got, want)
					}
					if time.Since(syncedAt) > time.Second {
						t.Errorf("the cordons were last confirmed %v ago", time.Since(syncedAt))
					}
					// A reader that starts late sees only the newest record of each key.
					if !atOnce && !strings.Contains(out.String(), test.logged) {
						t.Errorf("the log does not contain %q:\n%s", test.logged, out.String())
					}
					cancel()
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}

// TestCordonsAfterLostHistory checks that a reader that is cut off while old records expire detects
// a cordon that was removed meanwhile, and keeps Since of one that remains.
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
			t.Errorf("the remaining cordon changed from %+v to %+v", before["b"], after["b"])
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// put writes a record. An empty value deletes the key.
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

// TestManyQueues checks that with 1,400 additional routes each path still leads to its own queue,
// and that the longest prefix wins.
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
