// Package estimator predicts the cost of a request before it runs.
//
// For each workspace and model it learns the mean cost and the value of the client's hints: the
// ratio of cost to hint, and the error of predictions from the hint compared with that of
// predictions from the mean. The predictor with the smaller error is used, so that a client whose
// hints are wrong by any factor, constant or not, gains nothing from them for longer than the
// learning takes.
//
// Invariants: an estimate is at least 1 and within a fixed factor of the learned mean; memory is
// bounded by MaxRecords.
package estimator

// Limits of the estimates and of the memory.
const (
	// DefaultCost is the estimate before any cost is known, in units.
	DefaultCost = 256
	// MaxRecords bounds the pairs of workspace and model that have a record of their own. All
	// further pairs share one record.
	MaxRecords = 16384
	// maxHintFactor is the maximum factor between an estimate from a hint and the mean, in both
	// directions.
	maxHintFactor = 8
	// gain is the EWMA weight of an observation once a record has 1/gain of them.
	gain = 1.0 / 16
	// minObservations is the number of costs after which a record's mean is used without its prior.
	minObservations = 4
)

// Estimator keeps a record per pair of workspace and model. The zero value is ready to use.
// Estimator is not safe for concurrent use.
type Estimator struct {
	records map[key]*Record
	all     Record
}

type key struct{ workspace, model string }

// Record holds the statistics of one workspace's requests to one model.
type Record struct {
	prior     *Record // completes the mean while this record has few costs
	count     float64
	mean      float64 // units
	ratio     float64 // cost divided by hint
	hintCount float64 // number of costs with a hint
	meanError float64 // mean absolute error of predictions from the mean, in units
	hintError float64 // mean absolute error of predictions from the hint, in units
}

// Record returns the pair's record. It is created on first use.
func (e *Estimator) Record(workspace, model string) *Record {
	pair := key{workspace: workspace, model: model}
	if existing, found := e.records[pair]; found {
		return existing
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

// Mean returns the mean cost of all requests, DefaultCost before any cost is known.
func (e *Estimator) Mean() float64 {
	if e.all.count == 0 {
		return DefaultCost
	}
	return e.all.mean
}

// Estimate predicts the cost of a request in units. Hint is the client's hint, 0 if there is none.
func (r *Record) Estimate(hint uint32) uint32 {
	mean := r.expectedCost()
	estimate := mean
	if hint > 0 {
		estimate = r.fromHint(float64(hint), mean)
	}
	return uint32(max(1, min(estimate, 1<<31)))
}

func (r *Record) fromHint(hint, mean float64) float64 {
	if r.hintCount < minObservations {
		// The hint of a client without a history may only lower the estimate, and by no more than
		// half: a client that claims a low cost must not get more than its share for it.
		return max(min(hint, mean), mean/2)
	}
	if r.hintError >= r.meanError {
		return mean
	}
	return min(max(hint*r.ratio, mean/maxHintFactor), mean*maxHintFactor)
}

// expectedCost returns the mean, mixed with the prior's while few costs are known.
func (r *Record) expectedCost() float64 {
	if r.prior == nil {
		if r.count == 0 {
			return DefaultCost
		}
		return r.mean
	}
	if r.count >= minObservations {
		return r.mean
	}
	return (r.mean*r.count + r.prior.expectedCost()*(minObservations-r.count)) / minObservations
}

// Learn records the cost of a request with the given hint, 0 if there was none. Only requests that
// ran to their end may be recorded: the cost of an abandoned one depends on when its client left.
func (r *Record) Learn(hint, cost uint32) {
	if r.prior != nil {
		r.prior.Learn(0, cost)
	}
	if hint > 0 {
		r.learnHint(float64(hint), float64(cost))
	}
	r.count++
	r.mean += observationWeight(r.count) * (float64(cost) - r.mean)
}

func (r *Record) learnHint(hint, cost float64) {
	r.hintCount++
	weight := observationWeight(r.hintCount)
	if r.hintCount > 1 {
		r.hintError += weight * (absDifference(hint*r.ratio, cost) - r.hintError)
		r.meanError += weight * (absDifference(r.expectedCost(), cost) - r.meanError)
	}
	r.ratio += weight * (cost/hint - r.ratio)
}

// observationWeight returns the weight of the next observation: an arithmetic mean at first, then
// an exponentially weighted one.
func observationWeight(count float64) float64 {
	return max(1/count, gain)
}

func absDifference(a, b float64) float64 {
	if a > b {
		return a - b
	}
	return b - a
}
