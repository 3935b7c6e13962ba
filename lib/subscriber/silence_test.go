package subscriber

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// changingGroup is a group of keepers of which some answer, and name some, at a time.
type changingGroup struct {
	mutex     sync.Mutex
	answering map[byte]bool
	named     []string
	polls     map[byte]int
}

// set lets the keepers answer that have the given numbers, and name themselves.
func (g *changingGroup) set(numbers ...byte) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.answering, g.polls = make(map[byte]bool), make(map[byte]int)
	for _, number := range numbers {
		g.answering[number] = true
	}
	if len(numbers) == 0 {
		return
	}
	g.named = nil
	for _, number := range numbers {
		g.named = append(g.named, address(number).String())
	}
}

// dial returns a client of a keeper.
func (g *changingGroup) dial(a netip.AddrPort) messenger.Planning {
	number := a.Addr().As4()[3]
	return &keeper{answer: func(ctx context.Context, _ int) (*messenger.FollowResponse, error) {
		g.mutex.Lock()
		answering, named := g.answering[number], g.named
		g.polls[number]++
		g.mutex.Unlock()
		if !answering {
			return nil, errDown
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(100 * time.Millisecond):
			return &messenger.FollowResponse{Keepers: named, Group: uint64(len(named))}, nil
		}
	}}
}

// polled returns the number of polls of a keeper since the last change.
func (g *changingGroup) polled(number byte) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.polls[number]
}

// Guards against processes that forget all keepers while none answers, and never poll one again.
func TestSilenceOfAllKeepersMakesNoneUnknown(t *testing.T) {
	type phase struct {
		answering []byte
		lasts     time.Duration
	}
	tests := map[string]struct {
		seeds  []byte
		phases []phase
		polled map[byte]bool // keepers, and whether they are polled at the end
	}{
		"cut off for 40 s":           {[]byte{1, 2, 3}, []phase{{[]byte{1, 2, 3}, 5 * time.Second}, {nil, 40 * time.Second}, {[]byte{1, 2, 3}, 3 * time.Second}}, map[byte]bool{1: true, 2: true, 3: true}},
		"cut off for half an hour":   {[]byte{1, 2, 3}, []phase{{[]byte{1, 2, 3}, 5 * time.Second}, {nil, 30 * time.Minute}, {[]byte{1, 2, 3}, 3 * time.Second}}, map[byte]bool{1: true, 2: true, 3: true}},
		"started before the keepers": {[]byte{1, 2, 3}, []phase{{nil, 35 * time.Second}, {[]byte{1, 2, 3}, 3 * time.Second}}, map[byte]bool{1: true, 2: true, 3: true}},
		"known by a seed only":       {[]byte{1}, []phase{{[]byte{1, 2, 3}, time.Minute}, {nil, time.Minute}, {[]byte{2, 3}, 3 * time.Second}}, map[byte]bool{2: true, 3: true}},
		"one returns before the others": {[]byte{1, 2, 3}, []phase{
			{[]byte{1, 2, 3}, 5 * time.Second}, {nil, 40 * time.Second}, {[]byte{1}, 20 * time.Second}, {nil, 40 * time.Second}, {[]byte{2, 3}, 3 * time.Second},
		}, map[byte]bool{2: true, 3: true}},
		"a seed that had left, when the others are gone": {[]byte{4}, []phase{
			{[]byte{1, 2, 4}, 5 * time.Second}, {[]byte{1, 2}, time.Minute}, {nil, 40 * time.Second}, {[]byte{4, 5}, 3 * time.Second},
		}, map[byte]bool{4: true, 5: true}},
		"a seed that has left the group, after a silence": {[]byte{1, 2, 3}, []phase{
			{[]byte{1, 2, 3}, 5 * time.Second}, {nil, 10 * time.Minute}, {[]byte{1, 2}, time.Minute}, {[]byte{1, 2}, 10 * time.Second},
		}, map[byte]bool{1: true, 2: true, 3: false}},
		"a keeper that has left the group": {[]byte{1, 2, 3}, []phase{
			{[]byte{1, 2, 3}, 5 * time.Second}, {[]byte{1, 2}, time.Minute}, {[]byte{1, 2}, 10 * time.Second},
		}, map[byte]bool{1: true, 2: true, 3: false}},
	}
	for name, test := range tests {
		for kind, primary := range map[string]*Primary{"keeper": nil, "router": {Name: "r"}} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := &changingGroup{}
					s := New(Options{Host: newHost(), Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Primary: primary, Dial: g.dial})
					ctx, cancel := context.WithCancel(t.Context())
					var seeds []netip.AddrPort
					for _, number := range test.seeds {
						seeds = append(seeds, address(number))
					}
					g.set(test.phases[0].answering...)
					go s.Run(ctx, seeds...)
					for _, phase := range test.phases {
						g.set(phase.answering...)
						time.Sleep(phase.lasts)
					}
					for number, polled := range test.polled {
						require.Equal(t, polled, g.polled(number) > 0, "keeper %d", number)
					}
					require.Equal(t, len(test.phases[len(test.phases)-1].answering), s.AnsweringCount())
					cancel()
				})
			})
		}
	}
}
