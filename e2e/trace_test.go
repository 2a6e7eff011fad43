package e2e

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"yarrowgrade.example/yarrowgrade/sessions/request"
)

// traceCollector is a stand-in for an OTLP/HTTP collector.
type traceCollector struct {
	mu sync.Mutex
	// spans holds the names of the spans by trace and service.
	spans map[string]map[string][]string
}

func (s *traceCollector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body := io.Reader(r.Body)
	if r.Header.Get("Content-Encoding") == "gzip" {
		zip, err := gzip.NewReader(r.Body)
		if err != nil {
			return
		}
		body = zip
	}
	data, _ := io.ReadAll(body)
	var in collector.ExportTraceServiceRequest
	if proto.Unmarshal(data, &in) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rs := range in.ResourceSpans {
		service := ""
		for _, a := range rs.Resource.Attributes {
			if a.Key == "service.name" {
				service = a.Value.GetStringValue()
			}
		}
		for _, ss := range rs.ScopeSpans {
			for _, span := range ss.Spans {
				id := string(span.TraceId)
				if s.spans[id] == nil {
					s.spans[id] = map[string][]string{}
				}
				s.spans[id][service] = append(s.spans[id][service], span.Name)
			}
		}
	}
}

// spansOf returns the number of spans of entries and agents in the trace that has a span of an
// entry with the given name.
func (s *traceCollector) spansOf(name string) (entry, agent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, services := range s.spans {
		if slices.Contains(services["yarrowgrade-entry"], name) {
			return len(services["yarrowgrade-entry"]), len(services["yarrowgrade-agent"])
		}
	}
	return 0, 0
}

// TestTraces follows a request through its hops: caller to entry, entry to agent, agent to target.
// It also follows a session: operator to entry, entry to log, and through the ledger from the
// agents to their workers.
func TestTraces(t *testing.T) {
	sink := &traceCollector{spans: map[string]map[string][]string{}}
	server := httptest.NewServer(sink)
	t.Cleanup(server.Close)
	t.Setenv("YARROWGRADE_TRACE_ADDRESS", server.URL)
	c := newCluster(t)
	c.putTeam(plates)
	if answer, err := c.client(0).Send(t.Context(), call("traced", "")); err != nil || answer.Outcome != request.Done {
		t.Fatalf("%+v, %v", answer, err)
	}
	// Both the entry and the agent have a server and a client span.
	c.eventually("both processes' spans are in one trace", func() bool {
		entry, agent := sink.spansOf("POST /v1/requests")
		return entry >= 2 && agent >= 2
	})
	c.createGang("traced-gang")
	c.eventually("the start of the gang is in the trace of the operator's call", func() bool {
		// The entry serves the call and appends to the log; at least two agents list and start
		// tasks.
		entry, agent := sink.spansOf("POST /v1/sessions")
		return entry >= 2 && agent >= 4
	})
}
