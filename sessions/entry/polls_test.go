package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// TestStepBack checks that an entry that loses the log while its peer reaches it answers its open
// polls immediately and lists only the peer, which can record the agents' reports. Later polls are
// held as usual, because their agents reach no other entry.
func TestStepBack(t *testing.T) {
	peerInfo := membership.EntryInfo{Name: "b", Zone: "z", Address: "http://b"}
	tests := []struct {
		name string
		// own and other report whether this entry and its peer reach the log.
		own, other bool
		redirects  bool
	}{
		{"both reach it", true, true, false},
		{"only this one does", true, false, false},
		{"only the peer does", false, true, true},
		{"the log is down", false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Settings{
					Name:    "a",
					Zone:    "z",
					Address: "http://a",
				}, Dependencies{Platform: standin.New(), Telemetry: telemetry.Discard()})
				defer e.Leave()
				data, _ := ledger.Record{ID: "join", Join: &ledger.JoinWorker{Worker: ledger.Worker{
					Name: "w", Zone: "z", Rack: "r", Address: "http://w", Incarnation: "one", Slots: 1,
				}}}.Encode()
				e.replica.Apply([]hosting.Record{{Offset: 1, Data: data}})
				e.ready.Store(true)
				e.log.Store(&logHealth{reachable: tt.own, lastRead: time.Now()})
				e.peers.byURL["http://b"] = peer{info: peerInfo, seen: time.Now(), logReachable: tt.other}

				views := make(chan membership.View, 2)
				hold := func() {
					go func() {
						views <- e.awaitView(context.Background(), membership.PollRequest{Worker: "w", Incarnation: "one", Revision: 1})
					}()
				}
				hold()
				synctest.Wait()
				e.redirectIfCutOff()
				synctest.Wait()
				if ended := len(views) == 1; ended != tt.redirects {
					t.Errorf("open poll answered: %v, want %v", ended, tt.redirects)
				}
				if tt.redirects {
					if v := <-views; len(v.Entries) != 1 || v.Entries[0] != peerInfo {
						t.Errorf("the response lists %v, want only the peer", v.Entries)
					}
				}
				hold()
				e.redirectIfCutOff()
				synctest.Wait()
				if len(views) != 0 {
					t.Error("a later poll was not held open")
				}
				time.Sleep(2 * membership.PollWait)
			})
		})
	}
}
