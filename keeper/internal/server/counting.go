package server

import (
	"context"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
)

// Kinds of calls, the values of the label "kind" in the metrics.
const (
	kindReport    = "report"    // a router's poll with its report, answered with the sums over all routers
	kindBrief     = "brief"     // a router's poll without a report
	kindExchange  = "exchange"  // another keeper's poll
	kindAgreement = "agreement" // messages of the replicated log
	kindPlatform  = "platform"  // calls of endpoints and operators
	kindOther     = "other"
)

var kinds = []string{kindReport, kindBrief, kindExchange, kindAgreement, kindPlatform, kindOther}

// traffic counts calls and the bytes of their bodies by kind.
type traffic struct {
	calls, read, written *prometheus.CounterVec
}

// callKey is the context key of a *call.
type callKey struct{}

// call holds the counts of a call in progress.
type call struct {
	kind          string
	read, written int
}

// setKind sets the kind of the call that a context belongs to. Handlers use it if the kind
// depends on the request message.
func setKind(ctx context.Context, kind string) {
	if c, counted := ctx.Value(callKey{}).(*call); counted {
		c.kind = kind
	}
}

// count wraps a handler to count its calls under a kind, unless the handler sets another kind.
func (t *traffic) count(kind string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{kind: kind}
		r = r.WithContext(context.WithValue(r.Context(), callKey{}, c))
		r.Body = &countedBody{ReadCloser: r.Body, call: c}
		next.ServeHTTP(&countedWriter{ResponseWriter: w, call: c}, r)
		t.calls.WithLabelValues(c.kind).Inc()
		t.read.WithLabelValues(c.kind).Add(float64(c.read))
		t.written.WithLabelValues(c.kind).Add(float64(c.written))
	})
}

// countedBody counts the bytes read from a request body.
type countedBody struct {
	io.ReadCloser
	call *call
}

func (b *countedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.call.read += n
	return n, err
}

// countedWriter counts the bytes written to a response body.
type countedWriter struct {
	http.ResponseWriter
	call *call
}

func (w *countedWriter) Write(buffer []byte) (int, error) {
	n, err := w.ResponseWriter.Write(buffer)
	w.call.written += n
	return n, err
}

// pollKind returns the kind of a poll by its caller and by whether it is brief.
func pollKind(keeper, brief bool) string {
	switch {
	case keeper:
		return kindExchange
	case brief:
		return kindBrief
	}
	return kindReport
}
