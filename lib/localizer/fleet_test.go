package localizer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simFleet plays routers, keepers and engines on one simulated clock, without a network. Its requests
// have three parts: a first one that most share, a rarer one, and their own.
type simFleet struct {
	simSettings
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	order   int
	routers []*simRouter
	keepers []*simKeeper
	engines []*simEngine
	result  simResult
	runs    uint64
	culprit map[Feature]*simCulprit
	log     map[Feature]time.Time // replicated quarantines, with their ends
}

// simSettings is what a play consists of.
type simSettings struct {
	seed     uint64
	routers  int
	keepers  int
	engines  int
	slots    int
	rate     float64 // sound requests a second
	badRate  float64 // requests with a bad part a second, from badFrom on
	badParts []part  // nil: badPart
	// badFrom is when requests with a bad part begin to crash engines. badSound says that they are
	// answered before.
	badFrom  time.Duration
	badSound bool
	// badFirst puts the bad part first in its prompts, badBelow puts it behind a part that only they
	// have.
	badFirst, badBelow bool
	// moreParts is the number of further parts that all prompts of a first part share.
	moreParts int
	// equalBodies has sound requests with the same parts be repeats of each other.
	equalBodies bool
	// rarer is how many times as many second parts there are.
	rarer    int
	attempts int // endpoints that one request may reach
	length   time.Duration
	// outages are moments at which a quarter of the engines crash for another reason.
	outages []time.Duration
	// restarts are moments at which keepers, and routers, start again with nothing.
	keeperRestarts, routerRestarts []time.Duration
	// cutFrom and cutUntil bound the time in which the routers and keepers of the first zone, a quarter
	// of both, do not reach the others.
	cutFrom, cutUntil time.Duration
	poll              time.Duration // interval of the reports
	noLog             bool          // the keepers have no quorum: quarantines are not replicated
}

// simCulprit is what has happened under one bad part.
type simCulprit struct {
	crashes int
	fifth   time.Time // of the fifth crash
	late    int       // sends by routers in touch, more than contact after the fifth crash
}

// simResult is what a play shows.
type simResult struct {
	crashes       int // under a bad part
	sends         int // of requests with a bad part
	late          int // of these, those more than contact after the fifth crash under the same part, at most for one part
	sound         int // requests without a bad part
	refused       int // of these, those refused
	soundLate     int // those from two contacts after the fifth crash on
	refusedLate   int
	wrong         int // parts quarantined without being bad, at any time
	wrongAtEnd    int // those still quarantined at the end
	broken        int // sound requests that ended with their engine
	badAtEnd      int // bad parts in quarantine at the end, at the first keeper
	reportedBytes int
}

const (
	contact   = 3 * time.Second
	deliver   = 20 * time.Millisecond
	logDelay  = 100 * time.Millisecond
	exchange  = 300 * time.Millisecond
	relayTime = 50 * time.Millisecond
)

type part string

const badPart part = "bad"

func (p part) feature() Feature {
	h := uint64(14695981039346656037)
	for _, c := range []byte(p) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return Feature(h)
}

// simClass is one kind of sound requests.
type simClass struct {
	weight   float64
	first    int // number of first parts
	second   int // number of second parts
	duration time.Duration
}

var simClasses = []simClass{
	{64, 1, 100, 1600 * time.Millisecond},
	{136, 8, 213, 1400 * time.Millisecond},
	{108, 20, 256, 400 * time.Millisecond},
}

type simRequest struct {
	bad     *simCulprit // nil for a sound request
	profile Profile
	length  time.Duration
	sends   int
	router  *simRouter
	trial   bool
}

type simRun struct {
	id      uint64
	request *simRequest
	begun   time.Time // when its answer begins
	ended   bool
}

type simRouter struct {
	observer *Observer
	zone     int
	acked    time.Time
	// starting is set from a restart to the first answer of a keeper.
	starting  bool
	restarted time.Time
}

type simKeeper struct {
	judge   Judge
	zone    int
	relayed []Report // received from routers since the last exchange
}

type simEngine struct {
	lifetime Lifetime
	upFrom   time.Time
	zone     int
	runs     map[uint64]*simRun
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return cmp.Or(q[a].at.Compare(q[b].at), cmp.Compare(q[a].order, q[b].order)) < 0
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var simStart = time.Unix(100000, 0)

// defaults is a fleet of twelve engines and eight routers whose reports meet within a second.
func defaults(seed uint64) simSettings {
	return simSettings{
		seed: seed, routers: 8, keepers: 4, engines: 12, slots: 64, rate: 310, badRate: 2, badFrom: 5 * time.Second,
		attempts: 2, length: 40 * time.Second, poll: 500 * time.Millisecond,
	}
}

// play plays the settings and returns what happened.
func play(settings simSettings) simResult {
	f := &simFleet{
		simSettings: settings, random: rand.New(rand.NewPCG(settings.seed, 64)), now: simStart, culprit: make(map[Feature]*simCulprit), log: make(map[Feature]time.Time),
	}
	if f.badParts == nil {
		f.badParts = []part{badPart}
	}
	for _, p := range f.badParts {
		f.culprit[p.feature()] = &simCulprit{}
	}
	for n := range f.simSettings.routers {
		f.routers = append(f.routers, &simRouter{observer: &Observer{}, zone: n % 4})
	}
	for n := range f.simSettings.keepers {
		f.keepers = append(f.keepers, &simKeeper{zone: n % 4})
	}
	for n := range f.simSettings.engines {
		f.engines = append(f.engines, &simEngine{zone: n % 4, lifetime: Lifetime(1000*n + 1), runs: make(map[uint64]*simRun)})
	}
	f.schedule()
	for f.events.Len() > 0 {
		event := heap.Pop(&f.events).(simEvent)
		if event.at.Sub(simStart) > f.length {
			break
		}
		f.now = event.at
		event.do()
	}
	f.count()
	return f.result
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, simEvent{f.now.Add(d), f.order, do})
}

// schedule sets up what recurs and what happens at set times.
func (f *simFleet) schedule() {
	f.after(f.exponential(f.rate), f.soundRequest)
	if f.badRate > 0 {
		from := f.badFrom
		if f.badSound {
			from = 0
		}
		f.after(from, f.badRequest)
	}
	for _, r := range f.routers {
		f.after(time.Duration(f.random.Float64()*float64(f.poll)), func() { f.pollKeeper(r) })
	}
	for _, k := range f.keepers {
		f.after(time.Duration(f.random.Float64()*float64(exchange)), func() { f.exchangeReports(k) })
	}
	for _, at := range f.outages {
		f.after(at, f.outage)
	}
	for _, at := range f.keeperRestarts {
		f.after(at, func() {
			for _, k := range f.keepers {
				k.judge, k.relayed = Judge{}, nil
				for feature, until := range f.log {
					k.judge.Adopt(f.now, feature, until.Sub(f.now))
				}
			}
			for _, r := range f.routers {
				r.acked = time.Time{} // its poll broke off
			}
		})
	}
	for _, at := range f.routerRestarts {
		f.after(at, func() {
			for _, r := range f.routers {
				r.observer, r.acked, r.starting, r.restarted = &Observer{}, time.Time{}, true, f.now
			}
		})
	}
}

func (f *simFleet) exponential(rate float64) time.Duration {
	return time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
}

func (f *simFleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.random.Float64()*float64(b-a))
}

// newRequest returns a request with the given parts before its own.
func (f *simFleet) newRequest(length time.Duration, parts ...part) *simRequest {
	f.runs++
	q := &simRequest{length: length, profile: Profile{Service: 1}, router: f.routers[f.random.IntN(len(f.routers))]}
	for _, p := range parts {
		if c, bad := f.culprit[p.feature()]; bad {
			q.bad = c
		}
		q.profile.Shared = append(q.profile.Shared, p.feature())
	}
	for n := range f.moreParts {
		q.profile.Shared = append(q.profile.Shared, parts[0].feature()+Feature(n+1))
	}
	q.profile.Whole = Feature(f.runs<<20 | 7)
	return q
}

func (f *simFleet) soundRequest() {
	f.after(f.exponential(f.rate), f.soundRequest)
	first, second, class := f.soundParts()
	q := f.newRequest(f.exponential(1/class.duration.Seconds()), first, second)
	if f.equalBodies {
		q.profile.Whole = (first + second).feature()
	}
	f.result.sound++
	late := f.pastFifth(2 * contact)
	if late {
		f.result.soundLate++
	}
	if !f.send(q) {
		f.result.refused++
		if late {
			f.result.refusedLate++
		}
	}
}

// pastFifth reports whether some time has passed since the fifth crash under every bad part.
func (f *simFleet) pastFifth(span time.Duration) bool {
	for _, c := range f.culprit {
		if c.fifth.IsZero() || f.now.Sub(c.fifth) <= span {
			return false
		}
	}
	return len(f.culprit) > 0
}

// soundParts draws the parts of a sound request. Few second parts are frequent, and many are rare.
func (f *simFleet) soundParts() (first, second part, class simClass) {
	total := 0.0
	for _, c := range simClasses {
		total += c.weight
	}
	drawn, at := f.random.Float64()*total, 0
	for at < len(simClasses)-1 && drawn > simClasses[at].weight {
		drawn -= simClasses[at].weight
		at++
	}
	class = simClasses[at]
	rank := int(float64(class.second*max(f.rarer, 1)) * f.random.Float64() * f.random.Float64())
	return part("f" + string(rune('a'+at)) + string(rune('a'+f.random.IntN(class.first)))),
		part("s" + string(rune('a'+at)) + fmt.Sprint(rank)), class
}

// badRequest sends a request with a bad part. Its other parts are those of sound requests.
func (f *simFleet) badRequest() {
	f.after(f.exponential(f.badRate), f.badRequest)
	first, second, _ := f.soundParts()
	bad := f.badParts[f.random.IntN(len(f.badParts))]
	switch {
	case f.badFirst:
		f.send(f.newRequest(time.Second, bad, second))
	case f.badBelow:
		f.send(f.newRequest(time.Second, first, "above", bad))
	default:
		f.send(f.newRequest(time.Second, first, bad))
	}
}

// send sends a request to the less busy of two engines. It returns false if it is quarantined.
func (f *simFleet) send(q *simRequest) bool {
	if q.router.starting {
		return true // it answers nobody before it has heard of a keeper
	}
	verdict, _ := q.router.observer.Judge(f.now, q.profile)
	if verdict == Quarantined {
		return false
	}
	q.trial = q.trial || verdict == Trial
	var up []*simEngine
	for _, e := range f.engines {
		if !e.upFrom.After(f.now) && f.reaches(q.router.zone, e.zone) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return true
	}
	e := up[f.random.IntN(len(up))]
	if other := up[f.random.IntN(len(up))]; len(other.runs) < len(e.runs) {
		e = other
	}
	q.sends++
	crashes := q.bad != nil && f.now.Sub(simStart) >= f.badFrom
	if crashes {
		f.result.sends++
		if !q.bad.fifth.IsZero() && f.now.Sub(q.bad.fifth) > contact && f.inTouch(q.router) {
			q.bad.late++
		}
	}
	f.runs++
	wait := f.between(30*time.Millisecond, 250*time.Millisecond)
	if len(e.runs) >= f.slots {
		wait += time.Second
	}
	run := &simRun{id: f.runs, request: q, begun: f.now.Add(wait)}
	lifetime := e.lifetime
	e.runs[run.id] = run
	if crashes {
		f.after(wait+f.between(30*time.Millisecond, 130*time.Millisecond), func() {
			if e.lifetime == lifetime && !run.ended {
				f.result.crashes++
				q.bad.crashes++
				if q.bad.crashes == 5 {
					q.bad.fifth = f.now
				}
				f.crash(e)
			}
		})
		return true
	}
	f.after(wait+q.length, func() {
		if e.lifetime == lifetime && !run.ended {
			run.ended = true
			delete(e.runs, run.id)
			q.router.observer.Answered(run.begun, q.profile)
		}
	})
	return true
}

// crash ends a lifetime of an engine with all its runs.
func (f *simFleet) crash(e *simEngine) {
	ended := e.lifetime
	runs := e.runs
	e.lifetime, e.upFrom, e.runs = e.lifetime+1, f.now.Add(f.between(time.Second, 4*time.Second)), make(map[uint64]*simRun)
	order := make([]*simRun, 0, len(runs))
	for _, run := range runs {
		order = append(order, run)
	}
	slices.SortFunc(order, func(a, b *simRun) int { return cmp.Compare(a.id, b.id) })
	for _, run := range order {
		run.ended = true
		q := run.request
		if q.bad == nil {
			f.result.broken++
		}
		observer := q.router.observer
		if observer.Broke(f.now, ended, q.profile, f.now.Sub(run.begun)) {
			f.after(5*time.Millisecond, func() { observer.Ended(f.now, ended) })
		}
		if q.sends < f.attempts && !q.trial && !observer.Suspected(f.now, q.profile) {
			f.after(5*time.Millisecond, func() { f.send(q) })
		}
	}
}

func (f *simFleet) outage() {
	for _, n := range f.random.Perm(len(f.engines))[:len(f.engines)/4] {
		if e := f.engines[n]; !e.upFrom.After(f.now) {
			f.crash(e)
		}
	}
}

// reaches reports whether nodes of two zones reach each other.
func (f *simFleet) reaches(a, b int) bool {
	since := f.now.Sub(simStart)
	return a == b || since < f.cutFrom || since >= f.cutUntil || a != 0 && b != 0
}

// pollKeeper sends a router's report to the first keeper it reaches, and applies the answer.
func (f *simFleet) pollKeeper(r *simRouter) {
	f.after(f.poll, func() { f.pollKeeper(r) })
	var primary *simKeeper
	for n := range f.keepers {
		k := f.keepers[(r.zone+n)%len(f.keepers)]
		if f.reaches(r.zone, k.zone) {
			primary = k
			break
		}
	}
	if primary == nil {
		return
	}
	sent, observer := f.now, r.observer
	report := observer.Report(sent, r.acked)
	f.after(deliver, func() {
		f.receive(primary, report)
		primary.relayed = append(primary.relayed, report)
		quarantines, suspects := primary.judge.Quarantines(f.now), slices.Clone(primary.judge.Suspects())
		for n := range quarantines {
			if primary == f.keepers[0] && slices.Contains(report.Refused, quarantines[n].Feature) {
				quarantines[n].Trial = primary.judge.GrantTrial(f.now, quarantines[n].Feature)
			}
		}
		f.after(deliver, func() {
			if r.observer == observer {
				observer.Ask(f.now, suspects)
				observer.SetQuarantines(f.now, quarantines)
				r.acked, r.starting = sent, false
			}
		})
	})
	f.result.reportedBytes += 4 * len(report.Answers)
	for _, crash := range report.Crashes {
		f.result.reportedBytes += 14 + 8*len(crash.Features)
	}
}

// receive applies a report at a keeper and replicates the quarantines that result.
func (f *simFleet) receive(k *simKeeper, report Report) {
	for _, crash := range report.Crashes {
		k.judge.AddCrash(f.now, crash)
	}
	for _, answer := range report.Answers {
		if k.judge.AddAnswer(f.now, answer) && !f.noLog {
			f.after(logDelay, func() { f.replicate(k, answer.Feature, 0) })
		}
	}
	for _, feature := range k.judge.Verdicts(f.now) {
		if f.culprit[feature] == nil && feature != part("above").feature() {
			f.result.wrong++
		}
		if !f.noLog {
			f.after(logDelay, func() { f.replicate(k, feature, QuarantineTime) })
		}
	}
}

// replicate applies a quarantine, or its end, at the other keepers.
func (f *simFleet) replicate(from *simKeeper, feature Feature, left time.Duration) {
	f.log[feature] = f.now.Add(left)
	for _, k := range f.keepers {
		switch {
		case k == from || !f.reaches(from.zone, k.zone):
		case left == 0:
			k.judge.Lift(f.now, feature)
		default:
			k.judge.Adopt(f.now, feature, left)
		}
	}
}

// exchangeReports sends the reports that a keeper received from routers to the other keepers.
func (f *simFleet) exchangeReports(k *simKeeper) {
	f.after(exchange, func() { f.exchangeReports(k) })
	relayed := k.relayed
	k.relayed = nil
	for _, other := range f.keepers {
		if other == k || !f.reaches(k.zone, other.zone) {
			continue
		}
		f.after(relayTime, func() {
			for _, report := range relayed {
				f.receive(other, report)
			}
		})
	}
	f.receive(k, Report{})
}

// inTouch reports whether a router has reached every keeper of a majority for the time of a contact.
func (f *simFleet) inTouch(r *simRouter) bool {
	since := f.now.Sub(simStart)
	cut := r.zone == 0 && f.cutUntil > 0 && since >= f.cutFrom && since < f.cutUntil+contact
	return !cut && (r.restarted.IsZero() || f.now.Sub(r.restarted) >= contact)
}

// count counts what is quarantined at the end.
func (f *simFleet) count() {
	for _, c := range f.culprit {
		f.result.late = max(f.result.late, c.late)
	}
	for _, q := range f.keepers[0].judge.Quarantines(f.now) {
		switch {
		case q.Left == 0:
		case f.culprit[q.Feature] != nil:
			f.result.badAtEnd++
		default:
			f.result.wrongAtEnd++
		}
	}
}
