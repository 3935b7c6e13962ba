package proxier

import (
	"context"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/localizer"
)

// maxLoggedParts bounds the prompt parts in one log line.
const maxLoggedParts = 8

// profileOf returns what a request has in common with others: its service and model, each part of its
// prompt but the last, and, for its own repeats, everything.
func profileOf(q *request) localizer.Profile {
	profile := localizer.Profile{Service: featureOf(q.service, q.in.Work.Model), Whole: localizer.Feature(q.digest)}
	shared := q.in.Work.SharedParts()
	shared = shared[:min(len(shared), localizer.MaxFeatures-1)]
	profile.Shared = make([]localizer.Feature, len(shared))
	for n, part := range shared {
		profile.Shared[n] = featureOf(q.service, q.in.Work.Model, part.ID)
	}
	return profile
}

// featureOf returns the digest of a service, a model and numbers.
func featureOf(service, model string, numbers ...uint64) localizer.Feature {
	var digest xxhash.Digest
	digest.Reset()
	writeText(&digest, service, model)
	writeCount(&digest, numbers...)
	return localizer.Feature(digest.Sum64())
}

// fingerprint returns a digest that identifies a request across retries under other ids.
func fingerprint(q *request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	writeText(&digest, q.http.Host, q.target, q.in.Key)
	digest.Write(q.body) //nolint:errcheck // it cannot fail
	return digest.Sum64()
}

// mayRun reports whether a request has no feature that crashes endpoints. It answers one that has.
func (p *Proxier) mayRun(q *request) bool {
	verdict, quarantine := p.options.Crashes.Judge(q.received, q.profile)
	q.trial = verdict == localizer.Trial
	if verdict != localizer.Quarantined {
		return true
	}
	reason := "requests like it have crashed the endpoints that ran them"
	if at := slices.Index(q.profile.Shared, quarantine.Feature); at >= 0 {
		reason = "requests with a part of its prompt have crashed the endpoints that ran them"
		q.quarantinedPart = strconv.FormatUint(q.in.Work.Parts[at].ID, 16)
	}
	q.quarantinedBy = hex.EncodeToString(quarantine.Feature.Bytes())
	p.refuse(q, byQuarantine, http.StatusServiceUnavailable, reason, quarantine.Left)
	return false
}

// mayCrash reports whether a request whose attempt has failed may crash the next endpoint, too.
func (p *Proxier) mayCrash(q *request, e attemptFailure) bool {
	now := p.options.Clock.Now()
	broke := !e.unsent && !e.notRun && !e.rejected
	return q.trial && q.sends > 0 || p.options.Crashes.Quarantined(now, q.profile) || broke && p.options.Crashes.Suspected(now, q.profile)
}

// noteEnd records what the end of an attempt says of the request's features.
func (p *Proxier) noteEnd(q *request, slot *balancer.Slot, failure *attemptFailure) {
	switch {
	case failure != nil:
	case q.framing == framer.ByConnection:
		p.options.Crashes.EndedUnframed(p.options.Clock.Now(), q.answerBegan, localizer.Lifetime(slot.Key()), q.profile)
	default:
		p.options.Crashes.Answered(q.answerBegan, q.profile)
	}
}

// noteBreak records that a request's connection to its endpoint has ended, and finds out whether the
// endpoint has.
func (p *Proxier) noteBreak(q *request, slot *balancer.Slot) {
	now := p.options.Clock.Now()
	lifetime := localizer.Lifetime(slot.Key())
	if p.options.Crashes.Broke(now, lifetime, q.profile, q.answeredFor(now)) {
		go func() {
			if p.prober.Probe(context.Background(), slot.ID, slot.Address, lifetime) {
				p.options.Metrics.countCrash()
			}
		}()
	}
}

// noteRestart records that the endpoint has restarted while the request ran there.
func (p *Proxier) noteRestart(q *request, slot *balancer.Slot) {
	now := p.options.Clock.Now()
	lifetime := localizer.Lifetime(slot.Key())
	p.options.Crashes.Broke(now, lifetime, q.profile, q.answeredFor(now))
	p.options.Crashes.Ended(now, lifetime)
}

// answeredFor returns for how long the request's last endpoint has been answering it.
func (q *request) answeredFor(now time.Time) time.Duration {
	if q.answerBegan.IsZero() {
		return 0
	}
	return now.Sub(q.answerBegan)
}

// loggedParts returns the parts of the prompt that other requests may share, for log lines.
func (q *request) loggedParts() []string {
	shared := q.in.Work.SharedParts()
	ids := make([]string, 0, min(len(shared), maxLoggedParts))
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(part.ID, 16))
	}
	return ids
}
