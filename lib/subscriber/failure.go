package subscriber

import (
	"context"
	"errors"
	"net/url"

	"google.golang.org/protobuf/proto"
)

// Failure is the side at which a poll failed. It is a metric label value.
type Failure string

// The sides at which polls fail.
const (
	FailedOnPath    Failure = "path"    // no connection, or it broke before the answer
	FailedByTimeout Failure = "timeout" // no answer in time
	FailedHere      Failure = "here"    // the request could not be encoded, or the answer not decoded
	FailedAtKeeper  Failure = "keeper"  // the keeper answered with an error
)

// Failures lists all values of Failure.
var Failures = []Failure{FailedOnPath, FailedByTimeout, FailedHere, FailedAtKeeper}

// failureOf returns the side at which a poll failed.
func failureOf(err error) Failure {
	var call *url.Error
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &call) && call.Timeout():
		return FailedByTimeout
	case call != nil:
		return FailedOnPath
	case errors.Is(err, proto.Error):
		return FailedHere
	}
	return FailedAtKeeper
}

// FailedPolls returns how many polls have failed at a side since the start.
func (s *Subscriber) FailedPolls(side Failure) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failures[side]
}
