package enlister

import (
	"time"

	"shallotkeel.example/lib/interner"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// maxNames is the largest number of entries in a session's name table. A new session
// starts when a table is half full. Names are at most 128 bytes each.
const maxNames = 4096

// milliseconds returns d in whole milliseconds, limited to what a message carries.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), 1<<31))
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func encodeTicket(w *interner.Writer, t *scheduler.Ticket, waited time.Duration) *messenger.Ticket {
	encoded := &messenger.Ticket{
		Seq: t.Seq, Workspace: w.Intern(t.Workspace), Model: w.Intern(t.Model), Hint: t.Hint,
		Prefix: t.Prefix, Prompt: t.Prompt, WaitedMs: milliseconds(waited), Alone: t.Alone,
	}
	for _, endpoint := range t.Avoid {
		encoded.Avoid = append(encoded.Avoid, w.Intern(endpoint))
	}
	return encoded
}

func decodeTicket(r *interner.Reader, t *messenger.Ticket) scheduler.Ticket {
	decoded := scheduler.Ticket{
		Seq: t.GetSeq(), Workspace: r.Get(t.GetWorkspace()), Model: r.Get(t.GetModel()), Hint: t.GetHint(),
		Prefix: t.GetPrefix(), Prompt: t.GetPrompt(), Waited: duration(t.GetWaitedMs()), Alone: t.GetAlone(),
	}
	for _, endpoint := range t.GetAvoid() {
		decoded.Avoid = append(decoded.Avoid, r.Get(endpoint))
	}
	return decoded
}

func encodeFinish(f scheduler.Finish) *messenger.Finish {
	return &messenger.Finish{
		Seq: f.Seq, Charged: f.Charged, Ending: messenger.Ending(f.Ending),
		FirstMs: milliseconds(f.First), TookMs: milliseconds(f.Took), BackoffMs: milliseconds(f.Backoff), Leaving: f.Leaving,
	}
}

func decodeFinish(f *messenger.Finish) scheduler.Finish {
	return scheduler.Finish{
		Seq: f.GetSeq(), Charged: f.GetCharged(), Ending: scheduler.Ending(f.GetEnding()),
		First: duration(f.GetFirstMs()), Took: duration(f.GetTookMs()), Backoff: duration(f.GetBackoffMs()), Leaving: f.GetLeaving(),
	}
}

// decodeReport converts a router's batch to the pool's event.
func decodeReport(r *interner.Reader, router scheduler.RouterID, request *messenger.ExchangeRequest) scheduler.Report {
	decoded := scheduler.Report{Router: router, Full: request.GetFull()}
	for _, t := range request.GetTickets() {
		decoded.Tickets = append(decoded.Tickets, decodeTicket(r, t))
	}
	for _, running := range request.GetRunning() {
		decoded.Running = append(decoded.Running, scheduler.Running{
			Seq: running.GetSeq(), Workspace: r.Get(running.GetWorkspace()), Model: r.Get(running.GetModel()),
			Endpoint: r.Get(running.GetEndpoint()), Charged: running.GetCharged(),
		})
	}
	for _, p := range request.GetProgress() {
		decoded.Progress = append(decoded.Progress, scheduler.Progress{Seq: p.GetSeq(), Charged: p.GetCharged()})
	}
	for _, f := range request.GetFinished() {
		decoded.Finished = append(decoded.Finished, decodeFinish(f))
	}
	return decoded
}
