package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// Guards against an answer that is lost because its endpoint is silent for longer than
// EndpointStallTimeout and then goes on, although no other endpoint may take its place.
func TestSilenceEndsNoAnswerWithoutAnotherAttempt(t *testing.T) {
	const stall = 10 * time.Second
	for name, test := range map[string]struct {
		attempts int
		headers  []string
		after    int // tokens before the silence
	}{
		"not repeatable, before the first token": {headers: []string{"X-Not-Repeatable", "yes", "Idempotency-Key", "k"}},
		"not repeatable, in the stream":          {headers: []string{"X-Not-Repeatable", "yes", "Idempotency-Key", "k"}, after: 3},
		"one attempt, before the first token":    {attempts: 1},
		"one attempt, in the stream":             {attempts: 1, after: 3},
	} {
		for _, streamed := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", streamed", false: ", whole"}[streamed], func(t *testing.T) {
				silent, goOn := make(chan struct{}, 1), make(chan struct{})
				limits := relayer.Limits{EndpointStallTimeout: stall, RequestTimeout: time.Minute, Attempts: test.attempts}
				tb := newFakeClockTestbed(t, limits, func(w http.ResponseWriter, r *http.Request, _ int) {
					stream(w, r, test.after)
					silent <- struct{}{}
					select {
					case <-goOn:
					case <-r.Context().Done():
						return
					}
					for i := test.after; i < answerTokens; i++ {
						event(w, r.Header.Get("X-Request-Id"), i)
					}
					finish(w, r.Header.Get("X-Request-Id"))
				}, healthy)
				got := make(chan answer, 1)
				go func() { got <- tb.chat(streamed, test.headers...) }()
				receive(t, silent)
				for range 2 {
					tb.clock.Advance(stall)
				}
				close(goOn)
				require.Equal(t, fullAnswer, receive(t, got).text(t))
				require.Equal(t, []string{"1 done 6"}, tb.endings(1))
			})
		}
	}
}
