package localizer

import (
	"math"
	"time"

	"shallotkeel.example/lib/messenger"
)

// AddTo adds the report to a router's or a keeper's poll.
func (r *Report) AddTo(request *messenger.FollowRequest, now time.Time) {
	for _, crash := range r.Crashes {
		wire := &messenger.Crash{Endpoint: uint64(crash.Lifetime), Service: uint64(crash.Service), AgeMs: millis(now.Sub(crash.At))}
		wire.Features = toWire(crash.Features)
		request.Crashes = append(request.Crashes, wire)
	}
	for _, answer := range r.Answers {
		request.Answered = append(request.Answered, &messenger.Answered{Feature: uint64(answer.Feature), AgeMs: millis(now.Sub(answer.At))})
	}
	request.Refused = append(request.Refused, toWire(r.Refused)...)
}

// ReportFrom returns the report in a poll, without what exceeds the bounds of a report.
func ReportFrom(request *messenger.FollowRequest, now time.Time) Report {
	var r Report
	for _, wire := range request.GetCrashes()[:min(len(request.GetCrashes()), maxLifetimes)] {
		r.Crashes = append(r.Crashes, Crash{
			Lifetime: Lifetime(wire.GetEndpoint()), Service: Feature(wire.GetService()), At: ago(now, wire.GetAgeMs()),
			Features: fromWire(wire.GetFeatures(), MaxFeatures),
		})
	}
	for _, wire := range request.GetAnswered()[:min(len(request.GetAnswered()), maxReported)] {
		r.Answers = append(r.Answers, Answer{Feature: Feature(wire.GetFeature()), At: ago(now, wire.GetAgeMs())})
	}
	r.Refused = fromWire(request.GetRefused(), maxQuarantined)
	return r
}

// AddTo adds quarantines and suspects to the answer to a poll.
func AddTo(response *messenger.FollowResponse, quarantines []Quarantine, suspects []Feature) {
	for _, q := range quarantines {
		response.Quarantined = append(response.Quarantined, &messenger.Fingerprint{Digest: uint64(q.Feature), LeftMs: millis(q.Left), Trial: q.Trial})
	}
	response.Suspects = toWire(suspects)
}

// QuarantinesFrom returns the quarantines in a list of fingerprints.
func QuarantinesFrom(fingerprints []*messenger.Fingerprint) []Quarantine {
	fingerprints = fingerprints[:min(len(fingerprints), maxQuarantined)]
	quarantines := make([]Quarantine, len(fingerprints))
	for n, wire := range fingerprints {
		quarantines[n] = Quarantine{Feature: Feature(wire.GetDigest()), Left: time.Duration(wire.GetLeftMs()) * time.Millisecond, Trial: wire.GetTrial()}
	}
	return quarantines
}

// SuspectsFrom returns the suspects in the answer to a poll.
func SuspectsFrom(response *messenger.FollowResponse) []Feature {
	return fromWire(response.GetSuspects(), MaxSuspects)
}

func toWire(features []Feature) []uint64 {
	numbers := make([]uint64, len(features))
	for n, feature := range features {
		numbers[n] = uint64(feature)
	}
	return numbers
}

func fromWire(numbers []uint64, most int) []Feature {
	features := make([]Feature, min(len(numbers), most))
	for n := range features {
		features[n] = Feature(numbers[n])
	}
	return features
}

// millis rounds up, so that what is left is never told as nothing.
func millis(d time.Duration) uint32 {
	return uint32(min(max(int64((d+time.Millisecond-1)/time.Millisecond), 0), math.MaxUint32))
}

func ago(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
