package commander

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
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

// fleet is a small fake of the operators' API: it keeps objects with versions,
// applies a change id once, and can lose answers.
type fleet struct {
	mutex      sync.Mutex
	revision   uint64
	objects    map[describer.Key]describer.Object
	answers    map[string]reporter.Applied
	applied    int
	loseAnswer int               // how many answers to changes are lost after they were applied
	rival      *describer.Object // put in right after the objects were read
	history    []reporter.Revision
	status     reporter.Status
}

func newFleet() *fleet {
	return &fleet{
		objects: make(map[describer.Key]describer.Object),
		answers: make(map[string]reporter.Applied),
	}
}

func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		if f.rival != nil {
			f.put(*f.rival)
		}
	case "/admin/history":
		_ = json.NewEncoder(w).Encode(reporter.History{Revisions: f.history})
	case "/admin/status":
		_ = json.NewEncoder(w).Encode(f.status)
	case "/admin/changes":
		f.change(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (f *fleet) listing() reporter.Objects {
	answer := reporter.Objects{Revision: f.revision}
	for _, object := range f.objects {
		answer.Objects = append(answer.Objects, object)
	}
	return answer
}

func (f *fleet) change(w http.ResponseWriter, r *http.Request) {
	var change describer.Change
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, known := f.answers[change.ID]
	answer.Resent = known
	if !known {
		answer = f.apply(change)
	}
	if f.loseAnswer > 0 {
		f.loseAnswer--
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if answer.Outcome == reporter.Conflict {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (f *fleet) apply(change describer.Change) reporter.Applied {
	for _, edit := range change.Edits {
		if now := f.objects[edit.Object.Key()]; edit.Check && now.Version != edit.Version {
			return reporter.Applied{Outcome: reporter.Conflict, Winners: []describer.Object{now}}
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
	f.answers[change.ID] = answer
	return answer
}

func (f *fleet) put(object describer.Object) {
	f.objects[object.Key()] = object
}

type outcome struct {
	status int
	out    string
	err    string
}

func run(t *testing.T, f *fleet, clock clockwork.Clock, input string, arguments ...string) outcome {
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

// jumpy is a clock on which sleeping takes no time but moves the time on.
type jumpy struct{ *clockwork.FakeClock }

func (j jumpy) Sleep(duration time.Duration) { j.Advance(duration) }

func testClock() clockwork.Clock {
	return jumpy{clockwork.NewFakeClock()}
}

const oneClub = `// a club
{"objects": [{"kind": "workspace", "name": "club", "labels": {"weight": "2"}}]}`

var club = describer.Object{Kind: describer.Workspace, Name: "club", Labels: labeler.Labels{"weight": "2"}, Version: 1}

func TestApply(t *testing.T) {
	tests := map[string]struct {
		prepare func(*fleet)
		input   string
		extra   []string
		status  int
		out     string
		err     string
	}{
		"a new object": {input: oneClub, out: "accepted as revision 1"},
		"nothing to change": {
			prepare: func(f *fleet) { f.put(club) }, input: oneClub, err: "nothing to change",
		},
		"an unknown key is named with its line": {
			input: "{\"objects\": [{\"kind\": \"workspace\",\n \"title\": \"club\"}]}", status: starter.StatusFailed, err: "-:2:",
		},
		"the same object twice": {
			input: `{"objects":[{"kind":"service","name":"a"},{"kind":"service","name":"a"}]}`, status: starter.StatusFailed, err: "stands twice",
		},
		"not all routers follow": {
			prepare: func(f *fleet) {
				f.status.Routers = []reporter.Router{{Name: "router-a", InForce: 1}, {Name: "router-b", InForce: 0}}
			},
			input: oneClub, extra: []string{"--wait", "--timeout", "3s"}, status: StatusLagging, err: "waiting for router-b",
		},
		"all routers follow": {
			prepare: func(f *fleet) { f.status.Routers = []reporter.Router{{Name: "router-a", InForce: 1}} },
			input:   oneClub, extra: []string{"--wait"}, err: "in force at all 1 routers",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
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

// Symptom: a change is applied twice, or an operator is told that it failed
// although it is in force. Events: a router passes the change on, the keepers
// accept it, the answer is lost, skctl sends it again. Cause: without a change
// id the second sending is a new change.
func TestResendAfterLostAnswerAppliesOnce(t *testing.T) {
	f := newFleet()
	f.loseAnswer = 2
	got := run(t, f, testClock(), oneClub, "apply", "-")
	require.Equal(t, starter.StatusOK, got.status, got.err)
	require.Equal(t, 1, f.applied)
	require.Contains(t, got.out, "accepted earlier as revision 1")
}

// Symptom: one operator's change silently undoes another's. Events: both read
// version 1, both send a change. Cause: without the version the later one wins.
func TestRaceShowsTheWinner(t *testing.T) {
	f := newFleet()
	f.put(club)
	f.rival = &describer.Object{Kind: club.Kind, Name: club.Name, Labels: labeler.Labels{"weight": "5"}, Version: 2}
	got := run(t, f, testClock(), "", "label", "workspace", "club", "weight=3")
	require.Equal(t, StatusConflict, got.status)
	require.Contains(t, got.out, "weight=5")
	require.Zero(t, f.applied)
	require.Contains(t, got.err, "somebody else changed it first")
}

func TestLabelAndDrain(t *testing.T) {
	f := newFleet()
	f.put(club)
	got := run(t, f, testClock(), "", "label", "workspace", "club", "weight-", "tier=big")
	require.Equal(t, starter.StatusOK, got.status, got.err)
	require.Equal(t, labeler.Labels{"tier": "big"}, f.objects[club.Key()].Labels)

	f.answers = make(map[string]reporter.Applied)
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
	f := newFleet()
	directory := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(directory, "a.jsonc"), []byte(oneClub), 0o600))
	got := run(t, f, testClock(), "", "diff", directory)
	require.Equal(t, StatusDiffers, got.status)
	require.Contains(t, got.out, "+ workspace club")

	require.NoError(t, os.WriteFile(filepath.Join(directory, "b.json"), []byte(oneClub), 0o600))
	got = run(t, f, testClock(), "", "diff", directory)
	require.Contains(t, got.err, "keep one")

	got = run(t, f, testClock(), "", "--no-such-flag")
	require.Equal(t, starter.StatusUsage, got.status)
	got = run(t, f, testClock(), "", "digest", "secret")
	require.Len(t, strings.TrimSpace(got.out), 63)
}
