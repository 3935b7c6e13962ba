package balancer

import (
	"math"
	"time"

	"shallotkeel.example/lib/predictor"
)

// Weights price a candidate, in tokens of prompt that an engine could read
// instead.
type Weights struct {
	// Waiting is the price of a prompt token that this router sent there and that is
	// not yet read; Reading of one that this request adds; Running of each of this
	// router's requests there, whose steps get longer by this one.
	Waiting float64
	Reading float64
	Running float64
	// Late is the price of each token that the engine could read in the time by which
	// the first token is too late in the mean. That counts all routers' loads.
	Late float64
	// Plain is the price of a request of this router that runs at a plain service. Any
	// value above 0 spreads evenly. What other routers have there is not counted: a call
	// is over before it is told, and all of them would turn to whoever was idle then.
	Plain float64
}

// DefaultWeights hold for all deployments. The own load counts in the first three, and not
// that of all routers: with it requests leave the engines that hold their parts too often,
// and the parts are read again. Where they would be late there, they go.
var DefaultWeights = Weights{Waiting: 0.2, Reading: 2, Running: 200, Late: 0.3, Plain: 1}

const (
	// lastChoice is added to the price of an endpoint for each degree of doubt. It is more
	// than any load costs.
	lastChoice = 1e6
	// guessed is the part of the saving that counts where only the ranking says
	// that an engine holds a part: other routers send there too, but this one
	// has not seen it.
	guessed = 0.6
	// zoneGuessed is the same of an engine that only routers of one zone choose by its
	// ranking, and after another one.
	zoneGuessed = 0.3
	// usualTarget stands for the target of a request that has none.
	usualTarget = 500 * time.Millisecond
)

// offer is what a candidate would mean for a request.
type offer struct {
	endpoint *endpoint
	price    float64
	doubt    doubt
	reading  int           // tokens that the engine probably has to read
	ahead    int           // tokens that others have there unread
	wait     time.Duration // until the first token, as expected
	queue    time.Duration // the part of it for what was sent before
}

// price returns what a candidate would mean for a request.
func (b *Balancer) price(now time.Time, e *endpoint, fit *predictor.Fit, work *Work, guess float64) offer {
	weights := b.Weights
	if weights == (Weights{}) {
		weights = DefaultWeights
	}
	o := offer{endpoint: e, doubt: b.doubt(now, e)}
	o.price = lastChoice * float64(o.doubt)
	if len(work.Parts) == 0 {
		o.price += weights.Plain * float64(e.own.running)
		return o
	}
	kept := e.held.kept(work)
	if shared := sum(work.shared()); kept < shared {
		kept += int(guess * float64(shared-kept))
	}
	o.reading = max(work.Prompt-kept, 0)
	o.ahead = b.unread(now, e)
	factor, overdue := e.factor.Get(now), e.overdue(now)
	o.wait = scale(fit.Wait(o.ahead+o.reading), factor) + overdue
	o.queue = scale(fit.Reading(o.ahead), factor) + overdue
	o.price += weights.Waiting*float64(e.own.unread) + weights.Reading*float64(o.reading) +
		weights.Running*float64(e.own.running) + weights.Late*fit.Tokens(fit.Late(o.wait, work.target()))
	return o
}

// target is the time within which the first token should come.
func (w *Work) target() time.Duration {
	if w.Target <= 0 {
		return usualTarget
	}
	return w.Target
}

func scale(length time.Duration, factor float64) time.Duration {
	return time.Duration(math.Round(float64(length) * factor))
}
