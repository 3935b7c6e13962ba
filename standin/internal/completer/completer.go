package completer

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/standin/internal/batcher"
	"shallotkeel.example/standin/internal/failer"
	"shallotkeel.example/standin/internal/journaler"
)

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 16 << 20

// promptUnitBytes is the number of bytes of a prompt in one prompt unit.
const promptUnitBytes = 4

// Completer serves the HTTP API of an engine.
type Completer struct {
	Engine  *Engine
	Failer  *failer.Failer
	Journal *journaler.Journaler
	Caches  *Caches

	lock   sync.Mutex
	models []string
}

// SetModels replaces the loaded models.
func (c *Completer) SetModels(models []string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.models = slices.Clone(models)
}

// Models returns the loaded models.
func (c *Completer) Models() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Clone(c.models)
}

// body holds the fields of OpenAI's request that a stand-in evaluates.
type body struct {
	Model     string             `json:"model"`
	Messages  []answerer.Message `json:"messages"`
	MaxTokens int                `json:"max_tokens"`
	Stream    bool               `json:"stream"`
}

// call is one request: its body, its headers, and the answer derived from them.
type call struct {
	body
	id        string
	key       string
	workspace string
	prompt    string
	length    int
	from      int
	crash     bool
}

// ServeHTTP answers POST /v1/chat/completions.
func (c *Completer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return // the router disconnected while sending
	}
	q := call{id: r.Header.Get("X-Request-Id"), key: r.Header.Get("Idempotency-Key"), workspace: r.Header.Get("X-Workspace")}
	w.Header().Set("X-Request-Id", q.id)
	if err := json.Unmarshal(text, &q.body); err != nil || len(q.Messages) == 0 {
		c.refuse(w, q, http.StatusBadRequest, "send a chat completion with messages")
		return
	}
	q.prompt = answerer.Prompt(q.Messages)
	q.crash = c.Failer.Crashes(text)
	maxTokens := q.MaxTokens
	if maxTokens <= 0 {
		maxTokens = answerer.DefaultMaxTokens
	}
	q.length = answerer.Length(q.Model, q.prompt, maxTokens)
	if from, err := strconv.Atoi(r.Header.Get("X-Resume-From")); err == nil {
		q.from = min(max(from, 0), q.length)
	}
	switch {
	case c.Failer.Faults().Refuse:
		c.refuse(w, q, http.StatusServiceUnavailable, "come back later; this endpoint refuses requests for a test")
	case !slices.Contains(c.Models(), q.Model):
		c.refuse(w, q, http.StatusNotFound, "load the model first")
	default:
		c.run(w, r, q)
	}
}

// refuse answers a request that was not started.
func (c *Completer) refuse(w http.ResponseWriter, q call, status int, remedy string) {
	c.Journal.Add(journaler.Entry{Verb: journaler.Refused, Request: q.id, Key: q.key, Workspace: q.workspace})
	w.Header().Set("X-Started", "no")
	if status == http.StatusServiceUnavailable {
		c.Failer.Faults().SetRetryAfter(w.Header())
	}
	http.Error(w, remedy, status)
}

// run submits a request to the engine and writes its tokens as they become ready,
// until the request has finished, is cancelled, or the caller disconnects.
func (c *Completer) run(w http.ResponseWriter, r *http.Request, q call) {
	entry := journaler.Entry{Request: q.id, Key: q.key, Workspace: q.workspace, From: q.from}
	entry.Verb = journaler.Received
	c.Journal.Add(entry)
	j := c.Engine.submit(q.id, batcher.Request{
		Prompt: 1 + len(q.prompt)/promptUnitBytes,
		Prefix: answerer.PrefixHash(q.Model, q.prompt),
		Length: q.length,
		From:   q.from,
		Warm:   c.Caches.HasImported(q.id, q.prompt),
	})
	defer c.Engine.release(j)
	out := newWriter(w, q)
	sent := q.from
	started := false
	for {
		current := c.Engine.stateOf(j)
		if current.started && !started {
			started = true
			entry.Verb = journaler.Started
			c.Journal.Add(entry)
		}
		if current.tokens > sent && q.crash {
			c.Failer.Exit()
			return
		}
		c.Journal.CountUnits(q.workspace, current.tokens-sent)
		for ; sent < current.tokens; sent++ {
			out.writeToken(sent)
			c.Caches.Record(q.id, q.prompt, sent+1)
		}
		if current.finished || current.cancelled || r.Context().Err() != nil {
			c.finish(out, current, started, entry, sent-q.from)
			return
		}
		out.flush()
		select {
		case <-j.changed:
		case <-r.Context().Done():
		}
	}
}

func (c *Completer) finish(out *writer, last jobState, started bool, entry journaler.Entry, units int) {
	entry.Verb, entry.Units = journaler.Cancelled, units
	if last.finished {
		entry.Verb = journaler.Finished
	}
	if started {
		c.Journal.Add(entry)
	}
	if !last.finished {
		// Aborting the connection keeps the caller from taking a cancelled answer
		// as complete.
		panic(http.ErrAbortHandler)
	}
	out.close()
}
