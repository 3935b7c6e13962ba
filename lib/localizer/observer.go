package localizer

import (
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
	// reportRetention is how long a crash is reported to a keeper that has not acknowledged it: for as long
	// as a Judge remembers it. All keepers may be away for long, or start again with nothing.
	reportRetention = crashRetention
	// breakRetention is how long after a break the end of its endpoint still counts as a crash under it, and
	// serviceRetention how long after a crash each report names the latest answer of its service.
	breakRetention   = 30 * time.Second
	serviceRetention = 30 * time.Second
	// maxBroken bounds the lifetimes of endpoints that a router remembers, and maxBrokenFeatures the
	// features of each, of some 40 bytes. Beyond MaxFeatures only those are recorded that were never
	// answered here.
	maxBroken         = 256
	maxBrokenFeatures = 4 * MaxFeatures
	// maxReported bounds the features in one report, of 9 bytes each.
	maxReported = 512
	// askedRetention is how long a keeper's question for answers holds: it is repeated with each of its
	// answers to a poll.
	askedRetention = 10 * time.Second
)

// brokenLifetime is a lifetime of an endpoint at which requests broke off.
type brokenLifetime struct {
	service  Feature
	at       time.Time // of the first break
	changed  time.Time // when a feature was added, or its end became known; see change
	probed   time.Time
	ended    bool // the endpoint is known to have crashed
	features map[Feature]bool
}

// Observer records crashes and answers at a router, and holds the quarantines in force there. Its
// zero value is ready to use. It is safe for concurrent use.
type Observer struct {
	mutex       sync.Mutex
	answers     answerTable
	broken      map[Lifetime]*brokenLifetime
	blamed      map[Feature]int // features of broken, with the number of their lifetimes
	lastChanged time.Time       // the latest changed time of any lifetime
	lastReport  time.Time       // the latest Through of any report
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
		o.acquit(began, feature)
	}
	// Nearly all requests are sent once, so that their own features would only displace the others.
	if o.implicated(profile.Whole) {
		o.answers.add(began, profile.Whole)
		o.acquit(began, profile.Whole)
	}
}

// acquit drops a feature from the crashes before its answer began. The answer itself is forgotten sooner
// than a crash is.
func (o *Observer) acquit(began time.Time, feature Feature) {
	if o.blamed[feature] == 0 {
		return
	}
	for _, b := range o.broken {
		if b.features[feature] && began.After(b.at) {
			delete(b.features, feature)
			o.unblame(feature)
		}
	}
}

// unblame records that a feature was dropped from a lifetime.
func (o *Observer) unblame(feature Feature) {
	o.blamed[feature]--
	if o.blamed[feature] == 0 {
		delete(o.blamed, feature)
	}
}

// forget drops a lifetime.
func (o *Observer) forget(lifetime Lifetime) {
	if b, found := o.broken[lifetime]; found {
		for feature := range b.features {
			o.unblame(feature)
		}
		delete(o.broken, lifetime)
	}
}

// change records that what is reported of a lifetime has changed. Its time is later than that of each change
// before, and than each report, so that a report that holds all changes up to a time misses none.
func (o *Observer) change(now time.Time, b *brokenLifetime) {
	if last := later(o.lastChanged, o.lastReport); !now.After(last) {
		now = last.Add(time.Nanosecond)
	}
	b.changed, o.lastChanged = now, now
}

// implicated reports whether a feature is under suspicion here or at a keeper.
func (o *Observer) implicated(feature Feature) bool {
	_, asked := o.asked[feature]
	return asked || o.quarantined[feature] != nil || o.blamed[feature] > 0
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
			b.features[feature] = true
			o.blamed[feature]++
			o.change(now, b)
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
		o.broken, o.blamed = make(map[Lifetime]*brokenLifetime), make(map[Feature]int)
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
		if o.dropIfOld(now, lifetime) {
			continue
		}
		if oldestAt.IsZero() || b.at.Before(oldestAt) {
			oldest, oldestAt = lifetime, b.at
		}
	}
	if len(o.broken) >= maxBroken {
		o.forget(oldest)
	}
}

// dropIfOld drops a lifetime that is not reported any more, and reports whether it is.
func (o *Observer) dropIfOld(now time.Time, lifetime Lifetime) bool {
	b := o.broken[lifetime]
	retention := reportRetention
	switch {
	case !b.ended:
		retention = breakRetention
	case len(b.features) == 0:
		retention = serviceRetention
	}
	if now.Sub(b.at) <= retention {
		return false
	}
	o.forget(lifetime)
	return true
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
	if b, found := o.broken[lifetime]; found && !b.ended && !o.dropIfOld(now, lifetime) {
		b.ended = true
		o.change(now, b)
	}
}

// Survived records that an endpoint still runs: what broke was a connection, not the endpoint.
func (o *Observer) Survived(lifetime Lifetime) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if b, found := o.broken[lifetime]; found && !b.ended {
		o.forget(lifetime)
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
