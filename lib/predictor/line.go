package predictor

// line is a least-squares line over observations whose weight decays with each later one.
type line struct {
	count, x, y, square, product float64 // decayed sums
}

// observe records an observation after it has decayed the earlier ones.
func (l *line) observe(x, y float64) {
	l.count = decayPerAnswer*l.count + 1
	l.x = decayPerAnswer*l.x + x
	l.y = decayPerAnswer*l.y + y
	l.square = decayPerAnswer*l.square + x*x
	l.product = decayPerAnswer*l.product + x*y
}

// means returns the mean of both coordinates.
func (l *line) means() (x, y float64) {
	return l.x / l.count, l.y / l.count
}

// minVariance is the variance of the first coordinate up to which a line has no slope.
const minVariance = 1

// slope returns the slope, and whether the observations differ enough to have one.
func (l *line) slope() (float64, bool) {
	x, y := l.means()
	variance := l.square/l.count - x*x
	if variance <= minVariance {
		return 0, false
	}
	return (l.product/l.count - x*y) / variance, true
}
