package catalog_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/catalog"
	"yarrowgrade.example/yarrowgrade/jobstore"
	"yarrowgrade.example/yarrowgrade/jobtest"
)

func decode(data []byte) (*catalog.Catalog, error) {
	c := catalog.Catalog{}
	if _, err := fmt.Sscan(string(data), &c.Version); err != nil {
		return nil, err
	}
	return c.WithIndex(), nil
}

// TestFollower: a version is in force soon, none reverts, and the proof ages while the log is away.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := jobtest.NewLog(1)
		f := catalog.NewFollower(log.Client("e"), "config", decode, zerolog.Nop())
		go f.Run(ctx)
		if c, _ := f.Current(); c != nil {
			t.Error("a configuration is in force before one came")
		}
		for _, step := range []struct {
			value string
			want  int64
		}{{"3", 3}, {"8", 8}, {"5", 8}, {"broken", 8}, {"9", 9}} {
			if _, err := log.Client("o").Append(ctx, []jobstore.Record{{Key: "config", Value: []byte(step.value)}, {Key: "other", Value: []byte("99")}}, jobstore.Condition{}); err != nil {
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
