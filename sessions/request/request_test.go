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

// fakeTarget runs each request for the time that its body says, and counts.
type fakeTarget struct {
	mu   sync.Mutex
	runs map[string]int
	err  error
}

func (f *fakeTarget) Run(ctx context.Context, hop Hop) (int, string, error) {
	f.mu.Lock()
	f.runs[hop.Body]++
	err := f.err
	f.mu.Unlock()
	d, _ := time.ParseDuration(hop.Body)
	select {
	case <-time.After(d):
		return 200, "ran " + hop.Body, err
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
	return NewServer("w", incarnation, target, NewAdmission(slots, queue, share), NewMemory()), target
}

func testKey(t testing.TB, incarnation string) string {
	t.Helper()
	k, err := NewKey("w", incarnation)
	if err != nil {
		t.Fatal(err)
	}
	return k.String()
}

func hop(body, key string) Hop {
	return Hop{ID: uuid.NewString(), Team: "a", Body: body, Key: key, LeftMillis: 5000}
}

// TestKeys sends keys in all the ways in which they must not run twice.
func TestKeys(t *testing.T) {
	tests := []struct {
		name  string
		sends func(t *testing.T, s *Server) []Answer
		want  []Outcome
		runs  int
	}{
		{"once", func(t *testing.T, s *Server) []Answer {
			return []Answer{s.Serve(t.Context(), hop("1s", testKey(t, "one")))}
		}, []Outcome{Done}, 1},
		{"twice at once", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			answers := make([]Answer, 2)
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() { answers[i] = s.Serve(t.Context(), hop("1s", key)) })
			}
			wg.Wait()
			return answers
		}, []Outcome{Done, Done}, 1},
		{"again later", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			return []Answer{s.Serve(t.Context(), hop("1s", key)), s.Serve(t.Context(), hop("1s", key))}
		}, []Outcome{Done, Done}, 1},
		{"for an incarnation that was replaced", func(t *testing.T, s *Server) []Answer {
			return []Answer{s.Serve(t.Context(), hop("1s", testKey(t, "zero")))}
		}, []Outcome{Unknown}, 0},
		{"with another body", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			return []Answer{s.Serve(t.Context(), hop("1s", key)), s.Serve(t.Context(), hop("2s", key))}
		}, []Outcome{Done, Unknown}, 1},
		{"past its deadline, and asked for again", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			return []Answer{s.Serve(t.Context(), hop("1m", key)), s.Serve(t.Context(), hop("1m", key))}
		}, []Outcome{Unknown, Unknown}, 1},
		{"by a caller that hangs up, and asked for again", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			return []Answer{s.Serve(ctx, hop("1s", key)), s.Serve(t.Context(), hop("1s", key))}
		}, []Outcome{Unknown, Done}, 1},
		{"refused while leaving, and sent again", func(t *testing.T, s *Server) []Answer {
			key := testKey(t, "one")
			s.admission.Leave()
			return []Answer{s.Serve(t.Context(), hop("1s", key)), s.Serve(t.Context(), hop("1s", key))}
		}, []Outcome{NotRun, NotRun}, 0},
		{"from far in the future", func(t *testing.T, s *Server) []Answer {
			id := uuid.MustParse("7fffffff-ffff-7000-8000-000000000000")
			return []Answer{s.Serve(t.Context(), hop("1s", Key{Worker: "w", Incarnation: "one", ID: id}.String()))}
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
					if a.Outcome != tt.want[i] || !a.Whole(a.ID) {
						t.Errorf("answer %d: %+v, want %s", i, a, tt.want[i])
					}
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestMemoryForgets draws claims against a small memory. A key is First at most once in its
// life, however much has been forgotten since.
func TestMemoryForgets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMemory(rapid.IntRange(1, 5).Draw(rt, "keys"), 20)
		first := map[uuid.UUID]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "claims") {
			key := Key{Worker: "w", Incarnation: "one", ID: drawID(rt)}
			status, r := m.Claim(key, "digest")
			if status != First {
				continue
			}
			if first[key.ID] {
				rt.Fatalf("%s was first twice", key)
			}
			first[key.ID] = true
			m.Settle(r, Answer{Outcome: Done, Body: strings.Repeat("x", rapid.IntRange(0, 15).Draw(rt, "bytes"))})
			if len(m.records) > m.maxKeys || m.bytes > m.maxBytes {
				rt.Fatalf("%d keys and %d bytes", len(m.records), m.bytes)
			}
			if a := m.Answer(r); a.Outcome == Done && r.dropped {
				rt.Fatal("half an answer was given")
			}
		}
	})
}

// drawID draws one of 40 ids with one of 20 times.
func drawID(rt *rapid.T) uuid.UUID {
	n := rapid.IntRange(0, 39).Draw(rt, "id")
	return uuid.MustParse(fmt.Sprintf("01900000-00%02x-7000-8000-0000000000%02x", n/2, n))
}

// runModel is the register that a key should be: the first request of a key runs, and all
// others see its outcome.
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

// TestKeyHistories sends each of a few keys many times at once, with different run numbers in
// the answers, and wants all answers of a key to be those of its one run.
func TestKeyHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		run := 0
		target := targetFunc(func(ctx context.Context, h Hop) (int, string, error) {
			mu.Lock()
			run++
			body := fmt.Sprint(run)
			mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			return 200, body, nil
		})
		s := NewServer("w", "one", target, NewAdmission(3, 100, equalShares), NewMemory())
		var history []porcupine.Operation
		var wg sync.WaitGroup
		for k := range 5 {
			key := testKey(t, "one")
			for i := range 6 {
				wg.Go(func() {
					time.Sleep(time.Duration(i*20+k) * time.Millisecond)
					called := time.Now().UnixNano()
					a := s.Serve(t.Context(), hop("pay", key))
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
			t.Errorf("the answers of a key differ: %v", history)
		}
	})
}

type targetFunc func(ctx context.Context, h Hop) (int, string, error)

func (f targetFunc) Run(ctx context.Context, h Hop) (int, string, error) { return f(ctx, h) }

// TestHTTPTarget has targets that cut, cross and overflow. Only a whole answer to its own
// request is handed on.
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
		}, "", ErrCrossed},
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
			_, body, err := target.Run(t.Context(), hop("x", ""))
			if body != tt.body || (err != nil) != (tt.err != nil) || (tt.err == ErrCrossed && !errors.Is(err, ErrCrossed)) {
				t.Errorf("got %q, %v", body, err)
			}
			var notSent *NotSentError
			if errors.As(err, &notSent) {
				t.Errorf("it may have run, but the error says not sent: %v", err)
			}
		})
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	_, _, err := NewHTTPTarget(
		closed.URL,
		2,
		func(rt http.RoundTripper) http.RoundTripper { return rt },
	).Run(t.Context(), hop("x", ""))
	var notSent *NotSentError
	if !errors.As(err, &notSent) {
		t.Errorf("a target that does not listen: %v, want not sent", err)
	}
}

var errAny = errors.New("any")

// FuzzParseKey wants every text that parses to be written back the same.
func FuzzParseKey(f *testing.F) {
	f.Add(testKey(f, "one"))
	f.Add("a~b~c")
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := ParseKey(text); err == nil && k.String() != text {
			t.Errorf("%q became %q", text, k)
		}
	})
}
