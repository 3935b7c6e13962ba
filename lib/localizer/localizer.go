// Package localizer finds out which feature of requests crashes endpoints, such as one part of a
// prompt, so that requests that have it can be quarantined.
//
// When an endpoint crashes, every request that ran there has features in common with the one that
// caused it. How often a feature was present at a crash tells little, because an engine runs dozens
// of requests, and most of them share their first part. What tells is whether a request with the
// feature is ever answered. This is spectrum-based fault localization (J. Jones and M. Harrold,
// "Empirical Evaluation of the Tarantula Automatic Fault-Localization Technique", ASE 2005), with
// crashes as failed runs and answers as passed ones:
//
//   - a feature is quarantined after several crashes since the last answer to a request that has it;
//   - a crash under a quarantined feature is explained by it, and counts against no other one;
//   - an answer after the quarantine ends it.
//
// An Observer records crashes and answers at a router, and a Judge sums the reports of all routers
// at a keeper. Crashes are counted by lifetimes of endpoints: several routers see the same crash.
// Answers are reported for suspects only, the features that a Judge asks about.
//
// A quarantine ends by its time, by an answer, or by an order of an operator. Before it ends, one
// request with the feature is sent as a trial from time to time, at longer and longer intervals.
//
// Neither type does I/O, and both are given the time. Invariants: a feature with an answer after its
// latest crash is never quarantined; every table is bounded; a report that is received twice, or
// through several keepers, counts once.
package localizer

import (
	"encoding/binary"
	"time"
)

// Feature identifies something that requests may have in common: a digest of a service and a part of
// a prompt, or of a whole request.
type Feature uint64

// Bytes returns the digest for log lines.
func (f Feature) Bytes() []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(f))
}

// Lifetime identifies one lifetime of an endpoint, as the key of a listing does.
type Lifetime uint64

// Profile holds the features of one request.
type Profile struct {
	// Service is the feature of all requests to the same service.
	Service Feature
	// Shared are the features that other requests may have as well.
	Shared []Feature
	// Whole is the feature that only repeats of the same request have.
	Whole Feature
}

// Crash is the end of a lifetime of an endpoint under requests with some features.
type Crash struct {
	Lifetime Lifetime
	Service  Feature
	At       time.Time
	Features []Feature
}

// Answer is the latest answer that a router knows of to a request with a feature, the service of a
// crash or a suspect.
type Answer struct {
	Feature Feature
	At      time.Time // when the answer began
}

// Quarantine is the state of a feature whose requests are refused, or were until recently.
type Quarantine struct {
	Feature Feature
	// Left is how long it lasts, 0 if it has been lifted.
	Left time.Duration
	// Trial permits the router that is told of it one request with the feature.
	Trial bool
}

const (
	// crashesToConvict is the number of crashes after which a feature is quarantined if nobody is known
	// to have answered a request that has it. Two requests with a rare feature often share two crashes
	// with the one that caused them.
	crashesToConvict = 3
	// crashesAfterAnswer is the same number for a feature with earlier answers. For these a crash counts
	// only once the service has begun to answer another request: while it answers nothing, a missing
	// answer says nothing of the feature.
	crashesAfterAnswer = 5
	// crashesToSuspect is the number of crashes after which a Judge asks for answers.
	crashesToSuspect = 2
	// settleTime is how long a crash is known before it counts. Within that time all routers have
	// reported what ran there, and have been asked for answers.
	settleTime = time.Second
	// patience is how long a quarantine waits for the verdict on another suspect that may explain more.
	patience = 2 * time.Second
	// judgeInterval is the minimum time between two evaluations of the evidence.
	judgeInterval = 200 * time.Millisecond
	// crashRetention is how long a Judge remembers a crash.
	crashRetention = 10 * time.Minute
	// answerRetention is how long an earlier answer speaks for a feature.
	answerRetention = time.Minute
	// QuarantineTime is how long a quarantine lasts if nothing ends it earlier.
	QuarantineTime = 10 * time.Minute
	// liftedRetention is how long routers are told that a quarantine was lifted.
	liftedRetention = 30 * time.Second
	// firstTrial is the time from the begin of a quarantine to its first trial. Each further interval
	// is trialBackoff times as long: a feature that crashes endpoints costs one of them per trial.
	firstTrial   = 20 * time.Second
	trialBackoff = 3
	// MaxFeatures bounds the features of one crash or one request.
	MaxFeatures = 128
	// MaxSuspects bounds the features that a Judge asks about at a time.
	MaxSuspects = 64
	// maxLifetimes, maxEvidence, maxQuarantined and maxServices bound the tables of a Judge, in crashes,
	// features, quarantines and services. They take some 100, 150, 100 and 50 bytes each.
	maxLifetimes   = 1024
	maxEvidence    = 4096
	maxQuarantined = 1024
	maxServices    = 256
)
