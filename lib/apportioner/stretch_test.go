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
		"no backlog":         {0, maxStretch},
		"upper end of idle":  {IdleBacklog, maxStretch},
		"between":            {(IdleBacklog + fullBacklog) / 2, (maxStretch + minStretch) / 2},
		"fully loaded":       {fullBacklog, minStretch},
		"far more than that": {time.Minute, minStretch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.want, stretch(test.backlog), 1e-9)
		})
	}
}

// Guards against shares that oscillate: requests are refused while engines are idle, and seconds
// later all requests wait. Two workspaces demand three times what the engines yield, which is more
// than the stated capacity, and routers learn loads a tenth of a second late. Shares that follow
// the latency of answers would react only after a queue has grown.
func TestEnginesStayBusyWithoutAQueue(t *testing.T) {
	const (
		stated = 100_000.0 // tokens per second
		yield  = 170_000.0
		tick   = 5 * time.Millisecond
		length = 20 * time.Second
	)
	f := newFleet(4, stated*minStretch)
	unread, read, longest := 0.0, 0.0, time.Duration(0)
	var late []float64 // unread tokens in the last tenth of a second
	for at := time.Duration(0); at < length; at += tick {
		before := f.served["a"] + f.served["b"]
		router := int(at/tick) % 4
		f.request(router, "a", 1250) // 250,000 tokens per second
		f.request(3-router, "b", 1250)
		unread += f.served["a"] + f.served["b"] - before
		done := min(unread, yield*tick.Seconds())
		unread -= done
		late = append(late, unread)
		f.now = f.now.Add(tick)
		if len(late) > 20 {
			f.backlog = time.Duration(late[len(late)-20] / yield * float64(time.Second))
		}
		if at%(100*time.Millisecond) == 0 {
			f.sendSums()
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
