// Package requester calls the operators' API of the routers.
//
// Invariants: every attempt to send a change carries the same change id, so that
// a retry after a lost answer does not apply the change twice; a call goes to
// the next router when a router cannot be reached or has no quorum; and the
// error kinds tell a script whether it may retry.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/reporter"
)

// Kinds of failure; package commander derives exit statuses from them.
var (
	ErrUnreachable = merry.Sentinel("no router could answer")
	ErrRefused     = merry.Sentinel("refused")
)

// Limits of a call and of its retries.
const (
	callTimeout    = 10 * time.Second
	maxAnswerBytes = 64 << 20
	// maxAttempts is the number of rounds over all routers before a call fails.
	maxAttempts = 3
	retryDelay  = 500 * time.Millisecond
)

// Requester calls the routers of a fleet, one at a time.
type Requester struct {
	Routers []string // base URLs
	Token   string
	Client  http.Client
	// Sleep pauses between two rounds of attempts; nil means time.Sleep.
	Sleep func(time.Duration)
}

// Objects returns the configuration at a revision; 0 means the revision in force.
func (r *Requester) Objects(ctx context.Context, at uint64) (reporter.Objects, error) {
	var answer reporter.Objects
	query := url.Values{}
	if at > 0 {
		query.Set("at", strconv.FormatUint(at, 10))
	}
	err := r.get(ctx, "/admin/objects", query, &answer)
	return answer, err
}

// History returns up to limit accepted changes that are earlier than revision
// before, newest first; 0 means from the newest change on.
func (r *Requester) History(ctx context.Context, before uint64, limit int) (reporter.History, error) {
	var answer reporter.History
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		query.Set("before", strconv.FormatUint(before, 10))
	}
	err := r.get(ctx, "/admin/history", query, &answer)
	return answer, err
}

// Status returns the fleet's state.
func (r *Requester) Status(ctx context.Context) (reporter.Status, error) {
	var answer reporter.Status
	err := r.get(ctx, "/admin/status", nil, &answer)
	return answer, err
}

// Explain returns what happened to a request. It asks the routers in order,
// because only the router that handled the request has its record.
func (r *Requester) Explain(ctx context.Context, id string) (reporter.Explanation, error) {
	var lastError error
	for _, router := range r.Routers {
		var answer reporter.Explanation
		err := r.call(ctx, http.MethodGet, router, "/admin/explain/"+url.PathEscape(id), nil, nil, &answer)
		if err == nil {
			return answer, nil
		}
		lastError = err
	}
	return reporter.Explanation{}, lastError
}

// Quarantines returns what requests are refused for.
func (r *Requester) Quarantines(ctx context.Context) (reporter.Quarantines, error) {
	var answer reporter.Quarantines
	err := r.get(ctx, "/admin/quarantines", nil, &answer)
	return answer, err
}

// LiftQuarantine ends the quarantine of a feature.
func (r *Requester) LiftQuarantine(ctx context.Context, feature string) error {
	var answer reporter.Quarantines
	return r.callAny(ctx, http.MethodDelete, "/admin/quarantines/"+url.PathEscape(feature), nil, nil, &answer)
}

// Apply sends a change. An invalid change and a conflict are outcomes in the
// answer, not errors.
func (r *Requester) Apply(ctx context.Context, change describer.Change, dryRun bool) (reporter.Applied, error) {
	var answer reporter.Applied
	query := url.Values{}
	if dryRun {
		query.Set("dry_run", "1")
	}
	body, err := json.Marshal(change)
	if err != nil {
		return answer, merry.Wrap(err)
	}
	err = r.callAny(ctx, http.MethodPost, "/admin/changes", query, body, &answer)
	return answer, err
}

func (r *Requester) get(ctx context.Context, path string, query url.Values, into any) error {
	return r.callAny(ctx, http.MethodGet, path, query, nil, into)
}

// callAny tries the routers in order, in up to maxAttempts rounds, until one
// answers: routers restart every day, and a single router that is down must not
// stop an operator.
func (r *Requester) callAny(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	lastError := merry.Errorf("%w: no router is named; use --router or SKCTL_ROUTER", ErrUnreachable)
	for attempt := range maxAttempts {
		if attempt > 0 {
			r.sleep(retryDelay)
		}
		for _, router := range r.Routers {
			err := r.call(ctx, method, router, path, query, body, into)
			if err == nil || !errors.Is(err, ErrUnreachable) {
				return err
			}
			lastError = err
		}
	}
	return lastError
}

func (r *Requester) sleep(duration time.Duration) {
	if r.Sleep != nil {
		r.Sleep(duration)
		return
	}
	time.Sleep(duration)
}

func (r *Requester) call(ctx context.Context, method, router, path string, query url.Values, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := router + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return merry.Errorf("%w: %v; give routers as http://IP:PORT", ErrUnreachable, err)
	}
	request.Header.Set("Authorization", "Bearer "+r.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := r.Client.Do(request)
	if err != nil {
		return merry.Errorf("%w: %v; is the router running?", ErrUnreachable, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return merry.Errorf("%w: the answer was cut short: %v; the call is safe to repeat", ErrUnreachable, err)
	}
	return decode(response.StatusCode, text, into)
}

// decode parses an answer. The answers to a conflicting and to an invalid change
// carry a reporter.Applied; every other failure carries a reporter.Failure.
func decode(status int, text []byte, into any) error {
	applied, change := into.(*reporter.Applied)
	if status/100 == 2 || (change && (status == http.StatusConflict || status == http.StatusUnprocessableEntity)) {
		if err := json.Unmarshal(text, into); err != nil {
			return merry.Errorf("%w: the answer is not readable: %v; compare the versions of skctl and router", ErrRefused, err)
		}
		if change && applied.Outcome != "" || !change {
			return nil
		}
	}
	var failure reporter.Failure
	if err := json.Unmarshal(text, &failure); err != nil || failure.Error.Code == "" {
		failure.Error = reporter.FailureBody{Code: strconv.Itoa(status), Message: string(text), Remedy: "see the router's log"}
	}
	kind := ErrRefused
	if status == http.StatusServiceUnavailable || status == http.StatusBadGateway {
		kind = ErrUnreachable
	}
	return merry.Errorf("%w: %s: %s; %s", kind, failure.Error.Code, failure.Error.Message, failure.Error.Remedy)
}
