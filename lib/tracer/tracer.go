// Package tracer makes a span for each hop of a request and carries the trace
// between processes in W3C traceparent headers.
//
// Invariants: a request has one trace id from the caller to the endpoint,
// whether or not spans are exported, so that the id in an answer can always be
// searched for; an exporter that is slow or gone delays no request, because
// spans are exported in the background and dropped when its queue is full.
// A nil *Tracer is usable and makes spans that are not exported.
package tracer

import (
	"context"
	"net/http"
	"net/url"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// ExporterLog writes each span as a line of the log.
const ExporterLog = "log"

const (
	// queuedSpans bounds the spans that wait for the exporter; at about 500
	// bytes a span this is 1 MiB.
	queuedSpans = 2048
	scope       = "shallotkeel.example/lib/tracer"
)

// ErrExporter is the kind of every error about the exporter's setting.
var ErrExporter = merry.Sentinel("trace exporter is not usable")

// Tracer starts spans.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// Span is one hop in progress.
type Span struct {
	inner trace.Span
}

// silent makes the spans of nil tracers: they have ids and are not exported.
var silent = sync.OnceValue(func() *Tracer { return build(nil, "", "") })

// New returns a tracer that exports to nothing (empty), to the log ("log") or
// to an OTLP/HTTP endpoint (a URL). The error is an ErrExporter.
func New(ctx context.Context, exporter, name, zone string, log zerolog.Logger) (*Tracer, error) {
	switch exporter {
	case "":
		return build(nil, name, zone), nil
	case ExporterLog:
		return build(sdktrace.NewSimpleSpanProcessor(&logExporter{log: log}), name, zone), nil
	}
	target, err := url.Parse(exporter)
	if err != nil || target.Host == "" {
		return nil, merry.Errorf("%w: %q; set \"trace\" to \"\", \"log\" or a URL such as http://127.0.0.1:4318/v1/traces",
			ErrExporter, exporter)
	}
	client, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(exporter))
	if err != nil {
		return nil, merry.Errorf("%w: %v; check the URL in \"trace\"", ErrExporter, err)
	}
	return build(sdktrace.NewBatchSpanProcessor(client, sdktrace.WithMaxQueueSize(queuedSpans)), name, zone), nil
}

func build(processor sdktrace.SpanProcessor, name, zone string) *Tracer {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", name),
			attribute.String("cloud.availability_zone", zone),
		)),
	}
	if processor == nil {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	} else {
		options = append(options, sdktrace.WithSpanProcessor(processor))
	}
	provider := sdktrace.NewTracerProvider(options...)
	return &Tracer{provider: provider, tracer: provider.Tracer(scope)}
}

// Start begins a span under the one in ctx, or under the caller's if ctx came
// from Extract. Attributes are pairs of key and value.
func (t *Tracer) Start(ctx context.Context, name string, pairs ...string) (context.Context, Span) {
	if t == nil {
		t = silent()
	}
	ctx, inner := t.tracer.Start(ctx, name)
	span := Span{inner: inner}
	span.Set(pairs...)
	return ctx, span
}

// Shutdown exports what is still queued, until ctx ends.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Set attaches pairs of key and value to the span.
func (s Span) Set(pairs ...string) {
	if s.inner == nil || !s.inner.IsRecording() {
		return
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		s.inner.SetAttributes(attribute.String(pairs[i], pairs[i+1]))
	}
}

// End ends the span. A reason that is not empty marks it as failed.
func (s Span) End(reason string) {
	if s.inner == nil {
		return
	}
	if reason != "" {
		s.inner.SetStatus(codes.Error, reason)
	}
	s.inner.End()
}

// TraceID returns the id of the trace that the span belongs to, in hex.
func (s Span) TraceID() string {
	if s.inner == nil {
		return ""
	}
	return s.inner.SpanContext().TraceID().String()
}

// Extract returns ctx with the caller's span, if the headers name a valid one.
func Extract(ctx context.Context, headers http.Header) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(headers))
}

// Inject writes the span of ctx into the headers.
func Inject(ctx context.Context, headers http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(headers))
}
