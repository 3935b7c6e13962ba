package relayer

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/tracker"
	"shallotkeel.example/router/internal/refuser"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// authenticate finds the workspace of the request's bearer token under the rules in force. It
// returns false and the refusal if the token is missing or unknown.
func (r *Relayer) authenticate(q *request) (tracker.Action, bool) {
	q.current = r.options.Ruler.Current() // before the rules, so that they are at least as new
	q.rules = r.options.Ruler.Rules()
	token := refuser.Bearer(q.http)
	if token == "" {
		return refuse(tracker.CodeNoToken, 0), false
	}
	workspace, found := q.rules.ByToken(token)
	q.workspace = workspace
	if !found {
		return q.refuseByRules(tracker.CodeBadToken), false
	}
	return tracker.Action{}, true
}

// refuseByRules refuses a request that the rules do not admit: for good if they are the newest ones.
// Otherwise newer rules may admit it, and it is refused as at a router that does not serve yet.
func (q *request) refuseByRules(code tracker.Code) tracker.Action {
	if q.current {
		return refuse(code, 0)
	}
	q.reason = "this router has just started or is cut off, and does not know the newest configuration"
	return refuse(tracker.CodeStopping, minRetryAfter)
}

// modelList is the answer of GET /v1/models in OpenAI's format.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one model of a modelList.
type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// serveModels answers with the models that the workspace may use.
func (r *Relayer) serveModels(_ context.Context, q *request) tracker.Action {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range q.rules.Models(q.workspace) {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model"})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return refuse(tracker.CodeNoEndpoint, minRetryAfter)
	}
	q.caller.writer.Header().Set("Content-Type", "application/json")
	q.caller.sendHead(http.StatusOK)
	if q.caller.write(body) != nil {
		return tracker.Action{Step: tracker.EndSilently, Outcome: tracker.OutcomeUnknown, Code: tracker.CodeTimedOut}
	}
	return tracker.Action{Step: tracker.Complete, Outcome: tracker.OutcomeAnswered}
}

// checkService sets the request's service. It returns false and the refusal if the service does not
// exist, has another type, or does not admit the workspace.
func checkService(q *request, service *matcher.Service, found bool, kind string, missing tracker.Code) (tracker.Action, bool) {
	if !found || service.Type != kind {
		return q.refuseByRules(missing), false
	}
	if !service.Admits(q.workspace) {
		return q.refuseByRules(tracker.CodeNotAllowed), false
	}
	q.service = service
	return tracker.Action{}, true
}

// serveChat serves a chat completion.
func (r *Relayer) serveChat(ctx context.Context, q *request) tracker.Action {
	reservation := r.bodyMemory.newReservation()
	defer reservation.release()
	text, problem := r.readFullBody(ctx, q, reservation)
	if problem != nil {
		return q.problemAction(problem)
	}
	q.chat, problem = decodeChat(text)
	if problem != nil {
		return q.problemAction(problem)
	}
	reservation.shrinkTo(len(q.chat.Body))
	service, found := q.rules.ByModel(q.chat.Model)
	if action, ok := checkService(q, service, found, describer.TypeModel, tracker.CodeUnknownModel); !ok {
		return action
	}
	q.sequence.id = q.id
	q.sink = q.newSink(r.limits.AnswerBytes)
	q.fingerprint = fingerprint(q.workspace.Name, q.service.Name, "", q.chat.Body, 0)
	q.profile = chatProfile(q)
	repeatable := q.http.Header.Get(headerNoRepeat) != describer.Yes
	return r.serve(ctx, q, tracker.Traits{Repeatable: repeatable, Replayable: true, Resumable: repeatable})
}

// servePlain serves a call of a plain service.
func (r *Relayer) servePlain(ctx context.Context, q *request) tracker.Action {
	service, found := q.rules.Service(q.http.PathValue("service"))
	if action, ok := checkService(q, service, found, describer.TypePlain, tracker.CodeUnknownService); !ok {
		return action
	}
	reservation := r.bodyMemory.newReservation()
	defer reservation.release()
	var problem *problem
	q.upload, problem = r.readUpload(ctx, q, reservation)
	if problem != nil {
		return q.problemAction(problem)
	}
	call := q.http.Method + " " + q.http.URL.RequestURI()
	q.fingerprint = fingerprint(q.workspace.Name, q.service.Name, call, q.upload.head, q.http.ContentLength)
	q.profile = callProfile(q)
	return r.serve(ctx, q, tracker.Traits{
		Repeatable: repeatable(service, q.http), Replayable: q.upload.complete,
	})
}

// serve runs a well-formed, admitted request to its final action.
func (r *Relayer) serve(ctx context.Context, q *request, traits tracker.Traits) tracker.Action {
	if !traits.Repeatable {
		if problem := q.resolveKey(); problem != nil {
			return q.problemAction(problem)
		}
		q.recorder.limit = r.limits.RecordBytes
	}
	q.rules = nil // a waiting request must not keep a superseded revision in memory
	traits.Attempts = r.limits.Attempts
	q.tracker = tracker.New(traits, retryBudget{queue: &r.queue, workspace: q.workspace.Name})
	r.explainer.begin(q)
	return r.run(ctx, q)
}

// repeatable reports whether a call of a plain service may run twice. A caller can declare its call
// non-repeatable, but not repeatable: only the service's configuration and the HTTP method do that.
func repeatable(service *matcher.Service, h *http.Request) bool {
	if h.Header.Get(headerNoRepeat) == describer.Yes {
		return false
	}
	switch service.Repeat {
	case describer.RepeatSafe:
		return true
	case describer.RepeatNever:
		return false
	}
	switch h.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// resolveKey reads the request's idempotency key, or generates one, and sets it as a header of the
// answer.
func (q *request) resolveKey() *problem {
	q.key = q.http.Header.Get(headerKey)
	if q.key == "" {
		q.key = uuid.NewString()
	}
	if len(q.key) > maxKeyBytes || strings.ContainsFunc(q.key, func(r rune) bool { return r < ' ' || r > '~' }) {
		return &problem{tracker.CodeBadBody, "the Idempotency-Key must be at most 255 printable ASCII characters"}
	}
	q.caller.writer.Header().Set(headerKey, q.key)
	return nil
}

// fingerprint returns the digest that identifies equal requests, independently of the router that
// receives them. It is derived from a collision-resistant hash, because with a collision a caller
// could cause the request of another workspace to be refused.
func fingerprint(workspace, service, call string, body []byte, length int64) uint64 {
	digest := sha256.New()
	for _, part := range []string{workspace, service, call} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(length))
	_, _ = digest.Write(size[:])
	_, _ = digest.Write(body)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}
