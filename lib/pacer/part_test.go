package pacer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPartIsExceeded(t *testing.T) {
	tests := map[string]struct {
		share    float64
		each     time.Duration // spent every 10 ms
		exceeded bool
	}{
		"nothing bounds it":   {share: 0, each: 10 * time.Millisecond},
		"less than its part":  {share: 0.5, each: 4 * time.Millisecond},
		"all of its part":     {share: 0.5, each: 5 * time.Millisecond},
		"more than its part":  {share: 0.5, each: 6 * time.Millisecond, exceeded: true},
		"all of the time":     {share: 0.5, each: 10 * time.Millisecond, exceeded: true},
		"a smaller part is":   {share: 0.1, each: 2 * time.Millisecond, exceeded: true},
		"it is not exceeded":  {share: 0.1, each: 500 * time.Microsecond},
		"more than all there": {share: 0.9, each: 20 * time.Millisecond, exceeded: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := Part{Share: test.share}
			now := time.Unix(1000, 0)
			for range 100 {
				now = now.Add(10 * time.Millisecond)
				p.Spend(now, test.each)
			}
			require.Equal(t, test.exceeded, p.takeExceeded())
			require.False(t, p.takeExceeded(), "it is told once")
		})
	}
}

func TestWhatWasSpentIsOverSoon(t *testing.T) {
	p := Part{Share: 0.5}
	now := time.Unix(1000, 0)
	p.Spend(now, time.Hour)
	require.True(t, p.takeExceeded())
	p.Spend(now.Add(interval-step), 0)
	require.True(t, p.takeExceeded())
	p.Spend(now.Add(interval), 0)
	require.False(t, p.takeExceeded())
}

// Guards against a flooded process that starts next to nothing: what makes it late is refusing.
func TestLateProcessYieldsWhatTakesTooMuch(t *testing.T) {
	const least, begin = 10.0, 100.0
	tests := map[string]struct {
		late            time.Duration
		refuses         bool
		starts, entries float64
	}{
		"on time":                     {starts: begin, entries: begin},
		"late by what it serves":      {late: TooLate, starts: least, entries: begin},
		"strained by what it refuses": {late: strained, refuses: true, starts: begin, entries: begin},
		"late by what it refuses":     {late: TooLate, refuses: true, starts: begin, entries: least},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := Pacer{Starts: &Rate{Begin: begin, Least: least}, Entries: &Rate{Begin: begin, Least: least}}
			p.Refusing.Share = 0.5
			now := time.Unix(1000, 0)
			if test.refuses {
				p.Refusing.Spend(now, interval)
			}
			for p.Entries.Value() > least && now.Before(time.Unix(1001, 0)) {
				now = now.Add(step)
				if test.refuses {
					p.Refusing.Spend(now, step)
				}
				p.Look(test.late)
			}
			require.InDelta(t, test.starts, p.Starts.Value(), 1e-9)
			require.InDelta(t, test.entries, p.Entries.Value(), 1e-9)
		})
	}
}
