package administrator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/router/internal/administrator"
)

// fakeKeepers implements Keeping, Reporter and Explainer. It records the last change
// and returns answer and err.
type fakeKeepers struct {
	applied *messenger.ApplyRequest
	lifted  []uint64
	answer  *messenger.ApplyResponse
	err     error
	// outdated is set while newer operators' tokens may exist.
	outdated bool
}

func (k *fakeKeepers) Apply(_ context.Context, request *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	k.applied = request
	return k.answer, k.err
}

func (k *fakeKeepers) Watch(context.Context, *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	return &messenger.WatchResponse{
		Revision: 7, Stale: true, Full: true, Objects: []*messenger.Object{{Kind: "workspace", Name: "club"}},
		Quarantined: []*messenger.Fingerprint{{Digest: 0xab, LeftMs: 5000}},
	}, k.err
}

func (k *fakeKeepers) History(_ context.Context, request *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	if request.At > 0 {
		return &messenger.HistoryResponse{Revision: request.At, Objects: []*messenger.Object{{Kind: "workspace", Name: "old"}}}, k.err
	}
	return &messenger.HistoryResponse{Revisions: []*messenger.Revision{{Revision: request.Before - 1, Author: "anna"}}}, k.err
}

func (k *fakeKeepers) Quarantine(_ context.Context, request *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error) {
	for _, fingerprint := range request.GetFingerprints() {
		if fingerprint.GetLeftMs() == 0 {
			k.lifted = append(k.lifted, fingerprint.GetDigest())
		}
	}
	return &messenger.QuarantineResponse{}, k.err
}

func (k *fakeKeepers) Status(context.Context) (reporter.Status, error) {
	return reporter.Status{Revision: 7}, k.err
}

func (k *fakeKeepers) Explain(id string) (reporter.Explanation, bool) {
	return reporter.Explanation{ID: id}, id == "known"
}

// call sends one call to an administrator over these keepers.
func (k *fakeKeepers) call(method, path, body, token string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	administrator.New(administrator.Options{Keeping: k, Reporter: k, Explainer: k, Token: "secret", Log: zerolog.Nop(),
		Operator: func(token string) bool { return token == "second" }, Current: func() bool { return !k.outdated }}).Register(mux)
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	return recorder
}

const change = `{"id":"c1","author":"anna","edits":[{"object":{"kind":"workspace","name":"club","labels":{"weight":"2"}},"check":true,"version":3}]}`

func TestChanges(t *testing.T) {
	for name, test := range map[string]struct {
		body   string
		answer *messenger.ApplyResponse
		err    error
		status int
		want   string
	}{
		"accepted": {change, &messenger.ApplyResponse{Outcome: messenger.ApplyOutcome_APPLY_ACCEPTED, Revision: 8}, nil, 200, `"revision":8`},
		"conflict": {change, &messenger.ApplyResponse{
			Outcome: messenger.ApplyOutcome_APPLY_CONFLICT, Winners: []*messenger.Object{{Name: "club", Version: 4}},
		}, nil, 409, `"winners":[{"kind":"","name":"club","version":4}]`},
		"invalid": {change, &messenger.ApplyResponse{
			Outcome: messenger.ApplyOutcome_APPLY_INVALID, Findings: []*messenger.Finding{{Severity: "error", Message: "no such label"}},
		}, nil, 422, "no such label"},
		"no quorum": {change, nil, twirp.NewError(twirp.Unavailable, "10.9.9.9 is away"), 503, "no_quorum"},
		"no id":     {`{"edits":[]}`, nil, nil, 400, "id of its own"},
		"no JSON":   {`{`, nil, nil, 400, "bad_body"},
		"misspelt":  {`{"id":"c1","edit":[]}`, nil, nil, 400, "edit"},
		"too large": {`{"id":"` + strings.Repeat("x", 5<<20) + `"}`, nil, nil, 413, "split"},
	} {
		t.Run(name, func(t *testing.T) {
			k := &fakeKeepers{answer: test.answer, err: test.err}
			got := k.call("POST", "/admin/changes?dry_run=1", test.body, "secret")
			require.Equal(t, test.status, got.Code, got.Body)
			require.Contains(t, got.Body.String(), test.want)
			require.NotContains(t, got.Body.String(), "10.9.9.9")
			if test.answer != nil {
				require.True(t, k.applied.DryRun)
				require.True(t, k.applied.Edits[0].Check)
				require.EqualValues(t, 3, k.applied.Edits[0].Version)
				require.Equal(t, "2", k.applied.Edits[0].Object.Labels["weight"])
			}
		})
	}
}

// Guards against an operator who cannot see what is refused, or lifts something else than is listed.
func TestQuarantinesAreListedAndLifted(t *testing.T) {
	k := &fakeKeepers{}
	got := k.call("GET", "/admin/quarantines", "", "secret")
	require.Equal(t, http.StatusOK, got.Code)
	require.JSONEq(t, `{"stale":true,"quarantines":[{"feature":"00000000000000ab","left_ms":5000}]}`, got.Body.String())
	require.Equal(t, http.StatusOK, k.call("DELETE", "/admin/quarantines/00000000000000ab", "", "secret").Code)
	require.Equal(t, []uint64{0xab}, k.lifted)
	require.Equal(t, http.StatusBadRequest, k.call("DELETE", "/admin/quarantines/club", "", "secret").Code)
	k.err = twirp.NewError(twirp.Unavailable, "away")
	require.Equal(t, http.StatusServiceUnavailable, k.call("DELETE", "/admin/quarantines/ab", "", "secret").Code)
}

func TestReads(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		status int
		want   string
	}{
		"objects":                 {"/admin/objects", 200, `"revision":7,"stale":true`},
		"objects at":              {"/admin/objects?at=3", 200, `{"revision":3,"objects":[{"kind":"workspace","name":"old"}]}`},
		"objects at no number":    {"/admin/objects?at=x", 400, "decimal number"},
		"history":                 {"/admin/history?before=5&limit=2", 200, `"revision":4`},
		"status":                  {"/admin/status", 200, `"revision":7`},
		"explain":                 {"/admin/explain/known", 200, `"id":"known"`},
		"explain unknown request": {"/admin/explain/unknown", 404, "other routers"},
		"nothing":                 {"/admin/rubbish", 404, "no such path"},
	} {
		t.Run(name, func(t *testing.T) {
			got := (&fakeKeepers{}).call("GET", test.path, "", "secret")
			require.Equal(t, test.status, got.Code, got.Body)
			require.Contains(t, got.Body.String(), test.want)
		})
	}
}

func TestToken(t *testing.T) {
	for _, path := range []string{"/admin/objects", "/admin/status", "/admin/explain/known", "/admin/rubbish"} {
		require.Equal(t, http.StatusUnauthorized, (&fakeKeepers{}).call("GET", path, "", "wrong").Code, path)
	}
	k := &fakeKeepers{}
	require.Equal(t, http.StatusUnauthorized, k.call("POST", "/admin/changes", change, "").Code)
	require.Nil(t, k.applied)
	require.NotEqual(t, http.StatusUnauthorized, k.call("GET", "/admin/status", "", "second").Code)
}

// Guards against an operator who is told for good that its token is wrong, by a router that has just started.
// The token of the settings is valid at once.
func TestTokenIsNotJudgedBeforeTheConfigurationIsKnown(t *testing.T) {
	k := &fakeKeepers{outdated: true}
	for _, path := range []string{"/admin/objects", "/admin/status", "/admin/explain/known", "/admin/rubbish"} {
		got := k.call("GET", path, "", "newcomer")
		require.Equal(t, http.StatusServiceUnavailable, got.Code, path)
		require.Equal(t, "1", got.Header().Get("Retry-After"))
		require.Contains(t, got.Body.String(), `"type":"not_run"`)
	}
	require.Equal(t, http.StatusUnauthorized, k.call("GET", "/admin/status", "", "").Code)
	require.Equal(t, http.StatusOK, k.call("GET", "/admin/status", "", "secret").Code)
	require.Equal(t, http.StatusOK, k.call("GET", "/admin/status", "", "second").Code)
	k.outdated = false
	require.Equal(t, http.StatusUnauthorized, k.call("GET", "/admin/status", "", "newcomer").Code)
}
