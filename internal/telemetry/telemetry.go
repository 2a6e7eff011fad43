// Package telemetry sets up the logs (zerolog), metrics (tally) and traces (OpenTelemetry) of a
// process.
//
// # Usage
//
//	t, err := telemetry.New(ctx, telemetry.Settings{Role: "entry", Name: "entry-1", Log: os.Stderr})
//	defer t.Close(ctx)
//	t.Log.Info().Str("step", "start").Msg("listening")
//	t.Metrics.Counter("requests").Inc(1)
//	http.Handle("/metrics", t.MetricsHandler)
//
// A log line describes one event as key=value pairs. Traces are propagated between processes in the
// W3C traceparent header. Spans are exported over OTLP/HTTP if a collector is configured; otherwise
// they are not recorded.
package telemetry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"yarrowgrade.example/yarrowgrade/internal/fault"
)

// reportInterval is the interval at which tally updates the values that MetricsHandler serves.
const reportInterval = time.Second

// Settings configures the telemetry of a process.
type Settings struct {
	// Role is "entry", "agent" or "dev"; Name is the name of the process.
	Role string
	Name string
	// Log receives the log lines. Level is the minimum level that is logged, such as "info".
	Log   io.Writer
	Level string
	// TraceAddress is the base URL of an OTLP/HTTP collector, such as http://127.0.0.1:4318. If it
	// is empty, no traces are exported.
	TraceAddress string
}

// Telemetry holds the logger, metrics and tracer of a process.
type Telemetry struct {
	Log     zerolog.Logger
	Metrics tally.Scope
	// MetricsHandler serves the metrics in the Prometheus text format.
	MetricsHandler http.Handler

	provider *sdktrace.TracerProvider
	// exportsSpans means that spans are exported to a collector.
	exportsSpans bool
	// closers holds the functions that flush and stop the exporters.
	closers []func(context.Context) error
}

// New returns the telemetry of a process. An error is a *fault.Field that identifies the invalid
// setting. The caller must call Close.
func New(ctx context.Context, s Settings) (*Telemetry, error) {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		return nil, fault.BadField("log-level", "want trace, debug, info, warn or error, got %q", s.Level)
	}
	t := &Telemetry{Log: newLogger(s, level)}
	t.startMetrics(s)
	if err := t.startTraces(ctx, s); err != nil {
		return nil, err
	}
	return t, nil
}

// Discard returns telemetry for tests. It discards all logs, metrics and traces.
func Discard() *Telemetry {
	return &Telemetry{
		Log:            zerolog.Nop(),
		Metrics:        tally.NoopScope,
		MetricsHandler: http.NotFoundHandler(),
		provider:       sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())),
	}
}

func newLogger(s Settings, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	writer := zerolog.ConsoleWriter{Out: s.Log, NoColor: true, TimeFormat: time.RFC3339Nano}
	writer.FormatTimestamp = func(v any) string { return fmt.Sprintf("time=%v", v) }
	writer.FormatLevel = func(v any) string { return fmt.Sprintf("level=%v", v) }
	writer.FormatMessage = func(v any) string { return fmt.Sprintf("event=%q", v) }
	writer.FormatFieldName = func(v any) string { return fmt.Sprintf("%v=", v) }
	writer.FormatFieldValue = formatValue
	writer.FormatErrFieldName = func(any) string { return "error=" }
	writer.FormatErrFieldValue = formatValue
	return zerolog.New(writer).Level(level).With().Timestamp().Str("role", s.Role).Str("name", s.Name).Logger()
}

// formatValue quotes values that a parser of key=value pairs would split.
func formatValue(v any) string {
	text := fmt.Sprintf("%v", v)
	if raw, ok := v.([]byte); ok {
		text = string(raw)
	}
	// zerolog passes some values as JSON strings, which must not be quoted twice.
	var decoded string
	if json.Unmarshal([]byte(text), &decoded) == nil {
		text = decoded
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\t") {
		return strconv.Quote(text)
	}
	return text
}

func (t *Telemetry) startMetrics(s Settings) {
	reporter := tallyprom.NewReporter(tallyprom.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "yarrowgrade",
		Tags:            map[string]string{"role": s.Role, "name": s.Name},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	t.Metrics = scope
	if w, ok := s.Log.(*Writer); ok {
		w.SetDropCounter(scope.Counter("log_lines_left_out"))
	}
	t.MetricsHandler = reporter.HTTPHandler()
	t.closers = append(t.closers, func(context.Context) error { return closer.Close() })
}

func (t *Telemetry) startTraces(ctx context.Context, s Settings) error {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "yarrowgrade-"+s.Role),
			attribute.String("service.instance.id", s.Name),
		)),
	}
	if s.TraceAddress == "" {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	} else {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.TraceAddress+"/v1/traces"))
		if err != nil {
			return fault.BadField("trace-address",
				"want a URL such as http://127.0.0.1:4318, got %q: %v", s.TraceAddress, err)
		}
		options = append(options, sdktrace.WithBatcher(exporter))
		t.exportsSpans = true
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.closers = append(t.closers, t.provider.Shutdown)
	return nil
}

var propagator = propagation.TraceContext{}

// Transport wraps a transport so that each request creates a span and propagates the trace. Without
// a collector, it returns base.
func (t *Telemetry) Transport(base http.RoundTripper) http.RoundTripper {
	if !t.exportsSpans {
		return base
	}
	return otelhttp.NewTransport(base, otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(propagator))
}

// Handler wraps a handler so that each request creates a child span of the caller's span. Without a
// collector, it returns h.
func (t *Telemetry) Handler(h http.Handler) http.Handler {
	if !t.exportsSpans {
		return h
	}
	return otelhttp.NewHandler(h, "serve",
		otelhttp.WithTracerProvider(t.provider), otelhttp.WithPropagators(propagator),
		otelhttp.WithSpanNameFormatter(func(_ string, r *http.Request) string { return r.Method + " " + r.URL.Path }))
}

// traceHeader is the header name that the propagator uses.
const traceHeader = "traceparent"

// TraceOf returns the W3C traceparent of ctx, or "" if there is no collector. WithTrace restores
// it, in this process or in another one, where no HTTP request propagates the trace.
func (t *Telemetry) TraceOf(ctx context.Context) string {
	if !t.exportsSpans {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceHeader]
}

// WithTrace returns a copy of ctx that continues a trace returned by TraceOf. It returns ctx if
// trace is not a valid traceparent.
func (t *Telemetry) WithTrace(ctx context.Context, trace string) context.Context {
	if !t.exportsSpans || trace == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceHeader: trace})
}

// Close flushes and stops the exporters. Errors are logged.
func (t *Telemetry) Close(ctx context.Context) {
	for _, c := range t.closers {
		if err := c(ctx); err != nil {
			t.Log.Warn().Str("step", "telemetry.Close").Err(err).Msg("telemetry exporter shutdown failed")
		}
	}
}
