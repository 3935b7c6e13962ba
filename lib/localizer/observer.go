package localizer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// provenAfter is how long a request must have been answered when its endpoint crashes to be no
	// suspect: an endpoint that a request crashes does so when it begins to answer.
	provenAfter = 500 * time.Millisecond
	// probeInterval is the minimum time between two checks whether the same endpoint has crashed.
	probeInterval = time.Second
	// reportRetention is how long a crash is reported to a keeper that has not acknowledged it.
	reportRetention = 30 * time.Second
	// maxBroken bounds the lifetimes of endpoints that a router remembers, and maxBrokenFeatures the
	// features of each. Beyond MaxFeatures only those are recorded that were never answered here.
	maxBroken         = 256
	maxBrokenFeatures = 4 * MaxFeatures
	// maxReported bounds the features in one report, of 9 bytes each.
	maxReported = 512
	// unframedRetention is how long after an answer without framing its endpoint must be found to have
	// crashed for the answer to count as broken off, and maxUnframed bounds these answers for each
	// endpoint, of some 150 bytes each.
	unframedRetention = 2 * time.Second
	maxUnframed       = 64
	// askedRetention is how long a keeper's question for answers holds: it is repeated with each of its
	// answers to a poll.
	askedRetention = 10 * time.Second
	// trialTerm is how long a router may use a trial.
	trialTerm = 5 * time.Second
)

// brokenLifetime is a lifetime of an endpoint at which requests broke off.
type brokenLifetime struct {
	service  Feature
	at       time.Time // of the first break
	changed  time.Time // when a feature was added, or its end became known
	probed   time.Time
	ended    bool // the endpoint is known to have crashed
	features map[Feature]bool
}

// unframedEnd is an answer without framing that has ended with its connection. Whether it is whole
// depends on whether its endpoint has survived it.
type unframedEnd struct {
	at, began time.Time
	profile   Profile
}

// observedQuarantine is a quarantine as a router knows it.
type observedQuarantine struct {
	until      time.Time
	trialUntil time.Time // one request may be sent until then
	refusedAt  time.Time // of the latest request that was refused for it
}

// Observer records crashes and answers at a router, and holds the quarantines in force there. Its
// zero value is ready to use. It is safe for concurrent use.
type Observer struct {
	mutex       sync.Mutex
	answers     answerTable
	broken      map[Lifetime]*brokenLifetime
	unframed    map[Lifetime][]unframedEnd
	asked       map[Feature]time.Time // features that keepers ask about, and when they did last
	quarantined map[Feature]*observedQuarantine
}

// Answered records that a request was answered whole, and when its answer began. What crashes
// endpoints does so when they begin to answer.
func (o *Observer) Answered(began time.Time, profile Profile) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.addAnswer(began, profile)
}

func (o *Observer) addAnswer(began time.Time, profile Profile) {
	o.answers.add(began, profile.Service)
	for _, feature := range profile.Shared {
		o.answers.add(began, feature)
	}
	// Nearly all requests are sent once, so that their own features would only displace the others.
	if o.implicated(profile.Whole) {
		o.answers.add(began, profile.Whole)
	}
}

// EndedUnframed records that an answer without framing has ended with its connection, and when it began.
// It counts as an answer once its endpoint answers another request, and as broken off if the endpoint
// is found to have crashed.
func (o *Observer) EndedUnframed(now, began time.Time, lifetime Lifetime, profile Profile) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.unframed == nil {
		o.unframed = make(map[Lifetime][]unframedEnd)
	}
	ends := o.unframed[lifetime]
	if ends == nil && len(o.unframed) >= maxBroken {
		o.dropOldUnframed(now)
	}
	if len(ends) >= maxUnframed {
		ends = ends[1:]
	}
	o.unframed[lifetime] = append(ends, unframedEnd{at: now, began: began, profile: profile})
}

// dropOldUnframed drops the lifetimes whose answers without framing ended too long ago to be part of a
// crash, and all of them if there are none.
func (o *Observer) dropOldUnframed(now time.Time) {
	before := len(o.unframed)
	for lifetime, ends := range o.unframed {
		if now.Sub(ends[len(ends)-1].at) > unframedRetention {
			delete(o.unframed, lifetime)
		}
	}
	if len(o.unframed) == before {
		clear(o.unframed)
	}
}

// AnswerBegan records that an endpoint has begun to answer a request, so that it has survived what ended
// there before.
func (o *Observer) AnswerBegan(lifetime Lifetime) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	ends, found := o.unframed[lifetime]
	if !found {
		return
	}
	delete(o.unframed, lifetime)
	for _, end := range ends {
		o.addAnswer(end.began, end.profile)
	}
}

// implicated reports whether a feature is under suspicion here or at a keeper.
func (o *Observer) implicated(feature Feature) bool {
	if _, asked := o.asked[feature]; asked || o.quarantined[feature] != nil {
		return true
	}
	for _, b := range o.broken {
		if b.features[feature] {
			return true
		}
	}
	return false
}

// Broke records that a request broke off with the connection to its endpoint, after it had been
// answered for some time. It reports whether the caller is to find out if the endpoint has crashed,
// and then to call Ended or Survived.
func (o *Observer) Broke(now time.Time, lifetime Lifetime, profile Profile, answeredFor time.Duration) (probe bool) {
	if answeredFor >= provenAfter {
		return false
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	b := o.addBroken(now, lifetime, profile)
	if b.ended || now.Sub(b.probed) < probeInterval {
		return false
	}
	b.probed = now
	return true
}

// addBroken records the features of a request that broke off with a lifetime of an endpoint.
func (o *Observer) addBroken(now time.Time, lifetime Lifetime, profile Profile) *brokenLifetime {
	b := o.lifetime(now, lifetime, profile.Service)
	for _, feature := range slices.Concat(profile.Shared, []Feature{profile.Whole}) {
		if !b.features[feature] && o.hasRoom(b, feature) {
			b.features[feature], b.changed = true, now
		}
	}
	return b
}

// hasRoom reports whether a feature may be recorded with a lifetime.
func (o *Observer) hasRoom(b *brokenLifetime, feature Feature) bool {
	return len(b.features) < MaxFeatures || len(b.features) < maxBrokenFeatures && o.answers.latest(feature).IsZero()
}

// lifetime returns the entry of a lifetime and adds it if it is missing, in place of the oldest one
// if there are too many.
func (o *Observer) lifetime(now time.Time, lifetime Lifetime, service Feature) *brokenLifetime {
	known, found := o.broken[lifetime]
	if found {
		return known
	}
	if o.broken == nil {
		o.broken = make(map[Lifetime]*brokenLifetime)
	}
	o.dropOld(now)
	known = &brokenLifetime{service: service, at: now, features: make(map[Feature]bool)}
	o.broken[lifetime] = known
	return known
}

// dropOld drops the lifetimes that are no longer reported, and the oldest if there are too many.
func (o *Observer) dropOld(now time.Time) {
	var oldest Lifetime
	var oldestAt time.Time
	for lifetime, b := range o.broken {
		if now.Sub(b.at) > reportRetention {
			delete(o.broken, lifetime)
			continue
		}
		if oldestAt.IsZero() || b.at.Before(oldestAt) {
			oldest, oldestAt = lifetime, b.at
		}
	}
	if len(o.broken) >= maxBroken {
		delete(o.broken, oldest)
	}
}

// Ended records that a lifetime of an endpoint has ended: it refuses connections, or has started
// again.
func (o *Observer) Ended(now time.Time, lifetime Lifetime) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, end := range o.unframed[lifetime] {
		if now.Sub(end.at) <= unframedRetention && end.at.Sub(end.began) < provenAfter {
			o.addBroken(end.at, lifetime, end.profile)
		}
	}
	delete(o.unframed, lifetime)
	if b, found := o.broken[lifetime]; found && !b.ended {
		b.ended, b.changed = true, now
	}
}

// Survived records that an endpoint still runs: what broke was a connection, not the endpoint.
func (o *Observer) Survived(lifetime Lifetime) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if b, found := o.broken[lifetime]; found && !b.ended {
		delete(o.broken, lifetime)
	}
}

// Report is what a router tells a keeper.
type Report struct {
	Crashes []Crash
	Answers []Answer
	// Refused are the quarantined features for which requests were refused.
	Refused []Feature
}

// Report returns the crashes and refusals that have become known since a time, the latest report that
// the keeper has answered, and the latest answers to the suspects. Features that were answered here
// after a crash are left out of it.
func (o *Observer) Report(now, since time.Time) Report {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var r Report
	reported := 0
	services := make(map[Feature]bool)
	for _, lifetime := range o.byAge() {
		b := o.broken[lifetime]
		if b.ended && !services[b.service] {
			services[b.service] = true
			r.addAnswer(b.service, o.answers.latest(b.service))
		}
		if !b.ended || b.changed.Before(since) || now.Sub(b.at) > reportRetention {
			continue
		}
		features := o.unanswered(b)
		features = features[:min(len(features), MaxFeatures, maxReported-reported)]
		reported += len(features)
		if len(features) > 0 {
			r.Crashes = append(r.Crashes, Crash{Lifetime: lifetime, Service: b.service, At: b.at, Features: features})
		}
	}
	for feature, at := range o.asked {
		if now.Sub(at) > askedRetention {
			delete(o.asked, feature)
			continue
		}
		r.addAnswer(feature, o.answers.latest(feature))
	}
	for feature, q := range o.quarantined {
		if now.After(q.until) {
			delete(o.quarantined, feature)
			continue
		}
		if _, asked := o.asked[feature]; !asked {
			r.addAnswer(feature, o.answers.latest(feature))
		}
		if !q.refusedAt.IsZero() && !q.refusedAt.Before(since) {
			r.Refused = append(r.Refused, feature)
		}
	}
	slices.SortFunc(r.Answers, func(a, b Answer) int { return cmp.Compare(a.Feature, b.Feature) })
	slices.Sort(r.Refused)
	return r
}

// byAge returns the lifetimes in the order in which they broke.
func (o *Observer) byAge() []Lifetime {
	return slices.SortedFunc(maps.Keys(o.broken), func(a, b Lifetime) int {
		return cmp.Or(o.broken[a].at.Compare(o.broken[b].at), cmp.Compare(a, b))
	})
}

// unanswered returns the features of a lifetime that were not answered after its end, those first
// that were answered least recently or never.
func (o *Observer) unanswered(b *brokenLifetime) []Feature {
	var features []Feature
	for feature := range b.features {
		if !o.answers.latest(feature).After(b.at) {
			features = append(features, feature)
		}
	}
	slices.SortFunc(features, func(a, b Feature) int {
		return cmp.Or(o.answers.latest(a).Compare(o.answers.latest(b)), cmp.Compare(a, b))
	})
	return features
}

// addAnswer adds the latest answer to a feature if there is one.
func (r *Report) addAnswer(feature Feature, at time.Time) {
	if !at.IsZero() {
		r.Answers = append(r.Answers, Answer{Feature: feature, At: at})
	}
}

// Ask records the suspects about which a keeper asks.
func (o *Observer) Ask(now time.Time, suspects []Feature) {
	if len(suspects) == 0 {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.asked == nil {
		o.asked = make(map[Feature]time.Time)
	}
	for _, feature := range suspects[:min(len(suspects), MaxSuspects)] {
		if _, found := o.asked[feature]; found || len(o.asked) < 2*MaxSuspects {
			o.asked[feature] = now
		}
	}
}

// SetQuarantines applies the quarantines that a keeper tells of, and returns those that are new here.
func (o *Observer) SetQuarantines(now time.Time, quarantines []Quarantine) (added []Feature) {
	if len(quarantines) == 0 {
		return nil
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.quarantined == nil {
		o.quarantined = make(map[Feature]*observedQuarantine)
	}
	for _, q := range quarantines {
		if q.Left <= 0 {
			delete(o.quarantined, q.Feature)
			continue
		}
		known, found := o.quarantined[q.Feature]
		if !found {
			if len(o.quarantined) >= maxQuarantined {
				continue
			}
			known = &observedQuarantine{}
			o.quarantined[q.Feature] = known
			added = append(added, q.Feature)
		}
		known.until = now.Add(q.Left)
		if q.Trial {
			known.trialUntil = now.Add(trialTerm)
		}
	}
	return added
}

// Verdict is whether a request may be sent.
type Verdict uint8

// The verdicts.
const (
	Permitted Verdict = iota
	// Trial permits the request to be sent once, and to no second endpoint.
	Trial
	// Quarantined means that the request must not be sent.
	Quarantined
)

// Judge returns the verdict on a request, and the quarantine that applies to it if there is one. The
// verdict Trial uses up the trial that a keeper has granted.
func (o *Observer) Judge(now time.Time, profile Profile) (Verdict, Quarantine) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.quarantined) == 0 {
		return Permitted, Quarantine{}
	}
	var found *observedQuarantine
	var feature Feature
	check := func(f Feature) bool {
		q, quarantined := o.quarantined[f]
		if !quarantined || !now.Before(q.until) {
			return true
		}
		q.refusedAt = now
		if found != nil { // a trial of two features would tell nothing of either
			return false
		}
		found, feature = q, f
		return true
	}
	single := check(profile.Whole)
	for _, f := range profile.Shared {
		single = check(f) && single
	}
	switch {
	case found == nil:
		return Permitted, Quarantine{}
	case single && now.Before(found.trialUntil):
		found.trialUntil = time.Time{}
		return Trial, Quarantine{Feature: feature, Left: found.until.Sub(now), Trial: true}
	}
	return Quarantined, Quarantine{Feature: feature, Left: found.until.Sub(now)}
}

// Suspected reports whether a profile has a feature about which keepers ask and that was never answered
// here: a request that broke off with its endpoint may then be the cause, and crash the next one.
func (o *Observer) Suspected(now time.Time, profile Profile) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.asked) == 0 {
		return false
	}
	suspected := func(f Feature) bool {
		at, asked := o.asked[f]
		return asked && now.Sub(at) <= askedRetention && o.answers.latest(f).IsZero()
	}
	return suspected(profile.Whole) || slices.ContainsFunc(profile.Shared, suspected)
}

// Quarantined reports whether requests with any of a profile's features are refused.
func (o *Observer) Quarantined(now time.Time, profile Profile) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.quarantined) == 0 {
		return false
	}
	inForce := func(f Feature) bool {
		q, found := o.quarantined[f]
		return found && now.Before(q.until)
	}
	return inForce(profile.Whole) || slices.ContainsFunc(profile.Shared, inForce)
}

// Lifetimes returns the number of lifetimes of endpoints at which requests have broken off recently,
// and how many of them are known to have crashed.
func (o *Observer) Lifetimes() (broken, crashed int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, b := range o.broken {
		if b.ended {
			crashed++
		}
	}
	return len(o.broken), crashed
}

// QuarantineCount returns the number of quarantines in force at this router.
func (o *Observer) QuarantineCount() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.quarantined)
}
