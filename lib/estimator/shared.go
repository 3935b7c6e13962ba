package estimator

import "sync"

// Shared is an Estimator that is safe for concurrent use. The zero value is ready to use.
type Shared struct {
	mutex     sync.Mutex
	estimator Estimator
}

// Estimate predicts the cost of a request, as Record.Estimate does. Hint is 0 if there is none.
func (s *Shared) Estimate(workspace, kind string, hint uint32) uint32 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.estimator.Record(workspace, kind).Estimate(hint)
}

// Learn records the cost of a request that ran to its end, as Record.Learn does.
func (s *Shared) Learn(workspace, kind string, hint, cost uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.estimator.Record(workspace, kind).Learn(hint, cost)
}
