package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStretchFollowsTheBacklog(t *testing.T) {
	tests := map[string]struct {
		backlog time.Duration
		want    float64
	}{
		"nothing to do":     {0, stretchMost},
		"next to nothing":   {IdleBacklog, stretchMost},
		"between":           {(IdleBacklog + fullBacklog) / 2, (stretchMost + stretchLeast) / 2},
		"all they can bear": {fullBacklog, stretchLeast},
		"far more":          {time.Minute, stretchLeast},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.want, stretch(test.backlog), 1e-9)
		})
	}
}

// Symptom: requests are refused while engines are idle, and seconds later all wait,
// by turns. Sequence: two workspaces ask for three times what the engines yield, which
// is more than what is stated; routers hear of loads a tenth of a second late. Cause:
// shares followed the waits of answers, which show a queue when it has grown.
func TestEnginesStayBusyWithoutAQueue(t *testing.T) {
	const (
		stated = 100_000.0 // tokens a second
		yield  = 170_000.0
		tick   = 5 * time.Millisecond
		length = 20 * time.Second
	)
	f := newFleet(4, stated*stretchLeast)
	unread, read, longest := 0.0, 0.0, time.Duration(0)
	var late []float64 // what was unread in the last tenth of a second
	for at := time.Duration(0); at < length; at += tick {
		before := f.served["a"] + f.served["b"]
		router := int(at/tick) % 4
		f.ask(router, "a", 1250) // 250,000 a second
		f.ask(3-router, "b", 1250)
		unread += f.served["a"] + f.served["b"] - before
		done := min(unread, yield*tick.Seconds())
		unread -= done
		late = append(late, unread)
		f.now = f.now.Add(tick)
		if len(late) > 20 {
			f.backlog = time.Duration(late[len(late)-20] / yield * float64(time.Second))
		}
		if at%(100*time.Millisecond) == 0 {
			f.tell()
		}
		if at > 2*time.Second {
			read += done
			longest = max(longest, time.Duration(unread/yield*float64(time.Second)))
		}
	}
	busy := read / (yield * (length - 2*time.Second).Seconds())
	require.Greater(t, busy, 0.95)
	require.Less(t, longest, 250*time.Millisecond)
	require.InDelta(t, f.served["a"], f.served["b"], 0.05*f.served["a"])
}
