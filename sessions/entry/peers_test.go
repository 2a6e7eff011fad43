package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/julienschmidt/httprouter"

	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/hosting/standin"
)

// silentBoxes is a platform whose list of boxes gives no answer.
type silentBoxes struct{ hosting.Platform }

func (silentBoxes) Boxes(ctx context.Context) ([]hosting.Box, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestPingWithoutPlatform cuts an entry off the platform without a word. It must not take its
// peer for dead because of that: it would then neither ask it for its state nor send agents to
// it.
func TestPingWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		other := New(Settings{Name: "b", Zone: "z", Address: "http://b"}, Parts{Telemetry: telemetry.Discard()})
		other.ready.Store(true)
		r := httprouter.New()
		r.GET("/internal/ping", other.servePing)
		network.Attach("http://b", http.Handler(r))
		ps := newPeers(Settings{Name: "a", Address: "http://a", Peers: []string{"http://b"}}, Parts{
			Platform: silentBoxes{standin.New()}, Client: network.Client("http://a"), Telemetry: telemetry.Discard(),
		})
		ps.ping(t.Context())
		if alive := ps.alive(); len(alive) != 1 || alive[0].Name != "b" {
			t.Errorf("alive are %v, want b", alive)
		}
	})
}
