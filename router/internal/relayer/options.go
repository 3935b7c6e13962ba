package relayer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/tracer"
)

// Options configures a Relayer.
type Options struct {
	Enroller   Enroller
	Ruler      Ruler
	Claimer    Claimer
	Quarantine Quarantine
	// Crashes records which requests ran at endpoints that crash, and holds the quarantines of what they
	// have in common.
	Crashes  *localizer.Observer
	Tracer   *tracer.Tracer // nil traces without exporting
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Registry *prometheus.Registry // nil keeps the metrics unregistered
	Zone     string               // the router's availability zone
	Name     string               // the router's name
	Limits   Limits
}

// Limits bounds the resources that callers' requests can use, and their durations. A zero field means
// the default.
type Limits struct {
	// BodyBytes is the maximum size of the body of a chat, or of a call of a plain service. The default is 4 MiB.
	BodyBytes int64
	// TotalBodyBytes is the maximum memory for the bodies of all requests together. Requests
	// beyond it are refused, because thousands of waiting requests with large bodies would
	// otherwise exhaust the memory of a small instance. The default is 64 MiB.
	TotalBodyBytes int64
	// ReplayBytes is the maximum size of the body of a call of a plain service that is kept for
	// retries. A larger body is streamed and never sent twice. The default is 64 KiB.
	ReplayBytes int64
	// RecordBytes is the maximum size of an answer that is recorded for resends. The default is 64 KiB.
	RecordBytes int
	// AnswerBytes is the maximum size of an answer assembled for a caller that did not ask for a
	// stream. The default is 1 MiB.
	AnswerBytes int
	// WaitingRequests is the maximum number of requests that wait for their first slot. The default is 4096.
	WaitingRequests int
	// RequestTimeout is the maximum time from a request's arrival to its final answer. The default is 2 minutes.
	RequestTimeout time.Duration
	// StallTimeout is the maximum time of one read of a caller's body or one write of its answer,
	// after which the caller is taken to have disconnected. It is also the maximum time for which
	// a stalled caller holds an endpoint's slot. The default is 20 seconds.
	StallTimeout time.Duration
	// DialTimeout is the maximum time to connect to an endpoint. The default is 1 second.
	DialTimeout time.Duration
	// EndpointStallTimeout is how long a model engine may send nothing, before its first event or
	// between two events, until the answer is resumed at another endpoint. Plain services, and
	// attempts that no other one may follow, may take the full RequestTimeout. The default is 10
	// seconds.
	EndpointStallTimeout time.Duration
	// Attempts is the maximum number of endpoints to which a request is sent. The default is 4.
	Attempts int
	// ExplainableRequests is the number of recently ended requests that can be explained. The default is 1024.
	ExplainableRequests int
}

const (
	defaultBodyBytes            = 4 << 20
	defaultTotalBodyBytes       = 64 << 20
	defaultReplayBytes          = 64 << 10
	defaultRecordBytes          = 64 << 10
	defaultAnswerBytes          = 1 << 20
	defaultWaitingRequests      = 4096
	defaultRequestTimeout       = 2 * time.Minute
	defaultStallTimeout         = 20 * time.Second
	defaultDialTimeout          = time.Second
	defaultEndpointStallTimeout = 10 * time.Second
	defaultAttempts             = 4
	defaultExplainableRequests  = 1024
)

// orDefault returns the value, or the default if the value is not positive.
func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// withDefaults returns the limits with each zero field replaced by its default.
func (l Limits) withDefaults() Limits {
	return Limits{
		BodyBytes:            orDefault(l.BodyBytes, defaultBodyBytes),
		TotalBodyBytes:       orDefault(l.TotalBodyBytes, defaultTotalBodyBytes),
		ReplayBytes:          orDefault(l.ReplayBytes, defaultReplayBytes),
		RecordBytes:          orDefault(l.RecordBytes, defaultRecordBytes),
		AnswerBytes:          orDefault(l.AnswerBytes, defaultAnswerBytes),
		WaitingRequests:      orDefault(l.WaitingRequests, defaultWaitingRequests),
		RequestTimeout:       orDefault(l.RequestTimeout, defaultRequestTimeout),
		StallTimeout:         orDefault(l.StallTimeout, defaultStallTimeout),
		DialTimeout:          orDefault(l.DialTimeout, defaultDialTimeout),
		EndpointStallTimeout: orDefault(l.EndpointStallTimeout, defaultEndpointStallTimeout),
		Attempts:             orDefault(l.Attempts, defaultAttempts),
		ExplainableRequests:  orDefault(l.ExplainableRequests, defaultExplainableRequests),
	}
}
