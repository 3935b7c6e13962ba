package server

import (
	"context"
	"net/http"
)

// pollsAtOnce bounds the polls that are worked on at a time.
const pollsAtOnce = 4

// turns lets few polls be worked on at a time. A wake-up concerns hundreds of them. All running
// at once, they keep this keeper's other goroutines, the agreement's first of all, waiting
// behind them for their whole time; waiting for a turn, they keep nobody. Its zero value lets
// all be worked on.
type turns chan struct{}

// turn is one poll's, and belongs to its goroutine. Its zero value is of a poll that needs none.
type turn struct {
	of turns
}

// take waits for a turn. It returns false if the context ends before.
func (t turns) take(ctx context.Context) (*turn, bool) {
	if t == nil {
		return &turn{}, true
	}
	select {
	case <-ctx.Done():
		return nil, false
	case t <- struct{}{}:
		return &turn{of: t}, true
	}
}

// end ends a turn. Later calls do nothing.
func (t *turn) end() {
	if t.of != nil {
		<-t.of
		t.of = nil
	}
}

type turnKey struct{}

// withTurns lets handlers leave their turn to the moment at which their answer is encoded.
// Writing it may wait for a caller that reads slowly, or not at all.
func withTurns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := &turn{}
		defer held.end()
		r = r.WithContext(context.WithValue(r.Context(), turnKey{}, held))
		next.ServeHTTP(&turnWriter{ResponseWriter: w, turn: held}, r)
	})
}

// leaveTurn leaves a turn to the moment at which the answer is written, or ends it.
func leaveTurn(ctx context.Context, t *turn) {
	if held, found := ctx.Value(turnKey{}).(*turn); found {
		*held = *t
		return
	}
	t.end()
}

type turnWriter struct {
	http.ResponseWriter
	turn *turn
}

func (w *turnWriter) WriteHeader(status int) {
	w.turn.end()
	w.ResponseWriter.WriteHeader(status)
}

func (w *turnWriter) Write(text []byte) (int, error) {
	w.turn.end()
	return w.ResponseWriter.Write(text)
}
