package tracer

import (
	"context"

	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// logExporter is a span exporter that logs one line for each span.
type logExporter struct {
	log zerolog.Logger
}

// ExportSpans logs the spans at level info.
func (e *logExporter) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		line := e.log.Info().
			Str("trace", span.SpanContext().TraceID().String()).
			Str("span", span.SpanContext().SpanID().String()).
			Str("name", span.Name()).
			Time("started", span.StartTime()).
			Dur("took_ms", span.EndTime().Sub(span.StartTime()))
		if span.Parent().HasSpanID() {
			line = line.Str("parent", span.Parent().SpanID().String())
		}
		for _, pair := range span.Attributes() {
			line = line.Str(string(pair.Key), pair.Value.String())
		}
		if reason := span.Status().Description; reason != "" {
			line = line.Str("failed", reason)
		}
		line.Msg("span")
	}
	return nil
}

// Shutdown does nothing, because ExportSpans logs spans at once.
func (e *logExporter) Shutdown(context.Context) error {
	return nil
}
