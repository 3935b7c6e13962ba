package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/lib/tracer"
)

// enrol waits for a slot.
func (r *Relayer) enrol(ctx context.Context, waiting Waiting) (Slot, *failure) {
	slot, err := r.enroller.Enrol(ctx, waiting)
	var refused *Refused
	switch {
	case err == nil:
		return slot, nil
	case errors.As(err, &refused):
		return nil, notRun(Code(refused.Code), refused.Retry)
	default:
		return nil, notRun(CodeTimedOut, time.Second)
	}
}

func (r *Relayer) runChat(ctx context.Context, q *request, body *chat) *failure {
	slot, failed := r.enrol(ctx, Waiting{
		ID: q.id, Service: q.service.Name, Workspace: q.workspace.Name, Model: body.Model,
		Hint: body.Hint, Prompt: body.Prompt, Prefix: body.Prefix,
	})
	if failed != nil {
		return failed
	}
	started := r.options.Clock.Now()
	order := &sequence{id: q.id}
	ending, failed := r.chatAttempt(ctx, q, body, slot, order)
	slot.Finish(uint32(order.next), ending, 0, r.options.Clock.Since(started))
	return failed
}

func (r *Relayer) chatAttempt(ctx context.Context, q *request, body *chat, slot Slot, order *sequence) (scheduler.Ending, *failure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target := "http://" + slot.Address().String() + "/v1/chat/completions"
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, opaque{bytes.NewReader(body.Body)})
	if err != nil {
		return scheduler.Refused, notRun(CodeNoEndpoint, time.Second)
	}
	out.ContentLength = int64(len(body.Body))
	out.Header.Set("Content-Type", "application/json")
	r.identify(ctx, q, out)
	response, err := r.repeatable.RoundTrip(out)
	if errors.Is(err, errUnreachable) {
		return scheduler.Unreachable, notRun(CodeNoEndpoint, time.Second)
	}
	if err != nil {
		return scheduler.Failed, unknown(CodeEndpointFailed, 0)
	}
	defer response.Body.Close()
	if notStarted(response) {
		return scheduler.Refused, notRun(CodeNoEndpoint, time.Second)
	}
	if response.StatusCode != http.StatusOK {
		return scheduler.Failed, unknown(CodeEndpointFailed, 0)
	}
	var out2 sink = &wholeSink{caller: q.caller, model: body.Model, limit: r.limits.AnswerBytes}
	if body.Stream {
		out2 = &streamSink{caller: q.caller}
	}
	return relayEvents(response.Body, order, out2, slot)
}

func relayEvents(body io.Reader, order *sequence, to sink, slot Slot) (scheduler.Ending, *failure) {
	from := newEvents(body)
	for {
		data, err := from.next()
		if err != nil {
			return scheduler.Failed, unknown(CodeEndpointFailed, 0)
		}
		if string(data) == streamDone {
			break
		}
		event, verdict := order.judge(data)
		if verdict.broken != "" {
			return scheduler.Failed, unknown(CodeEndpointFailed, 0)
		}
		if !verdict.relay {
			continue
		}
		if err := to.event(data, event); err != nil {
			return scheduler.Cancelled, unknown(CodeEndpointFailed, 0)
		}
		slot.Progress(uint32(order.next))
	}
	if !order.finished {
		return scheduler.Failed, unknown(CodeEndpointFailed, 0)
	}
	if err := to.end(order); err != nil {
		return scheduler.Cancelled, unknown(CodeEndpointFailed, 0)
	}
	return scheduler.Done, nil
}

// identify adds the headers by which an endpoint knows the request.
func (r *Relayer) identify(ctx context.Context, q *request, out *http.Request) {
	out.Header.Set(headerRequestID, q.id)
	out.Header.Set(headerWorkspace, q.workspace.Name)
	if key := q.http.Header.Get(headerKey); key != "" {
		out.Header.Set(headerKey, key)
	}
	tracer.Inject(ctx, out.Header)
}

func (r *Relayer) runPlain(ctx context.Context, q *request) *failure {
	slot, failed := r.enrol(ctx, Waiting{ID: q.id, Service: q.service.Name, Workspace: q.workspace.Name})
	if failed != nil {
		return failed
	}
	started := r.options.Clock.Now()
	ending, failed := r.plainAttempt(ctx, q, slot)
	took := r.options.Clock.Since(started)
	slot.Finish(sinceMS(took), ending, 0, took)
	return failed
}

func (r *Relayer) plainAttempt(ctx context.Context, q *request, slot Slot) (scheduler.Ending, *failure) {
	target := "http://" + slot.Address().String() + "/" + q.http.PathValue("path")
	if q.http.URL.RawQuery != "" {
		target += "?" + q.http.URL.RawQuery
	}
	body := http.MaxBytesReader(q.caller.writer, q.http.Body, r.limits.BodyBytes)
	out, err := http.NewRequestWithContext(ctx, q.http.Method, target, opaque{body})
	if err != nil {
		return scheduler.Refused, invalid(CodeBadBody, "the path is malformed")
	}
	out.ContentLength = q.http.ContentLength
	out.Header.Set("Content-Type", q.http.Header.Get("Content-Type"))
	r.identify(ctx, q, out)
	response, err := r.once.RoundTrip(out)
	if errors.Is(err, errUnreachable) {
		return scheduler.Unreachable, notRun(CodeNoEndpoint, time.Second)
	}
	if err != nil {
		return scheduler.Failed, unknown(CodeEndpointFailed, 0)
	}
	defer response.Body.Close()
	if notStarted(response) {
		return scheduler.Refused, notRun(CodeNoEndpoint, time.Second)
	}
	q.caller.writer.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	q.caller.begin(response.StatusCode)
	buffer := make([]byte, 32<<10)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if lost := q.caller.write(buffer[:n]); lost != nil {
				return scheduler.Cancelled, unknown(CodeEndpointFailed, 0)
			}
		}
		if errors.Is(err, io.EOF) {
			return scheduler.Done, nil
		}
		if err != nil {
			return scheduler.Failed, unknown(CodeEndpointFailed, 0)
		}
	}
}
