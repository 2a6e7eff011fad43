package catalog_test

import (
	"strings"
	"testing"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
	"yarrowgrade.example/yarrowgrade/jobs/catalog"
	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// TestGoldenCordon checks the JSON of a cordon that operators receive.
func TestGoldenCordon(t *testing.T) {
	since := time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)
	goldentest.JSON(t, "cordon", catalog.Cordon{Zone: "zone-1", Revision: 7, Since: since})
}

// TestGoldenNews checks the JSON of the message that relays records.
func TestGoldenNews(t *testing.T) {
	goldentest.JSON(t, "relayed", topic.RelayResponse{
		Records: []topic.StoredRecord{{Record: topic.Record{Key: "config", Value: []byte("41")}, Offset: 5}},
		End:     6, AgeMillis: 120, HeldMillis: 30,
	})
}

// TestGoldenPaths checks the path on which records are relayed.
func TestGoldenPaths(t *testing.T) {
	goldentest.Bytes(t, "paths.txt", []byte(strings.Join([]string{catalog.RelayPath}, "\n")+"\n"))
}
