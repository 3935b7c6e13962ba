package relayer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/tracer"
)

// Relayer serves callers.
type Relayer struct {
	enroller   Enroller
	ruler      Ruler
	claimer    Claimer
	quarantine Quarantine
	options    Options
	limits     Limits
	repeatable *http.Transport
	once       *http.Transport
	nameHash   uint32
}

// New returns a relayer; Register puts it on a mux.
func New(options Options) *Relayer {
	limits := options.Limits.withDefaults()
	return &Relayer{
		enroller:   options.Enroller,
		ruler:      options.Ruler,
		claimer:    options.Claimer,
		quarantine: options.Quarantine,
		options:    options,
		limits:     limits,
		repeatable: newTransport(limits.DialTimeout, false),
		once:       newTransport(limits.DialTimeout, true),
		nameHash:   uint32(xxhash.Sum64String(options.Name)),
	}
}

// Register serves the callers' paths.
func (r *Relayer) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", r.entry(r.serveChat))
	mux.HandleFunc("GET /v1/models", r.entry(r.serveModels))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.entry(r.servePlain))
}

// request is one request of a caller.
type request struct {
	id        string
	workspace *matcher.Workspace
	service   *matcher.Service
	rules     *matcher.Rules
	caller    *caller
	http      *http.Request
}

type handler func(ctx context.Context, q *request) *failure

// entry does what all callers' paths have in common: identity, time limit,
// trace, and the final answer of a request that failed.
func (r *Relayer) entry(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, h *http.Request) {
		ctx, cancel := context.WithTimeout(h.Context(), r.limits.RequestTimeout)
		defer cancel()
		ctx, span := r.options.Tracer.Start(tracer.Extract(ctx, h.Header), "request")
		q := &request{id: r.newID(), rules: r.ruler.Rules(), caller: newCaller(w, r.limits.StallTimeout), http: h}
		w.Header().Set(headerRequestID, q.id)
		tracer.Inject(ctx, w.Header())
		failed := r.authenticate(q)
		if failed == nil {
			failed = next(ctx, q)
		}
		if failed == nil {
			span.End("")
			return
		}
		span.End(string(failed.code))
		if q.caller.begun {
			// The connection is reset, so that nobody takes a part for the whole.
			panic(http.ErrAbortHandler)
		}
		failed.write(w, q.id)
	}
}

// newID names a request: the router's hash, by which an operator finds the
// router that can explain it, and a random number.
func (r *Relayer) newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // it never fails: see crypto/rand
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], r.nameHash)
	return hex.EncodeToString(prefix[:]) + "-" + hex.EncodeToString(random[:])
}

func (r *Relayer) authenticate(q *request) *failure {
	token, found := strings.CutPrefix(q.http.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return invalid(CodeNoToken, "")
	}
	q.workspace, found = q.rules.ByToken(token)
	if !found {
		return invalid(CodeBadToken, "")
	}
	return nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (r *Relayer) serveModels(_ context.Context, q *request) *failure {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range q.rules.Models(q.workspace) {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model"})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return unknown(CodeEndpointFailed, 0)
	}
	q.caller.writer.Header().Set("Content-Type", "application/json")
	q.caller.begin(http.StatusOK)
	_ = q.caller.write(body)
	return nil
}

// readBody reads a body of at most limit bytes.
func (r *Relayer) readBody(q *request, limit int64) ([]byte, *failure) {
	text, err := io.ReadAll(http.MaxBytesReader(q.caller.writer, q.http.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, invalid(CodeTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
	}
	if err != nil {
		return nil, invalid(CodeBadBody, "the body did not arrive whole")
	}
	return text, nil
}

// admit finds the service's faults for this workspace.
func admit(q *request, service *matcher.Service, found bool, kind string, missing Code) *failure {
	if !found || service.Type != kind {
		return invalid(missing, "")
	}
	if !service.Admits(q.workspace) {
		return invalid(CodeNotAllowed, "")
	}
	q.service = service
	return nil
}

func (r *Relayer) serveChat(ctx context.Context, q *request) *failure {
	text, failed := r.readBody(q, r.limits.BodyBytes)
	if failed != nil {
		return failed
	}
	body, failed := decodeChat(text)
	if failed != nil {
		return failed
	}
	service, found := q.rules.ByModel(body.Model)
	if failed := admit(q, service, found, describer.TypeModel, CodeUnknownModel); failed != nil {
		return failed
	}
	return r.runChat(ctx, q, body)
}

func (r *Relayer) servePlain(ctx context.Context, q *request) *failure {
	service, found := q.rules.Service(q.http.PathValue("service"))
	if failed := admit(q, service, found, describer.TypePlain, CodeUnknownService); failed != nil {
		return failed
	}
	return r.runPlain(ctx, q)
}

// sinceMS is a duration in whole milliseconds, at least 1.
func sinceMS(d time.Duration) uint32 {
	return uint32(max(d.Milliseconds(), 1))
}
