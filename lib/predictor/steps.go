package predictor

import "time"

const (
	// minSteps is the number of observed gaps from which on step times count as known.
	minSteps = 20
	// maxStepTime bounds the time for one token of a stream: a fit over few streams may be far off.
	maxStepTime = 200 * time.Millisecond
)

// Steps is the linear fit of the time that an engine of one service takes for each token of a stream,
// over the number of requests that it runs: each step generates a token of every running request, and
// takes longer with more of them. The zero value knows no step times.
type Steps struct {
	times     line // running requests and seconds per token
	base      float64
	perStream float64
}

// Observe records the mean time for a token of a stream, and the number of requests that its engine ran.
func (s *Steps) Observe(running int, perToken time.Duration) {
	s.times.observe(float64(running), min(perToken, maxStepTime).Seconds())
	s.perStream = 0
	meanRunning, meanTime := s.times.means()
	if slope, found := s.times.slope(); found && meanRunning > 0 {
		s.perStream = min(max(slope, 0), meanTime/meanRunning)
	}
	s.base = meanTime - s.perStream*meanRunning
}

// Known reports whether there are enough observations for predictions.
func (s *Steps) Known() bool {
	return s.times.count >= minSteps
}

// Time returns the predicted time for a token at an engine of mean speed that runs a number of requests.
func (s *Steps) Time(running int) time.Duration {
	return seconds(s.base + s.perStream*float64(max(running, 0)))
}
