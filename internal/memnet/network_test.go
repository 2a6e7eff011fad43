package memnet

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestThawOfReplacedProcess: a frozen process at whose address another one is attached goes on with
// its requests when the address is thawed, or when all is healed.
//
// Its requests were held for good, and a day that had ended otherwise could not end.
func TestThawOfReplacedProcess(t *testing.T) {
	thaws := map[string]func(n *Network){
		"thawed": func(n *Network) { n.Thaw("http://entry") },
		"healed": func(n *Network) { n.Heal() },
	}
	for name, thaw := range thaws {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				served := 0
				n.Attach("http://entry", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
				n.Attach("http://agent", http.NotFoundHandler())
				n.Freeze("http://entry")
				go func() {
					response, err := n.Client("http://agent").Post("http://entry/", "text/plain", strings.NewReader("poll"))
					if err != nil {
						t.Error(err)
						return
					}
					response.Body.Close()
				}()
				time.Sleep(time.Second)
				n.Attach("http://entry", http.NotFoundHandler())
				time.Sleep(time.Second)
				if served != 0 {
					t.Error("a frozen process has served a request")
				}
				thaw(n)
				time.Sleep(time.Second)
				if served != 1 {
					t.Errorf("the request was served %d times, want once", served)
				}
			})
		})
	}
}
