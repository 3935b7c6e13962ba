package updatereader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// Guards against a router that takes its configuration for the newest one while it cannot know a newer one.
func TestConfigurationIsCurrentInContactOnly(t *testing.T) {
	const poll = 500 * time.Millisecond
	poller := func(b *fixture, keeper byte, isolated bool, plan uint64) func() {
		return func() {
			b.reader.Report(at(keeper), true)
			b.clock.Advance(poll)
			b.update(keeper, &messenger.FollowResponse{Plan: plan, Isolated: isolated, Brief: true})
		}
	}
	repeat := func(poll func(), span time.Duration) {
		for ; span > 0; span -= 500 * time.Millisecond {
			poll()
		}
	}
	tests := map[string]struct {
		play func(b *fixture)
		want bool
	}{
		"it has just started": {play: func(b *fixture) { repeat(poller(b, 1, false, 1), time.Second) }},
		"in contact":          {want: true, play: func(b *fixture) { repeat(poller(b, 1, false, 1), 4*time.Second) }},
		"one keeper of two is cut off": {want: true, play: func(b *fixture) {
			repeat(func() { poller(b, 1, false, 1)(); poller(b, 2, true, 1)() }, 4*time.Second)
		}},
		"no keeper has a quorum": {play: func(b *fixture) { repeat(poller(b, 1, true, 1), 10*time.Second) }},
		"cut off": {play: func(b *fixture) {
			repeat(poller(b, 1, false, 1), 4*time.Second)
			b.clock.Advance(contactAge)
		}},
		"back from a cut": {play: func(b *fixture) {
			repeat(poller(b, 1, false, 1), 4*time.Second)
			b.clock.Advance(40 * time.Second)
			repeat(poller(b, 1, false, 1), time.Second)
		}},
		"back for long": {want: true, play: func(b *fixture) {
			repeat(poller(b, 1, false, 1), 4*time.Second)
			b.clock.Advance(40 * time.Second)
			repeat(poller(b, 1, false, 1), 4*time.Second)
		}},
		"an answer from before a freeze": {play: func(b *fixture) {
			repeat(poller(b, 1, false, 1), 4*time.Second)
			b.reader.Report(at(1), true)
			b.clock.Advance(40 * time.Second)
			b.update(1, &messenger.FollowResponse{Plan: 1, Brief: true})
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			b.keepers[at(1)].plan = plan("1")
			b.update(1, &messenger.FollowResponse{Plan: 1})
			test.play(b)
			require.Equal(t, test.want, b.reader.Current())
		})
	}
}

// Guards against a router that takes its configuration for the newest one although it was told of a newer one.
func TestConfigurationIsNotCurrentOnceANewerOneIsNamed(t *testing.T) {
	b := newFixture(t)
	b.keepers[at(1)].plan = plan("1")
	b.update(1, &messenger.FollowResponse{Plan: 1})
	for range 20 {
		b.reader.Report(at(1), false)
		b.clock.Advance(300 * time.Millisecond)
		b.update(1, &messenger.FollowResponse{Plan: 1})
	}
	require.True(t, b.reader.Current())
	b.reader.Report(at(2), false)
	b.update(2, &messenger.FollowResponse{Plan: 2}) // it cannot be fetched there yet
	require.False(t, b.reader.Current())
	b.keepers[at(1)].plan = plan("2")
	b.update(1, &messenger.FollowResponse{Plan: 2})
	require.True(t, b.reader.Current())
}
