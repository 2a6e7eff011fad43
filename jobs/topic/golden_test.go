package topic_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/internal/memnet"
	"yarrowgrade.example/yarrowgrade/internal/suspend"
	"yarrowgrade.example/yarrowgrade/jobs/jobtest"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// TestGoldenJSON checks the types that are encoded as plain JSON.
func TestGoldenJSON(t *testing.T) {
	stored := topic.StoredRecord{Record: topic.Record{Key: "c/0000000000000001", Value: []byte("1")}, Offset: 41}
	goldentest.JSON(t, "record", stored.Record)
	goldentest.JSON(t, "relayed", topic.RelayResponse{
		Records:    []topic.StoredRecord{stored},
		End:        42,
		AgeMillis:  12,
		HeldMillis: 3,
	})
}

// TestGoldenRelay checks the request of a relay client, and the response as the server encodes it
// and the client decodes it.
func TestGoldenRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := jobtest.NewLog(1)
		server := topic.NewRelayServer(nil)
		records := []topic.StoredRecord{
			{Record: topic.Record{Key: "config", Value: []byte("{}")}, Offset: 5},
			{Record: topic.Record{Key: "zone-1"}, Offset: 6},
		}
		server.Publish(topic.Update{Records: records, Next: 7, SyncedAt: suspend.Clock(nil).Now()})
		goldentest.Bytes(t, "relay-answer", responseOf(server, http.MethodGet, "?from=5", ""))
		goldentest.Bytes(t, "relay-answer-none", responseOf(server, http.MethodGet, "?from=7", ""))
		goldentest.Bytes(t, "relay-answer-unknown", responseOf(server, http.MethodGet, "?from=4000", ""))

		var requestLine string
		network := memnet.New()
		network.Attach("http://10.1.0.19:7000", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requestLine = r.Method + " " + r.URL.RequestURI() + "\n"
			w.Header().Set("Content-Type", "application/json")
			_, body, _ := bytes.Cut(goldentest.Read(t, "relay-answer"), []byte("\n"))
			_, err := w.Write(body)
			if err != nil {
				t.Error(err)
			}
		}))
		addresses := func() []string { return []string{"10.1.0.19:7000"} }
		client := topic.NewRelayClient(log.Client("entry"), "/news", network.Client("http://agent"), addresses, zerolog.Nop())
		batch, err := client.Read(t.Context(), topic.Query{From: 5, Wait: time.Second})
		if err != nil || !reflect.DeepEqual(batch.Records, records) || batch.End != 7 {
			t.Errorf("the response is decoded as %+v, %v", batch, err)
		}
		goldentest.Bytes(t, "relay-question", []byte(requestLine))
	})
}

// responseOf returns the status and the body of a handler's response.
func responseOf(h http.Handler, method, target, body string) []byte {
	r := httptest.NewRequest(method, "http://entry/"+target, strings.NewReader(body))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return fmt.Appendf(nil, "%d\n%s", w.Code, maskText(w.Body.Bytes()))
}

var freeText = regexp.MustCompile(`"(error|message)":"[^"]*"`)

// maskText removes the text of errors and log messages. It is meant for people, and no program
// reads it.
func maskText(data []byte) []byte { return freeText.ReplaceAll(data, []byte(`"$1":"..."`)) }
