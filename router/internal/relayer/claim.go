package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/tracker"
)

// headerReplayed marks an answer that is replayed from the record of an earlier request.
const headerReplayed = "Idempotency-Replayed"

// keySpentRetryAfter is the Retry-After for a key whose earlier request may still run.
const keySpentRetryAfter = 2 * time.Second

// claimKey claims the idempotency key in the replicated log. The claim follows the grant of a slot
// and directly precedes the first byte: with earlier claims, a crash of the router would spend the
// keys of all requests that wait at it, although none of them ran.
func (r *Relayer) claimKey(ctx context.Context, q *request) tracker.Event {
	ctx, span := r.options.Tracer.Start(ctx, "claim")
	q.claim = &messenger.ClaimEntry{Workspace: q.workspace.Name, Key: q.key, Digest: q.fingerprint}
	result, err := r.options.Claimer.Claim(ctx, q.claim)
	if err != nil {
		span.End("no quorum")
		r.note(q, "claim", "no quorum", "")
		if ctx.Err() != nil {
			return interruption(ctx)
		}
		return tracker.Event{Kind: tracker.ClaimUnanswered, Retry: minRetryAfter}
	}
	span.End("")
	r.note(q, "claim", result.Outcome.String(), "")
	return q.claimEvent(result)
}

// claimEvent returns the event for the result of a claim.
func (q *request) claimEvent(result *messenger.ClaimResult) tracker.Event {
	switch result.Outcome {
	case messenger.ClaimOutcome_CLAIM_GRANTED:
		// From here on the answer is awaited even if the caller disconnects.
		q.setOutlivesCaller(true)
		return tracker.Event{Kind: tracker.ClaimGranted}
	case messenger.ClaimOutcome_CLAIM_RECORDED:
		q.recorder.recorded = result.Recorded
		return tracker.Event{Kind: tracker.ClaimRecorded}
	case messenger.ClaimOutcome_CLAIM_MISMATCH:
		return tracker.Event{Kind: tracker.ClaimMismatch}
	case messenger.ClaimOutcome_CLAIM_FULL:
		return tracker.Event{Kind: tracker.ClaimFull, Retry: minRetryAfter}
	default:
		return tracker.Event{Kind: tracker.ClaimSpent, Retry: keySpentRetryAfter}
	}
}

// record stores the outcome of a claimed request in the background.
func (r *Relayer) record(q *request, answer *messenger.Answer) {
	r.note(q, "record", "", "")
	r.options.Claimer.Record(&messenger.RecordEntry{
		Workspace: q.claim.Workspace, Key: q.claim.Key, Digest: q.claim.Digest, Owner: q.claim.Owner, Answer: answer,
	})
}

// answerRecorder collects the answer of a claimed request for the record of its key. The zero value
// collects nothing.
type answerRecorder struct {
	limit       int // of the answer's size in bytes
	status      int
	contentType string
	body        []byte
	chat        answerBuilder
	omitted     bool   // the answer is larger than the limit
	recorded    []byte // encoded answer of an earlier request with the key
}

// add appends a part of a plain service's answer.
func (a *answerRecorder) add(part []byte) {
	if a.limit == 0 || a.omitted {
		return
	}
	if len(a.body)+len(part) > a.limit {
		a.body, a.omitted = nil, true
		return
	}
	a.body = append(a.body, part...)
}

// addEvent appends an event of a chat answer.
func (a *answerRecorder) addEvent(event chunk) {
	if a.limit == 0 || a.omitted {
		return
	}
	a.chat.limit = a.limit
	a.omitted = !a.chat.add(event)
}

// notRun returns the record of a request that did not run, which frees its key.
func (a *answerRecorder) notRun() *messenger.Answer {
	return &messenger.Answer{NotRun: true}
}

// answer returns the record of the answer. An answer that is above the limit, or that no message can carry, is marked as
// omitted.
func (a *answerRecorder) answer(sequence *sequence) *messenger.Answer {
	answer := &messenger.Answer{Status: uint32(a.status), ContentType: a.contentType, Body: a.body, Omitted: a.omitted}
	if !utf8.ValidString(a.contentType) {
		return &messenger.Answer{Status: uint32(a.status), Omitted: true}
	}
	if !sequence.finished {
		return answer
	}
	answer.Status, answer.ContentType = http.StatusOK, contentJSON
	body, err := a.chat.encode(sequence)
	if err != nil || a.omitted || len(body) > 2*a.limit {
		answer.Omitted = true
		return answer
	}
	answer.Body = body
	return answer
}

// replay sends the recorded answer of an earlier request with the same key.
func (r *Relayer) replay(q *request, action tracker.Action) tracker.Action {
	var answer messenger.Answer
	if err := proto.Unmarshal(q.recorder.recorded, &answer); err != nil || answer.Omitted {
		q.reason = "an earlier request with this Idempotency-Key ran and was answered, but its answer was too large to keep, has a type that is not UTF-8, or ended with its connection, so that it may not be whole"
		return tracker.Action{Step: tracker.RespondError, Outcome: tracker.OutcomeUnknown, Code: tracker.CodeKeySpent}
	}
	headers := q.caller.writer.Header()
	headers.Set(headerReplayed, "true")
	body := answer.Body
	headers.Set("Content-Type", answer.ContentType)
	if q.chat != nil && q.chat.Stream && answer.Status == http.StatusOK {
		body = asStream(answer.Body)
		headers.Set("Content-Type", "text/event-stream")
	}
	q.caller.sendHead(int(answer.Status))
	if q.caller.write(body) != nil {
		return tracker.Action{Step: tracker.EndSilently, Outcome: tracker.OutcomeAnswered, Code: tracker.CodeCallerGone}
	}
	return action
}

// replayedChunk is a complete answer as a single event of a stream.
type replayedChunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []replayedChoice `json:"choices"`
	Usage   *usage           `json:"usage,omitempty"`
}

// replayedChoice is the single choice of a replayedChunk.
type replayedChoice struct {
	Index        int               `json:"index"`
	Delta        completionMessage `json:"delta"`
	FinishReason string            `json:"finish_reason"`
}

// asStream converts a recorded chat answer into a stream of one event. It returns other bodies unchanged.
func asStream(body []byte) []byte {
	var full completion
	if json.Unmarshal(body, &full) != nil || len(full.Choices) == 0 {
		return body
	}
	first := full.Choices[0]
	event, err := json.Marshal(replayedChunk{
		ID: full.ID, Object: "chat.completion.chunk", Created: full.Created, Model: full.Model, Usage: full.Usage,
		Choices: []replayedChoice{{Delta: first.Message, FinishReason: first.FinishReason}},
	})
	if err != nil {
		return body
	}
	return []byte("data: " + string(event) + "\n\ndata: " + streamDone + "\n\n")
}
