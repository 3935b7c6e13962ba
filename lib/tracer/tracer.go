// Package tracer creates a span for each hop of a request and propagates the
// trace between processes in W3C traceparent headers.
//
// Invariants: a request keeps one trace id from the caller to the endpoint,
// whether or not spans are exported, so that the id in an answer can always be
// searched for in the logs; a slow or unreachable OTLP exporter delays no
// request, because spans are exported in the background and dropped when its
// queue is full. A nil *Tracer is valid and creates spans that are not exported.
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

// ExporterLog is the exporter setting that logs each span as a line.
const ExporterLog = "log"

const (
	// maxQueuedSpans bounds the spans queued for the OTLP exporter; at about 500
	// bytes per span they take 1 MiB.
	maxQueuedSpans       = 2048
	instrumentationScope = "shallotkeel.example/lib/tracer"
)

// ErrExporter is wrapped by every error about the exporter setting.
var ErrExporter = merry.Sentinel("trace exporter is not usable")

// Tracer starts spans.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// Span is a started span, i.e. one hop of a request. The zero value is valid and
// does nothing.
type Span struct {
	inner trace.Span
}

// unexported is the tracer used for nil tracers. Its spans have ids but are not
// exported.
var unexported = sync.OnceValue(func() *Tracer { return build(nil, "", "") })

// New returns a tracer whose spans, depending on exporter, are not exported (""),
// are logged ("log") or are sent to an OTLP/HTTP endpoint (its URL). Errors wrap
// ErrExporter.
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
	return build(sdktrace.NewBatchSpanProcessor(client, sdktrace.WithMaxQueueSize(maxQueuedSpans)), name, zone), nil
}

// build returns a tracer that passes its spans to the processor, or samples none
// if there is no processor.
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
	return &Tracer{provider: provider, tracer: provider.Tracer(instrumentationScope)}
}

// Start starts a child of the span in ctx, which is the remote caller's span if
// ctx comes from Extract. Pairs are attributes: alternating keys and values.
func (t *Tracer) Start(ctx context.Context, name string, pairs ...string) (context.Context, Span) {
	if t == nil {
		t = unexported()
	}
	ctx, inner := t.tracer.Start(ctx, name)
	span := Span{inner: inner}
	span.Set(pairs...)
	return ctx, span
}

// Shutdown exports the queued spans, until ctx is done.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Set sets attributes of the span, given as alternating keys and values.
func (s Span) Set(pairs ...string) {
	if s.inner == nil || !s.inner.IsRecording() {
		return
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		s.inner.SetAttributes(attribute.String(pairs[i], pairs[i+1]))
	}
}

// End ends the span. A non-empty reason marks it as failed.
func (s Span) End(reason string) {
	if s.inner == nil {
		return
	}
	if reason != "" {
		s.inner.SetStatus(codes.Error, reason)
	}
	s.inner.End()
}

// TraceID returns the hex id of the span's trace, or the empty string for the zero
// Span.
func (s Span) TraceID() string {
	if s.inner == nil {
		return ""
	}
	return s.inner.SpanContext().TraceID().String()
}

// Extract returns ctx with the remote caller's span, if the traceparent header is
// valid.
func Extract(ctx context.Context, headers http.Header) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(headers))
}

// Inject sets the traceparent header to the span of ctx.
func Inject(ctx context.Context, headers http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(headers))
}
