package server

import (
	"context"
	"net/http"
)

// maxConcurrentPolls bounds the polls that are processed at the same time.
const maxConcurrentPolls = 4

// pollSlots is a semaphore that bounds the polls processed at the same time. One notification
// wakes hundreds of polls. If all of them ran at once, the keeper's other goroutines, above all
// those of the replication protocol, would have to wait for processor time until all polls are
// done; polls that wait for a slot delay no other goroutine. Its zero value imposes no bound.
type pollSlots chan struct{}

// pollSlot is a slot held by one poll. It must only be used by the poll's goroutine. Its zero
// value is a slot that need not be released.
type pollSlot struct {
	slots pollSlots
}

// acquire waits for a free slot. It returns false if the context ends first.
func (p pollSlots) acquire(ctx context.Context) (*pollSlot, bool) {
	if p == nil {
		return &pollSlot{}, true
	}
	select {
	case <-ctx.Done():
		return nil, false
	case p <- struct{}{}:
		return &pollSlot{slots: p}, true
	}
}

// release frees the slot. Further calls have no effect.
func (p *pollSlot) release() {
	if p.slots != nil {
		<-p.slots
		p.slots = nil
	}
}

// pollSlotKey is the context key of a *pollSlot.
type pollSlotKey struct{}

// withPollSlots wraps a handler so that releaseOnWrite defers the release of a slot until the
// answer is encoded. The slot is released before the answer is written, because writing may
// block on a caller that reads slowly or not at all.
func withPollSlots(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &pollSlot{}
		defer held.release()
		r = r.WithContext(context.WithValue(r.Context(), pollSlotKey{}, held))
		next.ServeHTTP(&slotReleasingWriter{ResponseWriter: w, slot: held}, r)
	})
}

// releaseOnWrite transfers a slot to the response writer, which releases it just before it writes
// the answer. Outside of withPollSlots it releases the slot at once.
func releaseOnWrite(ctx context.Context, slot *pollSlot) {
	if held, found := ctx.Value(pollSlotKey{}).(*pollSlot); found {
		*held = *slot
		return
	}
	slot.release()
}

// slotReleasingWriter releases a slot before it writes the first part of an answer.
type slotReleasingWriter struct {
	http.ResponseWriter
	slot *pollSlot
}

func (w *slotReleasingWriter) WriteHeader(status int) {
	w.slot.release()
	w.ResponseWriter.WriteHeader(status)
}

func (w *slotReleasingWriter) Write(text []byte) (int, error) {
	w.slot.release()
	return w.ResponseWriter.Write(text)
}
