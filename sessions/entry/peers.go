package entry

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"yarrowgrade.example/yarrowgrade/internal/jsonhttp"
	"yarrowgrade.example/yarrowgrade/sessions/hosting"
	"yarrowgrade.example/yarrowgrade/sessions/ledger"
	"yarrowgrade.example/yarrowgrade/sessions/membership"
)

// Periods and timeouts of the calls to other entries.
const (
	pingPeriod = time.Second
	// aliveFor is how long a peer counts as alive after its last answer.
	aliveFor     = 3 * time.Second
	pingTimeout  = 800 * time.Millisecond
	stateTimeout = 3 * time.Second
)

// peer is the latest status of another entry.
type peer struct {
	info membership.EntryInfo
	// seen is the time of its last answer. It is zero if the peer never answered.
	seen time.Time
	// logReachable reports whether the peer could reach the log at that time.
	logReachable bool
}

func (p peer) isAlive() bool { return !p.seen.IsZero() && time.Since(p.seen) < aliveFor }

// peers tracks the other entries. The platform's list of boxes only helps to find them: an entry
// counts as alive if it answers pings.
type peers struct {
	settings Settings
	deps     Dependencies
	mu       sync.Mutex
	byURL    map[string]peer
}

func newPeers(s Settings, p Dependencies) *peers {
	ps := &peers{settings: s, deps: p, byURL: make(map[string]peer)}
	for _, address := range s.Peers {
		ps.byURL[address] = peer{info: membership.EntryInfo{Address: address}}
	}
	return ps
}

// ping pings all known peers and discovers new ones. It does both concurrently, because an entry
// that cannot reach the platform would otherwise use up the timeout and consider all peers dead.
func (ps *peers) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { ps.discover(ctx) })
	for _, address := range ps.addresses() {
		wg.Go(func() { ps.pingOne(ctx, address) })
	}
	wg.Wait()
}

// discover adds the entries in the platform's list of boxes. It ignores errors: the known peers
// remain, and the next ping retries.
func (ps *peers) discover(ctx context.Context) {
	boxes, err := ps.deps.Platform.Boxes(ctx)
	if err != nil {
		return
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, b := range boxes {
		if b.Role != hosting.EntryBox || b.State != hosting.BoxLive || b.Address == ps.settings.Address {
			continue
		}
		if _, found := ps.byURL[b.Address]; !found {
			ps.byURL[b.Address] = peer{info: membership.EntryInfo{Name: b.Name, Address: b.Address}}
		}
	}
}

func (ps *peers) pingOne(ctx context.Context, address string) {
	var answer membership.PingAnswer
	err := jsonhttp.Call(ctx, ps.deps.Client, "entry.ping", http.MethodGet, address, "/internal/ping", nil, &answer)
	if err != nil {
		return
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.byURL[address] = peer{info: answer.EntryInfo, seen: time.Now(), logReachable: answer.LogReachable}
}

func (ps *peers) addresses() []string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	list := make([]string, 0, len(ps.byURL))
	for address := range ps.byURL {
		list = append(list, address)
	}
	sort.Strings(list)
	return list
}

// alive returns the live peers, sorted by name.
func (ps *peers) alive() []membership.EntryInfo {
	return ps.filter(func(p peer) bool { return p.isAlive() })
}

// withLog returns the peers that are alive and reach the log, by name.
func (ps *peers) withLog() []membership.EntryInfo {
	return ps.filter(func(p peer) bool { return p.isAlive() && p.logReachable })
}

func (ps *peers) filter(ok func(peer) bool) []membership.EntryInfo {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var list []membership.EntryInfo
	for _, p := range ps.byURL {
		if ok(p) {
			list = append(list, p.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// rank returns the position of this entry in the order of the live entries. The entry of rank zero
// proposes first.
func (ps *peers) rank() int {
	names := []string{ps.settings.Name}
	for _, info := range ps.alive() {
		names = append(names, info.Name)
	}
	for i, name := range membership.RendezvousOrder("control", names) {
		if name == ps.settings.Name {
			return i
		}
	}
	return 0
}

// NewerState implements ledger.PeerStates. It queries the live peers one after the other or, if
// there are none, all known peers.
func (ps *peers) NewerState(ctx context.Context, revision int64) (ledger.State, bool) {
	addresses := ps.addresses()
	if alive := ps.alive(); len(alive) > 0 {
		addresses = nil
		for _, info := range alive {
			addresses = append(addresses, info.Address)
		}
	}
	for _, address := range addresses {
		if s, found := ps.stateOf(ctx, address, revision); found {
			return s, true
		}
	}
	return ledger.State{}, false
}

func (ps *peers) stateOf(ctx context.Context, address string, revision int64) (ledger.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var data []byte
	path := fmt.Sprintf("/internal/state?newer_than=%d", revision)
	err := jsonhttp.Call(ctx, ps.deps.Client, "entry.state", http.MethodGet, address, path, nil, &data)
	if err != nil || len(data) == 0 {
		return ledger.State{}, false
	}
	s, err := ledger.DecodeState(data)
	if err != nil {
		ps.deps.Telemetry.Log.Error().Str("step", "entry.state").Str("peer", address).Err(err).
			Msg("cannot decode the state of a peer")
		return ledger.State{}, false
	}
	return s, s.Revision() > revision
}
