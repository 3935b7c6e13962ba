package balancer

import (
	"math"
	"time"

	"shallotkeel.example/lib/predictor"
)

// Weights are the weights of a candidate's price. The unit of a price is the prefill of one prompt
// token.
type Weights struct {
	// Unread is the price of a prompt token that this router sent there and that is not prefilled
	// yet, Prefill of a token that this request adds, and Running of each running request of this
	// router: its steps take longer with one more request.
	Unread  float64
	Prefill float64
	Running float64
	// Late is the price of each token that the engine could prefill in the expected lateness of the
	// first token. The expectation includes the loads of all routers.
	Late float64
	// LateTransfers replaces Late where engines fetch cached prefixes from one another: a request that
	// leaves the engine that caches its prefix then costs little, and load decides where it goes.
	LateTransfers float64
	// Plain is the price of each running request of this router at an endpoint of a plain service.
	// Any value above 0 spreads requests evenly. The loads of other routers are not counted: a call
	// ends before it is reported, and all routers would turn to the endpoint that was idle in the
	// last report.
	Plain float64
	// Slowdown replaces Running where step times are known: it is the price of each token that the engine
	// could prefill in the time by which the requests of all routers there lengthen this one's
	// generation. A slow engine lengthens it as well. MaxSlowdown bounds this price, so that load alone
	// moves only requests whose shared parts are short: the parts of others would be prefilled again,
	// which costs more than it gains.
	Slowdown    float64
	MaxSlowdown float64
}

// DefaultWeights suit all deployments. Unread, Prefill and Running apply to this router's own load
// only: with the loads of all routers, requests would leave the engines that cache their parts too
// often, and the parts would be prefilled again. Late moves requests away from engines where they
// would be late.
var DefaultWeights = Weights{Unread: 0.2, Prefill: 2, Running: 200, Late: 0.3, LateTransfers: 1, Plain: 1, Slowdown: 0.1, MaxSlowdown: 300}

const (
	// penaltyPrice is added to the price of an endpoint for each level of its health penalty. It
	// exceeds the price of any load.
	penaltyPrice = 1e6
	// homeCachedShare is the share of the cached tokens that counts at the fleet's home engine,
	// where only the ranking says that it caches a part: other routers send the part there, but
	// this router has not observed it.
	homeCachedShare = 0.6
	// zoneHomeCachedShare is the share at the zone's home engine, to which only routers of one zone
	// send the part, and only as a second choice.
	zoneHomeCachedShare = 0.3
	// maxPrefillShare is the share of the longest gap between two events that prefills may take. The rest
	// is for the steps that generate an event, and for its way to the client.
	maxPrefillShare = 0.75
	// defaultTarget is the target of a request that has none.
	defaultTarget = 500 * time.Millisecond
)

// candidate is an endpoint with its price and expected latency for a request.
type candidate struct {
	endpoint      *endpoint
	price         float64
	penalty       healthPenalty
	tokens        promptTokens  // where the tokens of the prompt come from
	prefixes      *prefixes     // what the directory says about the prompt, nil if it was not looked up
	prefillTokens int           // tokens that the engine probably has to prefill for it
	queuedTokens  int           // unread tokens of other requests there
	wait          time.Duration // expected time to the first token
	queue         time.Duration // share of wait spent on requests sent earlier
	slotWait      time.Duration // share of queue until the engine has a free slot
}

// price returns the candidate for a request at an endpoint.
func (b *Balancer) price(now time.Time, e *endpoint, fit *predictor.Fit, work *Work, home homes) candidate {
	weights := b.Weights
	if weights == (Weights{}) {
		weights = DefaultWeights
	}
	c := candidate{endpoint: e, penalty: b.healthPenalty(now, e)}
	c.price = penaltyPrice * float64(c.penalty)
	if len(work.Parts) == 0 {
		c.price += weights.Plain * float64(e.own.running)
		return c
	}
	c.prefixes, c.tokens = home.prefixes, home.prefixes.promptTokens(e, fit, work, home.cachedShare(e))
	c.prefillTokens = c.tokens.prefill
	c.queuedTokens = b.unreadTokens(now, e)
	factor, overdue := e.waitFactor*e.factor.Get(now), e.overdue(now)
	c.slotWait = b.slotWait(now, e)
	c.wait = scale(fit.Wait(c.queuedTokens+c.prefillTokens), factor) + c.slotWait + overdue + c.tokens.fetchTime
	c.queue = scale(fit.PrefillTime(c.queuedTokens), factor) + c.slotWait + overdue
	late := b.gapLateness(now, e, work)
	lateWeight := weights.Late
	if home.transfers {
		late += fit.ExpectedLateness(c.wait, work.maxWait())
		lateWeight = weights.LateTransfers
	} else {
		late += fit.ExpectedLateness(c.wait, work.target())
	}
	c.price += weights.Unread*float64(e.own.unread) + weights.Prefill*(float64(c.prefillTokens)+c.tokens.fetchPrice) +
		b.runningPrice(now, e, fit, work, weights) + lateWeight*fit.PrefillTokens(late)
	return c
}

// maxWait returns the wait from which on answers are late: that of the request itself, by its target, or
// those of the streams that run at the engine, by the gap between their events. The engine prefills
// queued prompts between the steps of its running streams, whose next events wait for all of them.
func (w *Work) maxWait() time.Duration {
	if w.Gap <= 0 {
		return w.target()
	}
	return min(w.target(), time.Duration(maxPrefillShare*float64(w.Gap)))
}

// target returns the time within which the first token should arrive.
func (w *Work) target() time.Duration {
	if w.Target <= 0 {
		return defaultTarget
	}
	return w.Target
}

func scale(length time.Duration, factor float64) time.Duration {
	return time.Duration(math.Round(float64(length) * factor))
}
