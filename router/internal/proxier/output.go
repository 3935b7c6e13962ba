package proxier

import (
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

// expectedOutput returns the number of tokens that the request will probably generate, learned from the
// earlier streams of its workspace and route. It is 0 if it is not a stream.
func (p *Proxier) expectedOutput(q *request) int {
	if q.route.Kind != resolver.Stream || q.in.Work.Output == 0 {
		return 0
	}
	return min(int(p.outputs.Estimate(q.workspace, q.route.Name, uint32(q.in.Work.Hint))), q.in.Work.Output)
}

// learnOutput records the output of a stream that its endpoint has completed. A resumed stream is not
// recorded, because only a part of it was sent here.
func (p *Proxier) learnOutput(q *request, slot *balancer.Slot) {
	if q.in.Resume != "" || q.sends > 1 || slot.OutputTokens() == 0 {
		return
	}
	p.outputs.Learn(q.workspace, q.route.Name, uint32(q.in.Work.Hint), uint32(slot.OutputTokens()))
}
