// Package requester calls the operators' API of the routers.
//
// Invariants: a change is sent with one change id however often it has to be
// sent, so that a lost answer never applies it twice; a call goes to the next
// router when one cannot be reached; and the error kinds tell a script what to
// do.
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

// Kinds of failure; each has an exit status of its own in package commander.
var (
	ErrUnreachable = merry.Sentinel("no router could answer")
	ErrRefused     = merry.Sentinel("refused")
)

// Limits of a call.
const (
	callTimeout = 10 * time.Second
	maxAnswer   = 64 << 20
	// attempts is how often all routers are tried before giving up.
	attempts = 3
	pause    = 500 * time.Millisecond
)

// Requester calls one of several routers.
type Requester struct {
	Routers []string // base URLs
	Token   string
	Client  http.Client
	// Sleep waits between attempts; time.Sleep if nil.
	Sleep func(time.Duration)
}

// Objects returns the configuration, as of a revision or, with 0, as it is.
func (r *Requester) Objects(ctx context.Context, at uint64) (reporter.Objects, error) {
	var answer reporter.Objects
	query := url.Values{}
	if at > 0 {
		query.Set("at", strconv.FormatUint(at, 10))
	}
	err := r.get(ctx, "/admin/objects", query, &answer)
	return answer, err
}

// History returns accepted changes, newest first, before a revision (0: the newest).
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

// Explain asks every router what happened to a request, because only the one
// that served it knows.
func (r *Requester) Explain(ctx context.Context, id string) (reporter.Explanation, error) {
	var last error
	for _, router := range r.Routers {
		var answer reporter.Explanation
		err := r.call(ctx, http.MethodGet, router, "/admin/explain/"+url.PathEscape(id), nil, nil, &answer)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return reporter.Explanation{}, last
}

// Apply sends a change. Conflicts and findings are in the answer, not errors.
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
	err = r.anywhere(ctx, http.MethodPost, "/admin/changes", query, body, &answer)
	return answer, err
}

func (r *Requester) get(ctx context.Context, path string, query url.Values, into any) error {
	return r.anywhere(ctx, http.MethodGet, path, query, nil, into)
}

// anywhere tries each router in turn, several times over: routers restart every
// day and a single one that is down must not stop an operator.
func (r *Requester) anywhere(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	last := merry.Errorf("%w: no router is named; use --router or SKCTL_ROUTER", ErrUnreachable)
	for attempt := range attempts {
		if attempt > 0 {
			r.sleep(pause)
		}
		for _, router := range r.Routers {
			err := r.call(ctx, method, router, path, query, body, into)
			if err == nil || !errors.Is(err, ErrUnreachable) {
				return err
			}
			last = err
		}
	}
	return last
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return merry.Errorf("%w: the answer was cut short: %v; the call is safe to repeat", ErrUnreachable, err)
	}
	return decode(response.StatusCode, text, into)
}

// decode reads the answer. A conflict and an invalid change are full answers
// of their own type; every other failure is a reporter.Failure.
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
