package passer

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
	// startWait is how long a request waits for the first configuration of a router that
	// has just started: keepers that run bring it within some 0.1 s, and those that have
	// started with it within 0.4 s. Most callers come back only once, and a whole fleet
	// that has lost power has all of them before it at that moment.
	startWait = 400 * time.Millisecond
	// retryStart is when to come back to a router that still has none.
	retryStart = 500 * time.Millisecond
	// lateShare is the part of its target after which a request that comes again
	// counts as late: engines with room answer within a third of the target.
	lateShare = 0.6
	// outputPrice is what a generated token counts against the tokens a second
	// that a configuration states; a token of the prompt counts once.
	outputPrice = 2
	// tooMuch and noShare are what clients are told most often.
	tooMuch = "this router has too much to do"
	noRoom  = "the service is asked for more than it can answer in time"
	noShare = "the workspace has used its share"
	// defaultBody bounds a request's body where the configuration does not.
	defaultBody = 4 << 20
)

// admit finds the request's route and workspace and reads its body. It answers
// what cannot be passed on.
func (p *Passer) admit(q *request) bool {
	q.table = p.firstTable(q)
	if q.table == nil {
		p.refuse(q, byConfiguration, http.StatusServiceUnavailable, "no configuration yet", retryStart)
		return false
	}
	if !p.locate(q) {
		p.refuse(q, byRule, http.StatusNotFound, "no route", 0)
		return false
	}
	if !p.identify(q) {
		p.refuse(q, byKey, http.StatusUnauthorized, "no workspace holds the key", 0)
		p.tellKey(q)
		return false
	}
	if p.busy(q) {
		// Taking the request here would make it late, and every other one with it.
		p.unheard(q)
		p.refuse(q, byRouter, http.StatusServiceUnavailable, tooMuch, p.roomPause(q.received))
		return false
	}
	if !p.readBody(q) {
		return false
	}
	q.until = q.received.Add(q.route.Timeout)
	if q.in.Deadline > 0 && q.in.Deadline < q.route.Timeout {
		q.until = q.received.Add(q.in.Deadline)
	}
	q.in.Work.Target, q.in.Work.Objective = q.left(), q.route.Target
	q.in.Work.Late = q.late()
	q.digest = fingerprint(q)
	if p.options.News.Quarantined(q.digest) {
		p.refuse(q, byRule, http.StatusServiceUnavailable, "it has crashed the endpoints that ran it", 0)
		return false
	}
	return p.takeUp(q) && p.withinShare(q)
}

// locate finds the request's route and service, and when it came first.
func (p *Passer) locate(q *request) bool {
	q.target = targetOf(q.http)
	path, _, _ := strings.Cut(q.target, "?")
	route, found := q.table.Route(q.http.Host, path)
	if !found {
		return false
	}
	q.route = route
	q.service = route.Pick(rand.Float64())
	q.name = nameOf(q)
	q.came = p.returns.first(q.received, q.name)
	return true
}

// firstTable returns the configuration in force. It waits for the first one.
func (p *Passer) firstTable(q *request) *resolver.Table {
	if table := p.options.News.Table(); table != nil {
		return table
	}
	select {
	case <-p.options.News.Begun():
	case <-p.options.Clock.After(startWait):
	case <-q.http.Context().Done():
	}
	return p.options.News.Table()
}

// withinShare tells whether the request's workspace may use engines now.
func (p *Passer) withinShare(q *request) bool {
	if !p.sharesEngines(q) {
		return true
	}
	tokens := float64(q.tokens())
	d := p.options.Shares.Admit(q.received, q.workspace, tokens, q.late())
	if !d.Admitted {
		p.usedUp(q, d)
		p.refuse(q, byShare, http.StatusTooManyRequests, noShare, max(d.RetryAfter, retrySoon))
		return false
	}
	q.spare = d.BestEffort
	if !p.keepsOthersWaiting(q) {
		return true
	}
	p.options.Shares.Refund(q.workspace, tokens, true)
	p.refuse(q, byEngines, http.StatusTooManyRequests, "the workspace has used its share, and engines are busy", retryBusy)
	return false
}

// sharesEngines tells whether shares bound a request. Only engines are shared by
// tokens; plain services take what comes.
func (p *Passer) sharesEngines(q *request) bool {
	service, found := q.table.Service(q.service)
	return found && service.Engine != nil
}

// usedUp notes a refusal for want of share, and on what it rests.
func (p *Passer) usedUp(q *request, d apportioner.Decision) {
	q.refused, q.told = byShare, true
	p.press(q.received)
	if p.quietly.Admit(q.received, p.options.Log) {
		p.options.Log.Info().Str("id", q.in.ID).Str("workspace", q.workspace).Int("tokens", q.tokens()).
			Float64("asked", d.Demand).Float64("share", d.Share).Float64("local", d.LocalShare).Float64("stretch", d.Stretch).
			Dur("backlog_ms", d.Backlog).Dur("age_ms", d.Age).Dur("pause_ms", d.RetryAfter).Msg("share used up")
	}
}

// tokens is what the request counts against its workspace's share.
func (q *request) tokens() int {
	return q.in.Work.Prompt + outputPrice*q.in.Work.Output
}

// left is what is left of the time within which the answer should begin. One that
// is late already is in no less hurry than one that came now.
func (q *request) left() time.Duration {
	return max(q.route.Target-q.received.Sub(q.came), q.route.Target/4)
}

// late tells whether the request was refused here so long ago that its answer can
// hardly be on time.
func (q *request) late() bool {
	return q.route.Target > 0 && q.received.Sub(q.came) >= time.Duration(lateShare*float64(q.route.Target))
}

// busy tells whether the router has no room for one more request of a workspace.
func (p *Passer) busy(q *request) bool {
	return p.full(q.received) && (q.late() || p.crowds(q.received, q.workspace))
}

// full tells whether the router has no room for one more request, whoever asks.
func (p *Passer) full(now time.Time) bool {
	if p.options.Most == 0 {
		return false
	}
	full := p.Running() > p.options.Most || p.options.Lags != nil && p.options.Lags() || !p.options.Starts.Available(now)
	if full {
		p.press(now)
	}
	return full
}

// crowds tells whether a workspace has its even part of a router that is full.
func (p *Passer) crowds(now time.Time, workspace string) bool {
	return p.options.Starts.ExceedsShare(now, workspace) || p.drain.crowds(workspace, p.options.Most)
}

// targetOf returns path and query exactly as the client wrote them.
func targetOf(h *http.Request) string {
	if strings.HasPrefix(h.RequestURI, "/") {
		return h.RequestURI
	}
	return h.URL.RequestURI()
}

func (p *Passer) identify(q *request) bool {
	if !q.table.RequiresKey() {
		return true
	}
	workspace, found := q.table.Workspace(q.in.Key)
	if found {
		q.workspace = workspace.Name
	}
	return found || q.route.Anonymous
}

// mostKeyLines bounds the lines a second on keys that nobody holds: a workspace that has lost
// its keys may go on as a flood.
const mostKeyLines = 5

// tellKey writes why a key is refused: which version decided, and who held the key before.
func (p *Passer) tellKey(q *request) {
	q.told = true
	if !p.keys.Admit(q.received, p.options.Log) {
		return
	}
	line := p.options.Log.Warn().Str("id", q.in.ID).Uint64("plan", q.table.Version()).Str("route", q.route.Name).Int("status", q.status)
	if former, found := q.table.RemovedKey(q.in.Key); found {
		line = line.Str("held_by", former.Workspace).Uint64("until", former.Since)
	}
	line.Msg("key refused")
}

// fingerprint names a request that may come again under another id.
func fingerprint(q *request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	writeText(&digest, q.http.Host, q.target, q.in.Key)
	digest.Write(q.body) //nolint:errcheck // it cannot fail
	return digest.Sum64()
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
