package relayer

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/tracer"
)

// Options are what a Relayer is made of.
type Options struct {
	Enroller   Enroller
	Ruler      Ruler
	Claimer    Claimer
	Quarantine Quarantine
	Tracer     *tracer.Tracer // nil traces without exporting
	Clock      clockwork.Clock
	Log        zerolog.Logger
	Registry   *prometheus.Registry // nil keeps the metrics unregistered
	Zone       string
	Name       string
	Limits     Limits
}

// Limits bound what callers can make a router hold. Zero fields mean the
// default named with each.
type Limits struct {
	// BodyBytes is the largest chat body, and the largest plain body that is
	// streamed on; 4 MiB.
	BodyBytes int64
	// HeldBytes is the memory that the bodies of all requests may take
	// together; 64 MiB. Beyond it requests are refused, because thousands of
	// waiting requests with large bodies would otherwise exhaust a small instance.
	HeldBytes int64
	// ReplayBytes is the largest plain body that is kept so that it can be sent
	// again; 64 KiB. A larger one streams through and is never sent twice.
	ReplayBytes int64
	// RecordBytes is the largest answer that is recorded for resends; 64 KiB.
	RecordBytes int
	// AnswerBytes is the largest answer that is assembled for a caller that did
	// not ask for a stream; 1 MiB.
	AnswerBytes int
	// Waiting is the most requests that wait for a slot; 4096.
	Waiting int
	// RequestTimeout ends a request that has no final answer; 2 minutes.
	RequestTimeout time.Duration
	// StallTimeout is how long one read of a caller's body or one write of its
	// answer may take before the caller counts as gone; 20 seconds. It is the
	// longest that a caller that stands still holds an endpoint's slot.
	StallTimeout time.Duration
	// DialTimeout bounds the connection to an endpoint; 1 second.
	DialTimeout time.Duration
	// EndpointStall is how long a model engine may send nothing, before its
	// first event or between two, before its answer is resumed elsewhere; 10
	// seconds. Plain services may take the whole RequestTimeout.
	EndpointStall time.Duration
	// Attempts is how many endpoints a request is sent to at most; 4.
	Attempts int
	// Explained is how many recent requests can be explained; 1024.
	Explained int
}

const (
	defaultBodyBytes      = 4 << 20
	defaultHeldBytes      = 64 << 20
	defaultReplayBytes    = 64 << 10
	defaultRecordBytes    = 64 << 10
	defaultAnswerBytes    = 1 << 20
	defaultWaiting        = 4096
	defaultRequestTimeout = 2 * time.Minute
	defaultStallTimeout   = 20 * time.Second
	defaultDialTimeout    = time.Second
	defaultEndpointStall  = 10 * time.Second
	defaultAttempts       = 4
	defaultExplained      = 1024
)

func orDefault[T int | int64 | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

func (l Limits) withDefaults() Limits {
	return Limits{
		BodyBytes:      orDefault(l.BodyBytes, defaultBodyBytes),
		HeldBytes:      orDefault(l.HeldBytes, defaultHeldBytes),
		ReplayBytes:    orDefault(l.ReplayBytes, defaultReplayBytes),
		RecordBytes:    orDefault(l.RecordBytes, defaultRecordBytes),
		AnswerBytes:    orDefault(l.AnswerBytes, defaultAnswerBytes),
		Waiting:        orDefault(l.Waiting, defaultWaiting),
		RequestTimeout: orDefault(l.RequestTimeout, defaultRequestTimeout),
		StallTimeout:   orDefault(l.StallTimeout, defaultStallTimeout),
		DialTimeout:    orDefault(l.DialTimeout, defaultDialTimeout),
		EndpointStall:  orDefault(l.EndpointStall, defaultEndpointStall),
		Attempts:       orDefault(l.Attempts, defaultAttempts),
		Explained:      orDefault(l.Explained, defaultExplained),
	}
}
