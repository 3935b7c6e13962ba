package batcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/standin/internal/batcher"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runUntilIdle steps the engine until it is idle and returns for each handle the
// times of its tokens, counted from the time from.
func runUntilIdle(b *batcher.Batcher, from time.Time) map[uint64][]time.Duration {
	tokenTimes := make(map[uint64][]time.Duration)
	for {
		stepEnd, busy := b.NextStep()
		if !busy {
			return tokenTimes
		}
		for _, progress := range b.Advance(stepEnd) {
			if !progress.Started {
				tokenTimes[progress.Handle] = append(tokenTimes[progress.Handle], stepEnd.Sub(from))
			}
		}
	}
}

func TestTiming(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		settings batcher.Settings
		requests []batcher.Request
		want     map[uint64][]time.Duration
	}{
		"a step gives one token": {
			settings: batcher.Settings{Slots: 1, TokenTime: 10 * ms},
			requests: []batcher.Request{{Handle: 1, Length: 3}},
			want:     map[uint64][]time.Duration{1: {10 * ms, 20 * ms, 30 * ms}},
		},
		"further requests slow the steps": {
			settings: batcher.Settings{Slots: 2, TokenTime: 10 * ms, Slowdown: 0.5},
			requests: []batcher.Request{{Handle: 1, Length: 2}, {Handle: 2, Length: 1}},
			want:     map[uint64][]time.Duration{1: {10 * ms, 20 * ms}, 2: {10 * ms}},
		},
		"requests run in order of arrival": {
			settings: batcher.Settings{Slots: 1, TokenTime: 10 * ms},
			requests: []batcher.Request{{Handle: 1, Length: 1}, {Handle: 2, Length: 1}, {Handle: 3, Length: 1}},
			want:     map[uint64][]time.Duration{1: {10 * ms}, 2: {20 * ms}, 3: {30 * ms}},
		},
		"a resumed answer starts at its first missing token": {
			settings: batcher.Settings{Slots: 1, TokenTime: 10 * ms},
			requests: []batcher.Request{{Handle: 1, Length: 5, From: 3}},
			want:     map[uint64][]time.Duration{1: {10 * ms, 20 * ms}},
		},
		"prefill delays the first token, an imported cache does not": {
			settings: batcher.Settings{Slots: 2, TokenTime: 10 * ms, Prefill: ms},
			requests: []batcher.Request{{Handle: 1, Length: 1, Prompt: 25}, {Handle: 2, Length: 1, Prompt: 25, Warm: true}},
			want:     map[uint64][]time.Duration{1: {30 * ms}, 2: {10 * ms}},
		},
		"a cached prefix shortens prefill": {
			settings: batcher.Settings{Slots: 1, TokenTime: 10 * ms, Prefill: ms, CacheEntries: 1},
			requests: []batcher.Request{{Handle: 1, Length: 1, Prompt: 64, Prefix: 9}, {Handle: 2, Length: 1, Prompt: 64, Prefix: 9}},
			want:     map[uint64][]time.Duration{1: {70 * ms}, 2: {80 * ms}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &batcher.Batcher{Settings: test.settings}
			for _, request := range test.requests {
				b.Submit(start, request)
			}
			require.Equal(t, test.want, runUntilIdle(b, start))
		})
	}
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	b := &batcher.Batcher{Settings: batcher.Settings{Slots: 9, TokenTime: time.Millisecond, CacheEntries: 2}}
	for i, prefix := range []uint64{1, 2, 1, 3} {
		b.Submit(start, batcher.Request{Handle: uint64(i), Length: 1, Prefix: prefix})
	}
	require.Equal(t, []batcher.CacheEvent{{Prefix: 1}, {Prefix: 2}, {Prefix: 3}, {Prefix: 2, Evicted: true}}, b.CacheEvents())
	require.Empty(t, b.CacheEvents())
}

// For any sequence of submissions and cancellations, the tokens of a request are
// given in order without gap or repeat, no more requests run than there are slots,
// and no slot is free while a request waits.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &batcher.Batcher{Settings: batcher.Settings{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), TokenTime: time.Millisecond, CacheEntries: 2,
			Slowdown: 0.1, Prefill: time.Millisecond,
		}}
		tokens, cancelled, now, handle := map[uint64]int{}, map[uint64]bool{}, start, uint64(0)
		check := func(changes []batcher.Progress) {
			for _, progress := range changes {
				require.False(t, cancelled[progress.Handle])
				if progress.Started {
					continue
				}
				require.Equal(t, tokens[progress.Handle]+1, progress.Tokens)
				tokens[progress.Handle] = progress.Tokens
			}
			require.LessOrEqual(t, b.Running(), b.Slots)
			require.True(t, b.Waiting() == 0 || b.Running() == b.Slots, "a slot is free while a request waits")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				handle++
				length := rapid.IntRange(1, 5).Draw(t, "length")
				from := rapid.IntRange(0, length-1).Draw(t, "from")
				tokens[handle] = from
				check(b.Submit(now, batcher.Request{Handle: handle, Length: length, From: from, Prompt: 2}))
			},
			"cancel": func(t *rapid.T) {
				victim := rapid.Uint64Range(0, handle).Draw(t, "victim")
				cancelled[victim] = true
				check(b.Cancel(now, victim))
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "micros")) * time.Microsecond)
				check(b.Advance(now))
			},
		})
	})
}
