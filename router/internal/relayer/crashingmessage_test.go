package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/router/internal/relayer"
)

// chatAfter returns the body of a chat whose first message is shared with others.
func chatAfter(shared, own string) string {
	return fmt.Sprintf(`{"model":"draft-7b","messages":[{"role":"system","content":%q},{"role":"user","content":%q}],"stream":true}`, shared, own)
}

// addCrashing adds engines that crash when they run a chat with the text "bad" in its first message.
func (tb *testbed) addCrashing(count int, crashes *atomic.Int32) {
	for range count {
		id := strconv.Itoa(len(tb.enroller.addresses) + 1)
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if !strings.Contains(string(body), `"bad"`) {
				r.Body = io.NopCloser(strings.NewReader(string(body)))
				healthy(w, r, 1)
				return
			}
			crashes.Add(1)
			tb.enroller.lock.Lock()
			tb.enroller.down[id] = true
			tb.enroller.lock.Unlock()
			server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		tb.Cleanup(server.Close)
		tb.enroller.addresses = append(tb.enroller.addresses, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
}

// Guards against chats that share a message and crash engines because each is judged as new.
func TestMessageThatCrashesEnginesIsQuarantined(t *testing.T) {
	const chats, limit = 8, 8 // five crashes, and three more sends
	tb := newTestbed(t, relayer.Limits{})
	tb.enroller.down = make(map[string]bool)
	var crashes atomic.Int32
	tb.addCrashing(2*chats+1, &crashes)
	var judge localizer.Judge
	now := time.Now()
	for i := range chats {
		tb.call(http.MethodPost, chatPath, chatAfter("bad", fmt.Sprint("question ", i)))
		require.Equal(t, fullAnswer, tb.call(http.MethodPost, chatPath, chatAfter("good", fmt.Sprint("question ", i))).text(t))
		require.Eventually(t, func() bool {
			broken, crashed := tb.crashes.Lifetimes()
			return broken == crashed
		}, waitTimeout, time.Millisecond)
		now = now.Add(2 * time.Second)
		report := tb.crashes.Report(time.Now(), time.Time{})
		for _, crash := range report.Crashes {
			judge.AddCrash(now, crash)
		}
		for _, answer := range report.Answers {
			judge.AddAnswer(now, answer)
		}
		judge.Verdicts(now)
		tb.crashes.Ask(time.Now(), judge.Suspects())
		tb.crashes.SetQuarantines(time.Now(), judge.Quarantines(now))
	}
	require.LessOrEqual(t, int(crashes.Load()), limit)
	refused := tb.call(http.MethodPost, chatPath, chatAfter("bad", "another question"))
	require.Equal(t, http.StatusUnprocessableEntity, refused.status)
	require.Equal(t, "quarantined", refused.failure.Code)
	require.Equal(t, "not-run", refused.headers.Get("X-Outcome"))
	require.NotEmpty(t, refused.headers.Get("Retry-After"))
}
