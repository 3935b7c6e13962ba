package server

import (
	"context"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
)

// Kinds of calls, as the metrics count them.
const (
	kindReport    = "report"    // a router's poll that carries its report, answered with the sums
	kindBrief     = "brief"     // a router's poll that carries none
	kindExchange  = "exchange"  // another keeper's poll
	kindAgreement = "agreement" // messages of the replicated log
	kindPlatform  = "platform"  // endpoints and operators
	kindOther     = "other"
)

var kinds = []string{kindReport, kindBrief, kindExchange, kindAgreement, kindPlatform, kindOther}

// traffic counts calls and their bytes by kind.
type traffic struct {
	calls, read, written *prometheus.CounterVec
}

type callKey struct{}

// call is one call while it is counted.
type call struct {
	kind          string
	read, written int
}

// setKind sets the kind of the call that a context belongs to, where only the message tells.
func setKind(ctx context.Context, kind string) {
	if c, counted := ctx.Value(callKey{}).(*call); counted {
		c.kind = kind
	}
}

// count counts the calls that a handler answers.
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

type countedBody struct {
	io.ReadCloser
	call *call
}

func (b *countedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.call.read += n
	return n, err
}

type countedWriter struct {
	http.ResponseWriter
	call *call
}

func (w *countedWriter) Write(buffer []byte) (int, error) {
	n, err := w.ResponseWriter.Write(buffer)
	w.call.written += n
	return n, err
}

// kindOf returns the kind of a poll.
func kindOf(keeper, brief bool) string {
	switch {
	case keeper:
		return kindExchange
	case brief:
		return kindBrief
	}
	return kindReport
}
