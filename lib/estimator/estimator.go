// Package estimator predicts what a request will cost before it has run.
//
// It learns per workspace and model the mean cost, and what the caller's hint
// is worth: the ratio of cost to hint, and how far predictions from the hint
// were off compared with predictions from the mean. The better predictor wins,
// so a caller whose hints lie by any factor, constant or not, gains nothing
// from them for longer than it takes to learn.
//
// Invariants: an estimate is at least 1 and within a fixed factor of the
// learned mean; memory is bounded by MaxRecords.
package estimator

// Limits of the estimates and of memory.
const (
	// Standard is the estimate while nothing at all is known, in units.
	Standard = 256
	// MaxRecords bounds the workspace and model pairs that learn on their own;
	// all beyond share one record.
	MaxRecords = 16384
	// spread bounds an estimate from a hint to this factor around the mean.
	spread = 8
	// gain is the weight of a new observation once a record is settled.
	gain = 1.0 / 16
	// settled is how many costs a record needs before its mean is trusted.
	settled = 4
)

// Estimator keeps a record per workspace and model. The zero value is ready.
type Estimator struct {
	records map[key]*Record
	all     Record
}

type key struct{ workspace, model string }

// Record is what is known of one workspace's requests to one model.
type Record struct {
	prior    *Record // where to look while this record is not settled
	count    float64
	mean     float64 // units
	ratio    float64 // cost over hint
	hints    float64 // how many costs came with a hint
	missMean float64 // mean distance of the mean's predictions, units
	missHint float64 // mean distance of the hint's predictions, units
}

// Record returns the pair's record, made on first use.
func (e *Estimator) Record(workspace, model string) *Record {
	pair := key{workspace: workspace, model: model}
	if known, found := e.records[pair]; found {
		return known
	}
	if len(e.records) >= MaxRecords {
		return &e.all
	}
	if e.records == nil {
		e.records = make(map[key]*Record)
	}
	record := &Record{prior: &e.all}
	e.records[pair] = record
	return record
}

// Mean returns the mean cost of all requests, Standard while none is known.
func (e *Estimator) Mean() float64 {
	if e.all.count == 0 {
		return Standard
	}
	return e.all.mean
}

// Estimate predicts the cost of a request with this hint, 0 if it has none.
func (r *Record) Estimate(hint uint32) uint32 {
	mean := r.expect()
	estimate := mean
	if hint > 0 {
		estimate = r.fromHint(float64(hint), mean)
	}
	return uint32(max(1, min(estimate, 1<<31)))
}

func (r *Record) fromHint(hint, mean float64) float64 {
	if r.hints < settled {
		// An untried hint may only lower the estimate, and not by much: a
		// caller that claims little must not get more than its share for it.
		return max(min(hint, mean), mean/2)
	}
	if r.missHint >= r.missMean {
		return mean
	}
	return min(max(hint*r.ratio, mean/spread), mean*spread)
}

// expect is the mean, mixed with the prior's while few costs are known.
func (r *Record) expect() float64 {
	if r.prior == nil {
		if r.count == 0 {
			return Standard
		}
		return r.mean
	}
	if r.count >= settled {
		return r.mean
	}
	return (r.mean*r.count + r.prior.expect()*(settled-r.count)) / settled
}

// Learn takes in what a request with this hint has cost. Only requests that ran
// to their end teach: an abandoned one tells when its caller left.
func (r *Record) Learn(hint, cost uint32) {
	if r.prior != nil {
		r.prior.Learn(0, cost)
	}
	if hint > 0 {
		r.learnHint(float64(hint), float64(cost))
	}
	r.count++
	r.mean += step(r.count) * (float64(cost) - r.mean)
}

func (r *Record) learnHint(hint, cost float64) {
	r.hints++
	weight := step(r.hints)
	if r.hints > 1 {
		r.missHint += weight * (distance(hint*r.ratio, cost) - r.missHint)
		r.missMean += weight * (distance(r.expect(), cost) - r.missMean)
	}
	r.ratio += weight * (cost/hint - r.ratio)
}

// step is the weight of the next observation: a plain mean at first, then a
// moving one.
func step(count float64) float64 {
	return max(1/count, gain)
}

func distance(a, b float64) float64 {
	if a > b {
		return a - b
	}
	return b - a
}
