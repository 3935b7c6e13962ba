package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/starter"
)

// fakeAPI is a fake of the operators' API: it stores objects with versions,
// applies each change id once, and can drop answers.
type fakeAPI struct {
	mutex          sync.Mutex
	revision       uint64
	objects        map[describer.Key]describer.Object
	outcomes       map[string]reporter.Applied
	applied        int
	answersToLose  int               // the number of answers to drop after their changes were applied
	concurrentEdit *describer.Object // stored right after the objects were read
	history        []reporter.Revision
	status         reporter.Status
	quarantines    []reporter.Quarantine
}

func newFakeAPI() *fakeAPI {
	return &fakeAPI{
		objects:  make(map[describer.Key]describer.Object),
		outcomes: make(map[string]reporter.Applied),
	}
}

func (f *fakeAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Header.Get("Authorization") != "Bearer operator" {
		w.WriteHeader(http.StatusUnauthorized)
		body := reporter.FailureBody{Type: "invalid", Code: "bad_token", Message: "wrong token", Remedy: "set --token"}
		_ = json.NewEncoder(w).Encode(reporter.Failure{Error: body})
		return
	}
	switch r.URL.Path {
	case "/admin/objects":
		_ = json.NewEncoder(w).Encode(f.listing())
		if f.concurrentEdit != nil {
			f.put(*f.concurrentEdit)
		}
	case "/admin/history":
		_ = json.NewEncoder(w).Encode(f.page(r))
	case "/admin/status":
		_ = json.NewEncoder(w).Encode(f.status)
	case "/admin/changes":
		f.change(w, r)
	case "/admin/quarantines":
		_ = json.NewEncoder(w).Encode(reporter.Quarantines{Quarantines: f.quarantines})
	case "/admin/quarantines/ab":
		f.quarantines = nil
		_ = json.NewEncoder(w).Encode(reporter.Quarantines{})
	default:
		http.NotFound(w, r)
	}
}

// page returns the part of the history, newest first, that a request asks for.
func (f *fakeAPI) page(r *http.Request) reporter.History {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil {
		limit = len(f.history)
	}
	before, err := strconv.ParseUint(r.URL.Query().Get("before"), 10, 64)
	if err != nil {
		before = math.MaxUint64
	}
	var answer reporter.History
	for _, revision := range f.history {
		if revision.Revision < before && len(answer.Revisions) < limit {
			answer.Revisions = append(answer.Revisions, revision)
		}
	}
	return answer
}

func (f *fakeAPI) listing() reporter.Objects {
	answer := reporter.Objects{Revision: f.revision}
	for _, object := range f.objects {
		answer.Objects = append(answer.Objects, object)
	}
	return answer
}

func (f *fakeAPI) change(w http.ResponseWriter, r *http.Request) {
	var change describer.Change
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, known := f.outcomes[change.ID]
	answer.Resent = known
	if !known {
		answer = f.apply(change)
	}
	if f.answersToLose > 0 {
		f.answersToLose--
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if answer.Outcome == reporter.Conflict {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (f *fakeAPI) apply(change describer.Change) reporter.Applied {
	for _, edit := range change.Edits {
		if current := f.objects[edit.Object.Key()]; edit.Check && current.Version != edit.Version {
			return reporter.Applied{Outcome: reporter.Conflict, Winners: []describer.Object{current}}
		}
	}
	f.applied++
	f.revision++
	for _, edit := range change.Edits {
		object := edit.Object
		object.Version = edit.Version + 1
		if edit.Delete {
			delete(f.objects, object.Key())
			continue
		}
		f.objects[object.Key()] = object
	}
	answer := reporter.Applied{Outcome: reporter.Accepted, Revision: f.revision}
	f.outcomes[change.ID] = answer
	return answer
}

func (f *fakeAPI) put(object describer.Object) {
	f.objects[object.Key()] = object
}

type outcome struct {
	status int
	out    string
	err    string
}

func run(t *testing.T, f *fakeAPI, clock clockwork.Clock, input string, arguments ...string) outcome {
	t.Helper()
	server := httptest.NewServer(f)
	defer server.Close()
	var out, errors bytes.Buffer
	commands := Commander{
		In: strings.NewReader(input), Out: &out, Err: &errors, Clock: clock,
		NewID: func() string { return "minted" },
	}
	status := commands.Run(append([]string{"--router", server.URL, "--token", "operator"}, arguments...))
	return outcome{status: status, out: out.String(), err: errors.String()}
}

// sleeplessClock is a fake clock on which Sleep advances the time and returns at
// once.
type sleeplessClock struct{ *clockwork.FakeClock }

func (c sleeplessClock) Sleep(duration time.Duration) { c.Advance(duration) }

func testClock() clockwork.Clock {
	return sleeplessClock{clockwork.NewFakeClock()}
}

const clubDocument = `// a club
{"objects": [{"kind": "workspace", "name": "club", "labels": {"weight": "2"}}]}`

var club = describer.Object{Kind: describer.Workspace, Name: "club", Labels: labeler.Labels{"weight": "2"}, Version: 1}

// Guards against a listed quarantine that the operator cannot lift by the name that is listed.
func TestQuarantinesAreListedAndLifted(t *testing.T) {
	f := newFakeAPI()
	f.quarantines = []reporter.Quarantine{{Feature: "ab", LeftMS: 90_000}}
	listed := run(t, f, testClock(), "", "quarantines")
	require.Equal(t, starter.StatusOK, listed.status)
	require.Regexp(t, `ab +1m30s`, listed.out)
	lifted := run(t, f, testClock(), "", "lift", "ab")
	require.Equal(t, starter.StatusOK, lifted.status, lifted.err)
	require.NotContains(t, run(t, f, testClock(), "", "quarantines").out, "ab")
}

func TestApply(t *testing.T) {
	tests := map[string]struct {
		prepare func(*fakeAPI)
		input   string
		extra   []string
		status  int
		out     string
		err     string
	}{
		"a new object": {input: clubDocument, out: "accepted as revision 1"},
		"nothing to change": {
			prepare: func(f *fakeAPI) { f.put(club) }, input: clubDocument, err: "nothing to change",
		},
		"an unknown key is reported with its line": {
			input: "{\"objects\": [{\"kind\": \"workspace\",\n \"title\": \"club\"}]}", status: starter.StatusFailed, err: "-:2:",
		},
		"the same object twice": {
			input: `{"objects":[{"kind":"service","name":"a"},{"kind":"service","name":"a"}]}`, status: starter.StatusFailed, err: "stands twice",
		},
		"a router lags behind": {
			prepare: func(f *fakeAPI) {
				f.status.Routers = []reporter.Router{{Name: "router-a", InForce: 1}, {Name: "router-b", InForce: 0}}
			},
			input: clubDocument, extra: []string{"--wait", "--timeout", "3s"}, status: StatusLagging, err: "waiting for router-b",
		},
		"the change is in force at all routers": {
			prepare: func(f *fakeAPI) { f.status.Routers = []reporter.Router{{Name: "router-a", InForce: 1}} },
			input:   clubDocument, extra: []string{"--wait"}, err: "in force at all 1 routers",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFakeAPI()
			if test.prepare != nil {
				test.prepare(f)
			}
			arguments := append([]string{"apply"}, test.extra...)
			got := run(t, f, testClock(), test.input, append(arguments, "-")...)
			require.Equal(t, test.status, got.status, got.err)
			require.Contains(t, got.out, test.out)
			require.Contains(t, got.err, test.err)
		})
	}
}

// Guards against a change that is applied twice, or reported as failed although
// it is in force: a router forwards the change, the keepers accept it, the
// answer is lost and skctl retries. Without a change id the retry is a new change.
func TestResendAfterLostAnswerAppliesOnce(t *testing.T) {
	f := newFakeAPI()
	f.answersToLose = 2
	got := run(t, f, testClock(), clubDocument, "apply", "-")
	require.Equal(t, starter.StatusOK, got.status, got.err)
	require.Equal(t, 1, f.applied)
	require.Contains(t, got.out, "accepted earlier as revision 1")
}

// Guards against a lost update: two operators read version 1 and both send a
// change. Without the version check the later change silently overwrites the
// earlier one.
func TestRaceShowsTheWinner(t *testing.T) {
	f := newFakeAPI()
	f.put(club)
	f.concurrentEdit = &describer.Object{Kind: club.Kind, Name: club.Name, Labels: labeler.Labels{"weight": "5"}, Version: 2}
	got := run(t, f, testClock(), "", "label", "workspace", "club", "weight=3")
	require.Equal(t, StatusConflict, got.status)
	require.Contains(t, got.out, "weight=5")
	require.Zero(t, f.applied)
	require.Contains(t, got.err, "somebody else changed it first")
}

func TestLabelAndDrain(t *testing.T) {
	f := newFakeAPI()
	f.put(club)
	got := run(t, f, testClock(), "", "label", "workspace", "club", "weight-", "tier=big")
	require.Equal(t, starter.StatusOK, got.status, got.err)
	require.Equal(t, labeler.Labels{"tier": "big"}, f.objects[club.Key()].Labels)

	f.outcomes = make(map[string]reporter.Applied)
	got = run(t, f, testClock(), "", "drain", "engine-1")
	require.Equal(t, starter.StatusOK, got.status, got.err)
	endpoint := f.objects[describer.Key{Kind: describer.Endpoint, Name: "engine-1"}]
	require.Equal(t, describer.Yes, endpoint.Labels[describer.LabelDrain])
}

func TestUnreachable(t *testing.T) {
	var out, errors bytes.Buffer
	commands := Commander{Out: &out, Err: &errors, Clock: testClock(), NewID: func() string { return "id" }}
	status := commands.Run([]string{"--router", "http://127.0.0.1:1", "get"})
	require.Equal(t, StatusUnreachable, status)
	require.Contains(t, errors.String(), "is the router running?")
}

func TestDirectoryAndUsage(t *testing.T) {
	f := newFakeAPI()
	directory := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(directory, "a.jsonc"), []byte(clubDocument), 0o600))
	got := run(t, f, testClock(), "", "diff", directory)
	require.Equal(t, StatusDiffers, got.status)
	require.Contains(t, got.out, "+ workspace club")

	require.NoError(t, os.WriteFile(filepath.Join(directory, "b.json"), []byte(clubDocument), 0o600))
	got = run(t, f, testClock(), "", "diff", directory)
	require.Contains(t, got.err, "keep one")

	got = run(t, f, testClock(), "", "--no-such-flag")
	require.Equal(t, starter.StatusUsage, got.status)
	got = run(t, f, testClock(), "", "digest", "secret")
	require.Len(t, strings.TrimSpace(got.out), 63)
}

// Guards against changes that watch never shows because more of them came between two polls than one
// request returns.
func TestWatchPrintsEveryChange(t *testing.T) {
	for name, count := range map[string]int{"one batch": 7, "a full batch": watchBatchSize, "several": 2*watchBatchSize + 7} {
		t.Run(name, func(t *testing.T) {
			f := newFakeAPI()
			f.revision = 3
			for revision := 3 + count; revision > 0; revision-- {
				f.history = append(f.history, reporter.Revision{Revision: uint64(revision), Author: fmt.Sprintf("operator-%03d", revision)})
			}
			watched := run(t, f, testClock(), "", "watch", "--for", "1ms")
			require.Equal(t, starter.StatusOK, watched.status, watched.err)
			require.NotContains(t, watched.out, "operator-003")
			last := 0
			for revision := 4; revision <= 3+count; revision++ {
				at := strings.Index(watched.out, fmt.Sprintf("operator-%03d", revision))
				require.GreaterOrEqual(t, at, last, "change %d is missing or out of order", revision)
				last = at
			}
		})
	}
}
