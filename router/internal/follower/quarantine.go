package follower

import (
	"context"
	"time"

	"shallotkeel.example/lib/messenger"
)

// publishTimeout bounds the attempts to publish a fingerprint.
const publishTimeout = 10 * time.Second

// Quarantined reports whether a fingerprint is in quarantine, at this router or in the
// whole fleet, and the remaining time.
func (f *Follower) Quarantined(digest uint64) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	until := f.state.quarantined[digest]
	if local := f.localQuarantine[digest]; local.After(until) {
		until = local
	}
	remaining := until.Sub(f.options.Clock.Now())
	return remaining, remaining > 0
}

// Publish puts a fingerprint into quarantine: at this router immediately, and in the
// whole fleet once the keepers have accepted it.
func (f *Follower) Publish(digest uint64) {
	f.mutex.Lock()
	now := f.options.Clock.Now()
	for known, until := range f.localQuarantine {
		if len(f.localQuarantine) >= maxLocalQuarantined || !until.After(now) {
			delete(f.localQuarantine, known)
		}
	}
	f.localQuarantine[digest] = now.Add(quarantineDuration)
	f.mutex.Unlock()
	go f.publish(digest)
}

// publish retries until the keepers accept the fingerprint or publishTimeout is over. If
// they do not accept it, the quarantine holds at this router only.
func (f *Follower) publish(digest uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	request := &messenger.QuarantineRequest{Fingerprints: []*messenger.Fingerprint{
		{Digest: digest, LeftMs: uint32(quarantineDuration.Milliseconds())},
	}}
	for ctx.Err() == nil {
		if _, err := f.options.Publisher.Quarantine(ctx, request); err == nil {
			return
		}
		f.pause(ctx)
	}
	f.options.Log.Warn().Uint64("digest", digest).Msg("no keeper accepted the quarantined fingerprint before the timeout; the quarantine holds at this router only")
}
