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

// maxKey bounds an idempotency key.
const maxKey = 255

func (r *Relayer) authenticate(q *request) (tracker.Action, bool) {
	q.rules = r.options.Ruler.Rules()
	token := refuser.Bearer(q.http)
	if token == "" {
		return refuse(tracker.CodeNoToken, 0), false
	}
	workspace, found := q.rules.ByToken(token)
	q.workspace = workspace
	if !found {
		return refuse(tracker.CodeBadToken, 0), false
	}
	return tracker.Action{}, true
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (r *Relayer) serveModels(_ context.Context, q *request) tracker.Action {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range q.rules.Models(q.workspace) {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model"})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return refuse(tracker.CodeNoEndpoint, retrySoon)
	}
	q.caller.writer.Header().Set("Content-Type", "application/json")
	q.caller.begin(http.StatusOK)
	if q.caller.write(body) != nil {
		return tracker.Action{Step: tracker.EndSilently, Outcome: tracker.OutcomeUnknown, Code: tracker.CodeTimedOut}
	}
	return tracker.Action{Step: tracker.Complete, Outcome: tracker.OutcomeAnswered}
}

// admit finds what is wrong with a service for this workspace.
func admit(q *request, service *matcher.Service, found bool, kind string, missing tracker.Code) (tracker.Action, bool) {
	if !found || service.Type != kind {
		return refuse(missing, 0), false
	}
	if !service.Admits(q.workspace) {
		return refuse(tracker.CodeNotAllowed, 0), false
	}
	q.service = service
	return tracker.Action{}, true
}

func (r *Relayer) serveChat(ctx context.Context, q *request) tracker.Action {
	hold := r.bodies.hold()
	defer hold.release()
	text, problem := r.readWhole(ctx, q, hold)
	if problem != nil {
		return q.refused(problem)
	}
	q.chat, problem = decodeChat(text)
	if problem != nil {
		return q.refused(problem)
	}
	hold.shrink(len(q.chat.Body))
	service, found := q.rules.ByModel(q.chat.Model)
	if action, ok := admit(q, service, found, describer.TypeModel, tracker.CodeUnknownModel); !ok {
		return action
	}
	q.order.id = q.id
	q.sink = q.newSink(r.limits.AnswerBytes)
	q.fingerprint = fingerprint(q.workspace.Name, q.service.Name, "", q.chat.Body, 0)
	repeatable := q.http.Header.Get(headerNoRepeat) != describer.Yes
	return r.serve(ctx, q, tracker.Traits{Repeatable: repeatable, Replayable: true, Resumable: repeatable})
}

func (r *Relayer) servePlain(ctx context.Context, q *request) tracker.Action {
	service, found := q.rules.Service(q.http.PathValue("service"))
	if action, ok := admit(q, service, found, describer.TypePlain, tracker.CodeUnknownService); !ok {
		return action
	}
	hold := r.bodies.hold()
	defer hold.release()
	var problem *problem
	q.upload, problem = r.readUpload(ctx, q, hold)
	if problem != nil {
		return q.refused(problem)
	}
	call := q.http.Method + " " + q.http.URL.RequestURI()
	q.fingerprint = fingerprint(q.workspace.Name, q.service.Name, call, q.upload.head, q.http.ContentLength)
	return r.serve(ctx, q, tracker.Traits{
		Repeatable: repeatable(service, q.http), Replayable: q.upload.whole,
	})
}

// serve runs a request that is well-formed and allowed.
func (r *Relayer) serve(ctx context.Context, q *request, nature tracker.Traits) tracker.Action {
	if !nature.Repeatable {
		if problem := q.takeKey(); problem != nil {
			return q.refused(problem)
		}
		q.keep.limit = r.limits.RecordBytes
	}
	q.rules = nil // a request that waits must not keep a revision in memory that is no longer in force
	nature.Attempts = r.limits.Attempts
	q.tracker = tracker.New(nature, budget{queue: &r.queue, workspace: q.workspace.Name})
	r.explainer.begin(q)
	return r.run(ctx, q)
}

// repeatable tells whether a plain call may run twice. A caller can say that it
// may not, and never that it may: that is the service's to say.
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

// takeKey reads the idempotency key, or mints one and says so in the answer.
func (q *request) takeKey() *problem {
	q.key = q.http.Header.Get(headerKey)
	if q.key == "" {
		q.key = uuid.NewString()
	}
	if len(q.key) > maxKey || strings.ContainsFunc(q.key, func(r rune) bool { return r < ' ' || r > '~' }) {
		return &problem{tracker.CodeBadBody, "the Idempotency-Key must be at most 255 printable ASCII characters"}
	}
	q.caller.writer.Header().Set(headerKey, q.key)
	return nil
}

// fingerprint is the digest by which a request is known again, whoever sends it
// and through whichever router. The digest resists collisions, because the
// maker of one could have another workspace's request refused.
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
