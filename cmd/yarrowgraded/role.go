package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"yarrowgrade.example/yarrowgrade/internal/fault"
	"yarrowgrade.example/yarrowgrade/internal/telemetry"
)

// commonSettings are the flags that the entry and the agent for sessions have in common.
type commonSettings struct {
	LogLevel     string `help:"Lowest level that is logged: trace, debug, info, warn or error." default:"info"`
	TraceAddress string `help:"Base URL of an OTLP/HTTP collector, such as http://127.0.0.1:4318. Empty for none."`
}

// telemetry returns the telemetry of a process. It logs to standard error.
func (c *commonSettings) telemetry(ctx context.Context, role, name string) (*telemetry.Telemetry, error) {
	return telemetry.New(ctx, telemetry.Settings{
		Role:         role,
		Name:         name,
		Log:          os.Stderr,
		Level:        c.LogLevel,
		TraceAddress: c.TraceAddress,
	})
}

// role is what the entry and the agent for sessions have in common: they run, serve requests, and
// drain on SIGTERM.
type role struct {
	name    string
	listen  string
	address string
	handler http.Handler
	// run runs until its context ends.
	run func(ctx context.Context)
	// drain accepts no new work, and returns when other processes no longer send any.
	drain       func(ctx context.Context) error
	stopTimeout time.Duration
	telemetry   *telemetry.Telemetry
}

// serve runs the role until ctx ends and then performs a planned stop: it drains, finishes the
// requests in flight, and returns.
func (r role) serve(ctx context.Context) error {
	l, err := listen("listen", r.listen)
	if err != nil {
		return err
	}
	detached := context.WithoutCancel(ctx)
	running, cancel := context.WithCancel(detached)
	defer cancel()
	server := newServer(r.handler)
	failed := make(chan error, 1)
	go r.run(running)
	go func() { failed <- serve(server, l) }()
	log := r.telemetry.Log
	log.Info().Str("step", "start").Str("address", r.address).Msg(r.name + " listens")

	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	log.Info().Str("step", "stop").Msg(r.name + " leaves")
	stopping, done := context.WithTimeout(detached, r.stopTimeout)
	defer done()
	err = r.drain(stopping)
	if shutdown := server.Shutdown(stopping); err == nil {
		err = fault.New("stop", "", shutdown)
	}
	cancel()
	log.Info().Str("step", "stop").Err(err).Msg(r.name + " stopped")
	r.telemetry.Close(stopping)
	return err
}
