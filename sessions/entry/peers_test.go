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

// hangingBoxes is a platform whose Boxes method blocks until its context ends.
type hangingBoxes struct{ hosting.Platform }

func (hangingBoxes) Boxes(ctx context.Context) ([]hosting.Box, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestPingWithoutPlatform checks that an entry whose calls to the platform hang still considers a
// reachable peer alive. Otherwise the entry would neither fetch the peer's state nor redirect
// agents to it.
func TestPingWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		other := New(Settings{Name: "b", Zone: "z", Address: "http://b"}, Dependencies{Telemetry: telemetry.Discard()})
		other.ready.Store(true)
		r := httprouter.New()
		r.GET("/internal/ping", other.servePing)
		network.Attach("http://b", http.Handler(r))
		ps := newPeers(Settings{Name: "a", Address: "http://a", Peers: []string{"http://b"}}, Dependencies{
			Platform: hangingBoxes{standin.New()}, Client: network.Client("http://a"), Telemetry: telemetry.Discard(),
		})
		ps.ping(t.Context())
		if alive := ps.alive(); len(alive) != 1 || alive[0].Name != "b" {
			t.Errorf("got live peers %v, want b", alive)
		}
	})
}
