package passer

import (
	"net/http"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/lib/versioner"
)

// takeUp finds where a stream goes on that its client takes up: at the version of the software
// that began it. What two versions write does not fit together and endpoints do not check it, so
// that a stream which nobody knows, or of whose version nothing is left, is refused and never
// sent to any other.
func (p *Passer) takeUp(q *request) bool {
	if q.route.Kind != resolver.Stream || q.in.Resume == "" && q.in.Resumes == "" {
		return true
	}
	origin, found := p.options.Streams.Find(q.http.Context(), versioner.StreamID{Request: q.in.Resumes, Content: q.digest})
	q.service, q.in.Work.Version = origin.Service, origin.Version
	reason := ""
	switch {
	case !found:
		reason = "nobody here knows which software began the stream; begin it anew"
	case !q.route.Includes(origin.Service):
		reason = "the stream began at a service that has this route no more; begin it anew"
	case !p.offers(q, origin):
		reason = "no endpoint has the software any more that began the stream; begin it anew"
	default:
		return true
	}
	p.refuse(q, byVersion, http.StatusServiceUnavailable, reason, 0)
	return false
}

// offers tells whether there is an endpoint where a stream of an origin may go on.
func (p *Passer) offers(q *request, origin versioner.Origin) bool {
	if p.options.Balancer.HasEligible(origin.Service, &q.in.Work) {
		return true
	}
	p.options.Streams.Widen(q.http.Context(), origin)
	return p.options.Balancer.HasEligible(origin.Service, &q.in.Work)
}

// noteVersion notes at which software version a stream begins or goes on, so that it goes on
// nowhere else: within this answer, or where its client takes it up.
func (p *Passer) noteVersion(q *request, slot *balancer.Slot) {
	if q.stream.noted {
		return
	}
	q.stream.noted = true
	q.in.Work.Version = slot.Version
	if slot.Version == "" || !q.route.Resumable {
		return
	}
	name := versioner.StreamID{Request: q.in.Resumes, Content: q.digest}
	if q.in.Resumes == "" {
		name.Request = q.in.ID
	}
	p.options.Streams.Begun(name, versioner.Origin{Service: q.service, Version: slot.Version})
}
