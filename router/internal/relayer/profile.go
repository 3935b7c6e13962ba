package relayer

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"shallotkeel.example/lib/isolator"
	"shallotkeel.example/lib/localizer"
)

// chatProfile returns what a chat has in common with others: its service and model, each text of its
// prompt but the last, which is its own, and, for its own repeats, everything.
func chatProfile(q *request) localizer.Profile {
	profile := callProfile(q)
	profile.Service = featureOf(q.service.Name, q.chat.Model)
	shared := q.chat.Parts[:max(len(q.chat.Parts)-1, 0)]
	shared = shared[:min(len(shared), localizer.MaxFeatures-1)]
	profile.Shared = make([]localizer.Feature, len(shared))
	for n, part := range shared {
		profile.Shared[n] = featureOf(q.service.Name, q.chat.Model, string(part[:]))
	}
	return profile
}

// callProfile returns what a call of a plain service has in common with others.
func callProfile(q *request) localizer.Profile {
	return localizer.Profile{Service: featureOf(q.service.Name), Whole: localizer.Feature(q.fingerprint)}
}

// featureOf returns the digest of texts. It is derived from a collision-resistant hash, because with a
// collision a caller could cause the requests of others to be refused.
func featureOf(texts ...string) localizer.Feature {
	digest := sha256.New()
	var size [8]byte
	for _, text := range texts {
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = digest.Write(size[:])
		_, _ = digest.Write([]byte(text))
	}
	return localizer.Feature(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// noteEnding records what the end of an attempt says of the request's features.
func (r *Relayer) noteEnding(q *request, now time.Time, ending isolator.Outcome) {
	began := q.attempt.started.Add(q.attempt.timeToFirst)
	lifetime := lifetimeOf(q.slot)
	switch {
	case ending == isolator.Completed && q.attempt.unframed:
		r.options.Crashes.EndedUnframed(now, began, lifetime, q.profile)
	case ending == isolator.Completed:
		r.options.Crashes.Answered(began, q.profile)
	case ending == isolator.Crashed:
		answeredFor := time.Duration(0)
		if q.attempt.timeToFirst > 0 {
			answeredFor = now.Sub(began)
		}
		if r.options.Crashes.Broke(now, lifetime, q.profile, answeredFor) {
			go r.prober.Probe(context.Background(), q.slot.Endpoint(), q.slot.Address(), lifetime)
		}
	}
}

// lifetimeOf returns the lifetime of the endpoint of a slot.
func lifetimeOf(slot Slot) localizer.Lifetime {
	incarnation := binary.BigEndian.AppendUint64(nil, slot.Incarnation())
	return localizer.Lifetime(featureOf(slot.Endpoint(), string(incarnation)))
}
