package proxier

import (
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/resolver"
)

const (
	// firstConfigurationWait is how long a request waits for the first configuration after the
	// router has started. Running keepers deliver it within about 0.1 s, keepers that start
	// together with the router within 0.4 s. Most clients retry only once, and after a power
	// loss of the whole fleet all of them are waiting at that moment.
	firstConfigurationWait = 400 * time.Millisecond
	// noConfigurationRetryAfter is the Retry-After of a router that still has no configuration.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// retryTargetShare is the fraction of the time left to a request's target within which its retry is
	// to arrive, so that most of it is left for the answer.
	retryTargetShare = 0.25
	// lateFraction is the fraction of its target after which a retried request counts as late:
	// engines with free capacity answer within a third of the target.
	lateFraction = 0.6
	// outputTokenWeight is the cost of a generated token in the tokens per second that a
	// configuration states. A prompt token costs 1.
	outputTokenWeight = 2
	// reasonRouterBusy, reasonServiceFull and reasonShareUsed are the most frequent reasons of refusals.
	reasonRouterBusy  = "this router has too much to do"
	reasonServiceFull = "the service is asked for more than it can answer in time"
	reasonShareUsed   = "the workspace has used its share"
	// defaultMaxBodyBytes limits a request's body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// admit resolves the request's route and workspace, reads its body and applies the admission
// rules. It answers a request that it does not admit, and returns false.
func (p *Proxier) admit(q *request) bool {
	if p.refusedAtStop(q) {
		return false
	}
	q.table = p.firstTable(q)
	if q.table == nil {
		p.refuse(q, byConfiguration, http.StatusServiceUnavailable, "no configuration yet", noConfigurationRetryAfter)
		return false
	}
	if !p.locate(q) {
		p.refuse(q, byRule, http.StatusNotFound, "no route", 0)
		return false
	}
	if !p.identify(q) {
		p.refuse(q, byKey, http.StatusUnauthorized, "no workspace holds the key", 0)
		p.logRefusedKey(q)
		return false
	}
	if p.busy(q) {
		// Admitting the request to an overloaded router would delay it and every other request.
		p.noteOverload(q)
		p.refuse(q, byRouter, http.StatusServiceUnavailable, reasonRouterBusy, p.overloadRetryAfter(q))
		return false
	}
	if !p.readBody(q) || p.refusedAtStop(q) {
		return false
	}
	q.deadline = q.received.Add(q.route.Timeout)
	if q.in.Deadline > 0 && q.in.Deadline < q.route.Timeout {
		q.deadline = q.received.Add(q.in.Deadline)
	}
	q.in.Work.Target, q.in.Work.Objective = q.remainingTarget(), q.route.Target
	q.in.Work.Late, q.in.Work.Gap = q.late(), q.route.Gap
	q.in.Work.Expected = p.expectedOutput(q)
	q.digest = fingerprint(q)
	if !p.admitResume(q) {
		return false
	}
	q.profile = profileOf(q)
	return p.mayRun(q) && p.withinShare(q)
}

// locate resolves the request's route and service, and the time of its first arrival.
func (p *Proxier) locate(q *request) bool {
	q.target = targetOf(q.http)
	path, _, _ := strings.Cut(q.target, "?")
	route, found := q.table.Route(q.http.Host, path)
	if !found {
		return false
	}
	q.route = route
	q.service = route.Pick(rand.Float64())
	q.retryKey = retryKeyOf(q)
	q.firstReceived = p.retries.firstReceived(q.received, q.retryKey)
	return true
}

// firstTable returns the configuration in force. It waits up to firstConfigurationWait for the first one.
func (p *Proxier) firstTable(q *request) *resolver.Table {
	if table := p.options.FleetState.Table(); table != nil {
		return table
	}
	select {
	case <-p.options.FleetState.Ready():
	case <-p.options.Clock.After(firstConfigurationWait):
	case <-q.http.Context().Done():
	}
	return p.options.FleetState.Table()
}

// withinShare reports whether the request's workspace may use engines now. It answers the request if not.
func (p *Proxier) withinShare(q *request) bool {
	if !p.sharesEngines(q) {
		return true
	}
	tokens := float64(q.tokens())
	d := p.options.Shares.Admit(q.received, q.workspace, tokens, q.late())
	if !d.Admitted {
		p.noteShareUsed(q, d)
		p.refuse(q, byShare, http.StatusTooManyRequests, reasonShareUsed, q.retryInTime(d.RetryAfter))
		return false
	}
	q.beyondShare = d.BestEffort
	if !p.wouldDelayOthers(q) {
		return true
	}
	p.options.Shares.Refund(q.workspace, tokens, true)
	p.refuse(q, byEngines, http.StatusTooManyRequests, "the workspace has used its share, and engines are busy", enginesBusyRetryAfter)
	return false
}

// sharesEngines reports whether workspace shares limit the request. Only engines are shared, by
// tokens; plain services have no shares.
func (p *Proxier) sharesEngines(q *request) bool {
	service, found := q.table.Service(q.service)
	return found && service.Engine != nil
}

// noteShareUsed records a refusal because the share is used up, and logs the figures it is based on.
func (p *Proxier) noteShareUsed(q *request, d apportioner.Decision) {
	q.refusedBy, q.logged = byShare, true
	p.notePressure(q.received)
	if p.logDamper.Admit(q.received, p.options.Log) {
		p.options.Log.Info().Str("id", q.in.ID).Str("workspace", q.workspace).Int("tokens", q.tokens()).
			Float64("asked", d.Demand).Float64("share", d.Share).Float64("local", d.LocalShare).Float64("stretch", d.Stretch).
			Dur("backlog_ms", d.Backlog).Dur("age_ms", d.Age).Dur("pause_ms", d.RetryAfter).Msg("share used up")
	}
}

// tokens returns the cost of the request against its workspace's share.
func (q *request) tokens() int {
	return q.in.Work.Prompt + outputTokenWeight*q.in.Work.Output
}

// remainingTarget returns the time left within which the answer should begin, at least a quarter of the target:
// a request that is already late is no less urgent than a new one.
func (q *request) remainingTarget() time.Duration {
	return max(q.route.Target-q.received.Sub(q.firstReceived), q.route.Target/4)
}

// late reports whether the request was first refused here so long ago that its answer can
// hardly meet the target.
func (q *request) late() bool {
	return q.route.Target > 0 && q.received.Sub(q.firstReceived) >= time.Duration(lateFraction*float64(q.route.Target))
}

// retryInTime returns the pause of a refused client, bounded so that its retry can still be answered in
// time. A retry on a new connection mostly reaches another router, which may admit it whatever this one
// has left. A later one is late even if it is admitted then, and takes as much of an engine's time. The
// bound does not apply to a request that is late already.
func (q *request) retryInTime(pause time.Duration) time.Duration {
	if q.route.Target > 0 && !q.late() {
		pause = min(pause, time.Duration(retryTargetShare*float64(q.remainingTarget())))
	}
	return max(pause, minRetryAfter)
}

// busy reports whether the router has no capacity for the request. A full router refuses all requests of
// workspaces that use their max-min fair part of it. Requests beyond the guaranteed share of their
// workspace, and late ones, are refused sooner: if starts exceed the rate by more than a short burst, or
// their workspace has used half of its fair part. Too many requests in flight are a reason to refuse
// only the former, since the engines may serve the others in time. A lagging process is one to refuse
// only the latter: its start rate falls until it holds back the former.
func (p *Proxier) busy(q *request) bool {
	if !p.full(q.received) {
		return false
	}
	q.standing = p.standing(q)
	if p.overFairShare(q.received, q.workspace) {
		return true
	}
	tight := p.options.StartRate.Exhausted(q.received) || p.options.StartRate.UsesHalfShare(q.received, q.workspace)
	return !q.standing.Owed && (tight || p.overLimit()) || q.late() && (tight || p.starved())
}

// standing returns how the request relates to the guaranteed share of its workspace.
func (p *Proxier) standing(q *request) apportioner.Standing {
	if p.options.Shares == nil || q.table == nil {
		return apportioner.Standing{Owed: true}
	}
	standing := p.options.Shares.Standing(q.received, q.workspace)
	if !p.sharesEngines(q) {
		standing.Owed = true // plain services have no shares
	}
	return standing
}

// starved reports whether the process lags because it gets too little processor time.
func (p *Proxier) starved() bool {
	return p.options.CPUStarved != nil && p.options.CPUStarved()
}

// overLimit reports whether more requests than MaxRequests are in flight.
func (p *Proxier) overLimit() bool {
	return p.Running() > p.options.MaxRequests
}

// full reports whether the router has no capacity for another request of any workspace.
func (p *Proxier) full(now time.Time) bool {
	if p.options.MaxRequests == 0 {
		return false
	}
	full := p.overLimit() || p.starved() || !p.options.StartRate.Available(now)
	if full {
		p.notePressure(now)
	}
	return full
}

// overFairShare reports whether a workspace uses at least its max-min fair part of a full router.
func (p *Proxier) overFairShare(now time.Time, workspace string) bool {
	return p.options.StartRate.ExceedsShare(now, workspace) || p.inFlight.overFairShare(now, workspace, p.options.MaxRequests)
}

// targetOf returns path and query exactly as the client sent them.
func targetOf(h *http.Request) string {
	if strings.HasPrefix(h.RequestURI, "/") {
		return h.RequestURI
	}
	return h.URL.RequestURI()
}

// identify resolves the request's workspace by its key. It returns false if the configuration
// requires keys and no workspace holds this one, unless the route allows anonymous requests and the
// request shows no key. On such a route a key also passes that a newer configuration may hold.
func (p *Proxier) identify(q *request) bool {
	if !q.table.RequiresKey() {
		return true
	}
	workspace, found := q.table.Workspace(q.in.Key)
	if found {
		q.workspace = workspace.Name
	}
	return found || q.route.Anonymous && (q.in.Key == "" || !p.options.FleetState.Current())
}

// maxKeyLogLines limits the log lines per second about keys that no workspace holds: a workspace
// that has lost its keys may keep sending at the rate of a flood.
const maxKeyLogLines = 5

// logRefusedKey logs why a key is refused: the version of the configuration that decided it, and
// the workspace that held the key before.
func (p *Proxier) logRefusedKey(q *request) {
	q.logged = true
	if !p.keyLogDamper.Admit(q.received, p.options.Log) {
		return
	}
	line := p.options.Log.Warn().Str("id", q.in.ID).Uint64("plan", q.table.Version()).Str("route", q.route.Name).Int("status", q.status)
	if former, found := q.table.RemovedKey(q.in.Key); found {
		line = line.Str("held_by", former.Workspace).Uint64("until", former.Since)
	}
	line.Msg("key refused")
}

func writeText(digest *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		digest.WriteString(text) //nolint:errcheck // it cannot fail
		digest.Write([]byte{0})  //nolint:errcheck // it cannot fail
	}
}

func writeCount(digest *xxhash.Digest, counts ...uint64) {
	var bytes [8]byte
	for _, count := range counts {
		binary.LittleEndian.PutUint64(bytes[:], count)
		digest.Write(bytes[:]) //nolint:errcheck // it cannot fail
	}
}
