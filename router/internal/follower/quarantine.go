package follower

import (
	"context"
	"time"

	"shallotkeel.example/lib/messenger"
)

const publishTimeout = 10 * time.Second

// Quarantined tells whether a fingerprint is in quarantine, here or fleet-wide.
func (f *Follower) Quarantined(digest uint64) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	until := f.state.quarantined[digest]
	if own := f.own[digest]; own.After(until) {
		until = own
	}
	left := until.Sub(f.options.Clock.Now())
	return left, left > 0
}

// Publish puts a fingerprint into quarantine, here at once and everywhere as
// soon as the keepers have it.
func (f *Follower) Publish(digest uint64) {
	f.mutex.Lock()
	now := f.options.Clock.Now()
	for known, until := range f.own {
		if len(f.own) >= maxQuarantined || !until.After(now) {
			delete(f.own, known)
		}
	}
	f.own[digest] = now.Add(quarantineFor)
	f.mutex.Unlock()
	go f.publish(digest)
}

// publish tries until the keepers have it. Without them it still holds here.
func (f *Follower) publish(digest uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	request := &messenger.QuarantineRequest{Fingerprints: []*messenger.Fingerprint{
		{Digest: digest, LeftMs: uint32(quarantineFor.Milliseconds())},
	}}
	for ctx.Err() == nil {
		if _, err := f.options.Publisher.Quarantine(ctx, request); err == nil {
			return
		}
		f.pause(ctx)
	}
	f.options.Log.Warn().Uint64("digest", digest).Msg("quarantine did not reach the keepers; it holds at this router only")
}
