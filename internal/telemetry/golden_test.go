package telemetry

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/internal/goldentest"
)

// TestGoldenLine compares a log line with the golden record. Operators' tools and the command-line
// tool parse log lines of this format.
func TestGoldenLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := newLogger(Settings{Role: "entry", Name: "entry-1", Log: &out}, zerolog.InfoLevel)
		log.Info().Str("step", "dispatch.start").Int("run", 2).Float64("lost_core_s", 1.5).Time("due", time.Now()).
			Bool("guaranteed", true).Str("why", `a "word" = x`).Str("empty", "").Err(errors.New("no answer")).
			Msg("run is placed")
		goldentest.Bytes(t, "line.txt", out.Bytes())
	})
}
