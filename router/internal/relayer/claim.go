package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/tracker"
)

// headerReplayed marks an answer that was recorded earlier.
const headerReplayed = "Idempotency-Replayed"

// spentRetry is when to ask again for the outcome of a request that may still run.
const spentRetry = 2 * time.Second

// claimKey claims the idempotency key in the replicated log. The claim comes
// after the grant, directly before the first byte: claimed earlier, the keys of
// all requests that wait at a router would be spent when it dies, though none
// of them ran.
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
		return tracker.Event{Kind: tracker.ClaimUnanswered, Retry: retrySoon}
	}
	span.End("")
	r.note(q, "claim", result.Outcome.String(), "")
	return q.claimed(result)
}

func (q *request) claimed(result *messenger.ClaimResult) tracker.Event {
	switch result.Outcome {
	case messenger.ClaimOutcome_CLAIM_GRANTED:
		// From here on the answer is awaited also when the caller goes away.
		q.detachable(true)
		return tracker.Event{Kind: tracker.ClaimGranted}
	case messenger.ClaimOutcome_CLAIM_RECORDED:
		q.keep.recorded = result.Recorded
		return tracker.Event{Kind: tracker.ClaimRecorded}
	case messenger.ClaimOutcome_CLAIM_MISMATCH:
		return tracker.Event{Kind: tracker.ClaimMismatch}
	case messenger.ClaimOutcome_CLAIM_FULL:
		return tracker.Event{Kind: tracker.ClaimFull, Retry: retrySoon}
	default:
		return tracker.Event{Kind: tracker.ClaimSpent, Retry: spentRetry}
	}
}

// record stores the outcome of a claimed request, in the background.
func (r *Relayer) record(q *request, answer *messenger.Answer) {
	r.note(q, "record", "", "")
	r.options.Claimer.Record(&messenger.RecordEntry{
		Workspace: q.claim.Workspace, Key: q.claim.Key, Digest: q.claim.Digest, Owner: q.claim.Owner, Answer: answer,
	})
}

// keeper keeps the answer of a claimed request for its record. The zero value
// keeps nothing.
type keeper struct {
	limit    int
	status   int
	kind     string
	body     []byte
	chat     assembly
	omitted  bool   // the answer is larger than the limit
	recorded []byte // an earlier request's answer, encoded
}

// add keeps a part of a plain answer.
func (k *keeper) add(part []byte) {
	if k.limit == 0 || k.omitted {
		return
	}
	if len(k.body)+len(part) > k.limit {
		k.body, k.omitted = nil, true
		return
	}
	k.body = append(k.body, part...)
}

// event keeps a part of a chat answer.
func (k *keeper) event(event chunk) {
	if k.limit == 0 || k.omitted {
		return
	}
	k.chat.limit = k.limit
	k.omitted = !k.chat.add(event)
}

func (k *keeper) notRun() *messenger.Answer {
	return &messenger.Answer{NotRun: true}
}

// answer returns the record. One that is too large says that it is left out.
func (k *keeper) answer(order *sequence) *messenger.Answer {
	answer := &messenger.Answer{Status: uint32(k.status), ContentType: k.kind, Body: k.body, Omitted: k.omitted}
	if !order.finished {
		return answer
	}
	answer.Status, answer.ContentType = http.StatusOK, contentJSON
	body, err := k.chat.whole(order)
	if err != nil || k.omitted || len(body) > 2*k.limit {
		answer.Omitted = true
		return answer
	}
	answer.Body = body
	return answer
}

// replay answers with what was recorded of an earlier request with this key.
func (r *Relayer) replay(q *request, action tracker.Action) tracker.Action {
	var answer messenger.Answer
	if err := proto.Unmarshal(q.keep.recorded, &answer); err != nil || answer.Omitted {
		q.reason = "an earlier request with this Idempotency-Key ran and was answered, but its answer was too large to keep, or ended with its connection, so that it may not be whole"
		return tracker.Action{Step: tracker.RespondError, Outcome: tracker.OutcomeUnknown, Code: tracker.CodeKeySpent}
	}
	headers := q.caller.writer.Header()
	headers.Set(headerReplayed, "true")
	body := answer.Body
	headers.Set("Content-Type", answer.ContentType)
	if q.chat != nil && q.chat.Stream && answer.Status == http.StatusOK {
		body = streamed(answer.Body)
		headers.Set("Content-Type", "text/event-stream")
	}
	q.caller.begin(int(answer.Status))
	if q.caller.write(body) != nil {
		return tracker.Action{Step: tracker.EndSilently, Outcome: tracker.OutcomeAnswered, Code: tracker.CodeCallerGone}
	}
	return action
}

// replayedChunk is a whole answer as one event of a stream.
type replayedChunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []replayedChoice `json:"choices"`
	Usage   *usage           `json:"usage,omitempty"`
}

type replayedChoice struct {
	Index        int               `json:"index"`
	Delta        completionMessage `json:"delta"`
	FinishReason string            `json:"finish_reason"`
}

// streamed turns a recorded whole answer into a stream of one event.
func streamed(body []byte) []byte {
	var whole completion
	if json.Unmarshal(body, &whole) != nil || len(whole.Choices) == 0 {
		return body
	}
	first := whole.Choices[0]
	event, err := json.Marshal(replayedChunk{
		ID: whole.ID, Object: "chat.completion.chunk", Created: whole.Created, Model: whole.Model, Usage: whole.Usage,
		Choices: []replayedChoice{{Delta: first.Message, FinishReason: first.FinishReason}},
	})
	if err != nil {
		return body
	}
	return []byte("data: " + string(event) + "\n\ndata: " + streamDone + "\n\n")
}
