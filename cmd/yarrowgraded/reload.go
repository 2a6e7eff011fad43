package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"yarrowgrade.example/yarrowgrade/platform"
)

// reloadOnHangup reads the settings again at each SIGHUP until ctx ends, and logs whether they are
// valid. Changed settings do not affect the running process; they take effect at its next start.
// ready is closed when the signal handler is installed.
func reloadOnHangup(ctx context.Context, log zerolog.Logger, ready chan<- struct{}) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	close(ready)
	for {
		select {
		case <-hangups:
			_, err := platform.ReadSettings()
			log.Info().Str("step", "reload").Err(err).Msg("settings read again")
		case <-ctx.Done():
			return
		}
	}
}
