package request

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// fakeTarget runs each request for the duration given in its body, and counts the runs.
type fakeTarget struct {
	mu   sync.Mutex
	runs map[string]int
	err  error
}

func (f *fakeTarget) Run(ctx context.Context, req AgentRequest) (int, string, error) {
	f.mu.Lock()
	f.runs[req.Body]++
	err := f.err
	f.mu.Unlock()
	d, _ := time.ParseDuration(req.Body)
	select {
	case <-time.After(d):
		return 200, "ran " + req.Body, err
	case <-ctx.Done():
		return 0, "", ctx.Err()
	}
}

func (f *fakeTarget) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[body]
}

func equalShares(string) int { return 1 }

func newTestServer(incarnation string, slots, queue int, share func(string) int) (*Server, *fakeTarget) {
	target := &fakeTarget{runs: make(map[string]int)}
	return NewServer("w", incarnation, target, NewAdmission(slots, queue, share), NewDedupTable()), target
}

func testKey(t testing.TB, incarnation string) string {
	t.Helper()
	k, err := NewKey("w", incarnation)
	if err != nil {
		t.Fatal(err)
	}
	return k.String()
}

func testRequest(body, key string) AgentRequest {
	return AgentRequest{ID: uuid.NewString(), Team: "a", Body: body, Key: key, LeftMillis: 5000}
}

// TestKeys checks that a request with a key runs at most once, in each case in which the request
// could run a second time or must be refused.
func TestKeys(t *testing.T) {
	tests := []struct {
		name  string
		sends func(t *testing.T, s *Server) []Answer
		want  []Outcome
		runs  int
	}{
		{"once", func(t *testing.T, s *Server) []Answer {
			return []Answer{s.Serve(t.Context(), testRequest("1s", testKey(t, "one")))}
		}, []Outcome{Done}, 1},
		{"twice at once", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			answers := make([]Answer, 2)
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() { answers[i] = s.Serve(t.Context(), testRequest("1s", key)) })
			}
			wg.Wait()
			return answers
		}, []Outcome{Done, Done}, 1},
		{"again later", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			return []Answer{s.Serve(t.Context(), testRequest("1s", key)), s.Serve(t.Context(), testRequest("1s", key))}
		}, []Outcome{Done, Done}, 1},
		{"for an incarnation that was replaced", func(t *testing.T, s *Server) []Answer {
			return []Answer{s.Serve(t.Context(), testRequest("1s", testKey(t, "zero")))}
		}, []Outcome{Unknown}, 0},
		{"with another body", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			return []Answer{s.Serve(t.Context(), testRequest("1s", key)), s.Serve(t.Context(), testRequest("2s", key))}
		}, []Outcome{Done, Unknown}, 1},
		{"past its deadline, and asked for again", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			return []Answer{s.Serve(t.Context(), testRequest("1m", key)), s.Serve(t.Context(), testRequest("1m", key))}
		}, []Outcome{Unknown, Unknown}, 1},
		{"by a caller that hangs up, and asked for again", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			return []Answer{s.Serve(ctx, testRequest("1s", key)), s.Serve(t.Context(), testRequest("1s", key))}
		}, []Outcome{Unknown, Done}, 1},
		{"refused while leaving, and sent again", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			s.admission.Leave()
			return []Answer{s.Serve(t.Context(), testRequest("1s", key)), s.Serve(t.Context(), testRequest("1s", key))}
		}, []Outcome{NotRun, NotRun}, 0},
		{"from far in the future", func(t *testing.T, s *Server) []Answer {
			id := uuid.MustParse("7fffffff-ffff-7000-8000-000000000000")
			return []Answer{s.Serve(t.Context(), testRequest("1s", Key{Worker: "w", Incarnation: "one", ID: id}.String()))}
		}, []Outcome{NotRun}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, target := newTestServer("one", 2, 10, equalShares)
				answers := tt.sends(t, s)
				runs := 0
				for _, n := range target.runs {
					runs += n
				}
				if runs != tt.runs {
					t.Errorf("ran %d times, want %d", runs, tt.runs)
				}
				for i, a := range answers {
					if a.Outcome != tt.want[i] || !a.Intact(a.ID) {
						t.Errorf("answer %d: %+v, want %s", i, a, tt.want[i])
					}
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestMemoryForgets makes random claims on a small table. Claim must return First at most once for
// each key, even after keys have been evicted.
func TestMemoryForgets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newDedupTable(rapid.IntRange(1, 5).Draw(rt, "keys"), 20)
		first := map[uuid.UUID]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "claims") {
			key := Key{Worker: "w", Incarnation: "one", ID: drawID(rt)}
			status, r := m.Claim(key, "digest")
			if status != First {
				continue
			}
			if first[key.ID] {
				rt.Fatalf("Claim(%s) returned First twice", key)
			}
			first[key.ID] = true
			m.Complete(r, Answer{Outcome: Done, Body: strings.Repeat("x", rapid.IntRange(0, 15).Draw(rt, "bytes"))})
			if len(m.records) > m.maxKeys || m.bytes > m.maxBytes {
				rt.Fatalf("the table holds %d keys and %d bytes, which exceeds its limits", len(m.records), m.bytes)
			}
			if a := m.Answer(r); a.Outcome == Done && r.bodyDropped {
				rt.Fatal("an answer was returned without its body")
			}
		}
	})
}

// drawID returns one of 40 IDs, which have one of 20 timestamps.
func drawID(rt *rapid.T) uuid.UUID {
	n := rapid.IntRange(0, 39).Draw(rt, "id")
	return uuid.MustParse(fmt.Sprintf("01900000-00%02x-7000-8000-0000000000%02x", n/2, n))
}

// runModel models each key as a write-once register: the first request with a key runs, and all
// others return its outcome.
var runModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		got := output.(string)
		if state.(string) == "" {
			return true, got
		}
		return got == state.(string), state
	},
}

// TestKeyHistories sends each of a few keys several times concurrently. Each run returns a
// different number, so all answers for a key must be those of a single run.
func TestKeyHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		run := 0
		target := targetFunc(func(ctx context.Context, h AgentRequest) (int, string, error) {
			mu.Lock()
			run++
			body := fmt.Sprint(run)
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			return 200, body, nil
		})
		s := NewServer("w", "one", target, NewAdmission(3, 100, equalShares), NewDedupTable())
		var history []porcupine.Operation
		var wg sync.WaitGroup
		for k := range 5 {
			key := testKey(t, "one")
			for i := range 6 {
				wg.Go(func() {
					time.Sleep(time.Duration(i*20+k) * time.Millisecond)
					called := time.Now().UnixNano()
					a := s.Serve(t.Context(), testRequest("pay", key))
					mu.Lock()
					defer mu.Unlock()
					history = append(history, porcupine.Operation{
						ClientId: k*6 + i,
						Input:    key,
						Call:     called,
						Output:   a.Body,
						Return:   time.Now().UnixNano(),
					})
				})
			}
		}
		wg.Wait()
		if !porcupine.CheckOperations(runModel, history) {
			t.Errorf("the answers for a key differ: %v", history)
		}
	})
}

type targetFunc func(ctx context.Context, h AgentRequest) (int, string, error)

func (f targetFunc) Run(ctx context.Context, h AgentRequest) (int, string, error) { return f(ctx, h) }

// TestHTTPTarget checks responses that are truncated, too long or have the ID of another request.
// Run must return only complete responses to its own request.
func TestHTTPTarget(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		body    string
		err     error
	}{
		{"whole", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(IDHeader, r.Header.Get(IDHeader))
			fmt.Fprint(w, "whole")
		}, "whole", nil},
		{"without an id", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }, "whole", nil},
		{"crossed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(IDHeader, "another")
			fmt.Fprint(w, "another's")
		}, "", ErrIDMismatch},
		{"cut", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, "half")
		}, "", errAny},
		{"too long", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, strings.Repeat("x", MaxBody+1))
		}, "", errAny},
		{"aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "", errAny},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(tt.handler)
			defer server.Close()
			target := NewHTTPTarget(server.URL, 2, func(rt http.RoundTripper) http.RoundTripper { return rt })
			_, body, err := target.Run(t.Context(), testRequest("x", ""))
			if body != tt.body || (err != nil) != (tt.err != nil) ||
				(tt.err == ErrIDMismatch && !errors.Is(err, ErrIDMismatch)) {
				t.Errorf("got %q, %v", body, err)
			}
			var notSent *NotSentError
			if errors.As(err, &notSent) {
				t.Errorf("the request may have run, but the error is a *NotSentError: %v", err)
			}
		})
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	_, _, err := NewHTTPTarget(
		closed.URL,
		2,
		func(rt http.RoundTripper) http.RoundTripper { return rt },
	).Run(t.Context(), testRequest("x", ""))
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("target that does not listen: got %v, want a *NotSentError", err)
	}
}

var errAny = errors.New("any")

// FuzzParseKey checks that every text that can be parsed is formatted the same way.
func FuzzParseKey(f *testing.F) {
	f.Add(testKey(f, "one"))
	f.Add("a~b~c")
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := ParseKey(text); err == nil && k.String() != text {
			t.Errorf("%q is formatted as %q", text, k)
		}
	})
}
