package tracer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/tracer"
)

func TestNewChecksExporter(t *testing.T) {
	for name, test := range map[string]struct {
		exporter string
		fails    bool
	}{
		"off":  {exporter: ""},
		"log":  {exporter: "log"},
		"otlp": {exporter: "http://127.0.0.1:1/v1/traces"},
		"word": {exporter: "lgo", fails: true},
		"path": {exporter: "/v1/traces", fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tracer.New(t.Context(), test.exporter, "router-a1", "trento-a", zerolog.Nop())
			if !test.fails {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, tracer.ErrExporter)
			require.ErrorContains(t, err, "set \"trace\"")
		})
	}
}

func TestTraceIDIsKeptAcrossHops(t *testing.T) {
	var lines bytes.Buffer
	traces, err := tracer.New(t.Context(), tracer.ExporterLog, "router-a1", "trento-a", zerolog.New(&lines))
	require.NoError(t, err)
	incoming := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}

	ctx, outer := traces.Start(tracer.Extract(context.Background(), incoming), "request", "service", "modelli")
	inside, inner := traces.Start(ctx, "endpoint")
	outgoing := http.Header{}
	tracer.Inject(inside, outgoing)
	inner.End("connection reset")
	outer.End("")

	require.Contains(t, outgoing.Get("Traceparent"), "0af7651916cd43dd8448eb211c80319c")
	require.Equal(t, "0af7651916cd43dd8448eb211c80319c", outer.TraceID())
	var first, second map[string]any
	decoder := json.NewDecoder(&lines)
	require.NoError(t, decoder.Decode(&first))
	require.NoError(t, decoder.Decode(&second))
	require.Equal(t, first["parent"], second["span"])
	require.Equal(t, "b7ad6b7169203331", second["parent"])
	require.Equal(t, "connection reset", first["failed"])
	require.Equal(t, "modelli", second["service"])
}

func TestNilTracerStillNamesTheTrace(t *testing.T) {
	var none *tracer.Tracer
	ctx, span := none.Start(context.Background(), "request")
	defer span.End("")
	headers := http.Header{}
	tracer.Inject(ctx, headers)
	require.Contains(t, headers.Get("Traceparent"), span.TraceID())
	require.NoError(t, none.Shutdown(t.Context()))
}
