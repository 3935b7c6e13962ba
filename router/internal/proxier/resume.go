package proxier

import (
	"errors"
	"net/http"
	"time"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/lib/versioner"
)

// admitResume finds the service and software version at which a stream was begun that the client
// resumes. Events of two versions are not compatible and endpoints do not check this. A stream is
// therefore refused if its origin is unknown or cannot be confirmed, or no endpoint of its version is left; it is never
// sent to an endpoint of another version.
func (p *Proxier) admitResume(q *request) bool {
	if q.route.Kind != resolver.Stream || q.in.Resume == "" && q.in.Resumes == "" {
		return true
	}
	origin, err := p.options.Streams.Find(q.http.Context(), versioner.StreamID{Request: q.in.Resumes, Content: q.digest})
	q.service, q.in.Work.Version = origin.Service, origin.Version
	reason, pause := "", time.Duration(0)
	switch {
	case errors.Is(err, versioner.ErrUnconfirmed):
		reason, pause = err.Error()+"; ask again, or another router", confirmRetryAfter
	case err != nil:
		reason = err.Error() + "; begin it anew"
	case !q.route.Includes(origin.Service):
		reason = "the stream began at a service that has this route no more; begin it anew"
	case !p.canResume(q, origin):
		reason = "no endpoint has the software any more that began the stream; begin it anew"
	default:
		return true
	}
	p.refuse(q, byVersion, http.StatusServiceUnavailable, reason, pause)
	return false
}

// confirmRetryAfter is the Retry-After of a stream that no keeper could be asked for. A keeper that is down is back, or
// replaced as leader, within a second, and other routers may reach one.
const confirmRetryAfter = 300 * time.Millisecond

// canResume reports whether there is an endpoint where a stream of the origin can be resumed.
func (p *Proxier) canResume(q *request, origin versioner.Origin) bool {
	if p.options.Balancer.HasEligible(origin.Service, &q.in.Work) {
		return true
	}
	p.options.Streams.LearnEndpoints(q.http.Context(), origin)
	return p.options.Balancer.HasEligible(origin.Service, &q.in.Work)
}

// noteVersion records the software version at which a stream begins or is resumed, so that it is
// resumed only at that version: within this answer, or in a later request of its client. An unknown
// version is recorded as well: otherwise the stream would be taken for another one that is recorded. The
// record of a long stream is renewed before others drop it.
func (p *Proxier) noteVersion(q *request, slot *balancer.Slot) {
	if q.lastHeard.Sub(q.stream.versionNoted) < versioner.Retention/4 {
		return
	}
	renewed := !q.stream.versionNoted.IsZero()
	q.stream.versionNoted = q.lastHeard
	q.in.Work.Version = slot.Version
	origin := versioner.Origin{Service: q.service, Version: slot.Version}
	switch {
	case !q.route.Resumable:
	case renewed:
		p.options.Streams.RenewOrigin(q.streamID(), origin)
	default:
		p.options.Streams.RecordOrigin(q.http.Context(), q.streamID(), origin)
	}
}

// streamID returns the name under which the stream of a request is recorded.
func (q *request) streamID() versioner.StreamID {
	name := versioner.StreamID{Request: q.in.Resumes, Content: q.digest}
	if q.in.Resumes == "" {
		name.Request = q.in.ID
	}
	return name
}

// restartDoubt is the time within which a stream has had a part from the new process of an endpoint, if
// it comes from that: a new process announces itself at its start, and streams pause for less.
const restartDoubt = time.Second

// doubtVersion makes the version of a stream unknown whose endpoint has restarted with another version,
// if the new process may have sent events of it: the request may have reached that one, at the same
// address and under the same id, before this router heard of the restart.
func (p *Proxier) doubtVersion(q *request, slot *balancer.Slot) {
	silence := p.options.Clock.Since(q.lastHeard)
	if q.answerBegan.IsZero() || q.stream.versionNoted.IsZero() || silence > restartDoubt || p.options.Balancer.Version(slot.ID) == slot.Version {
		return
	}
	p.options.Log.Warn().Str("id", q.in.ID).Str("endpoint", slot.ID).Str("version", slot.Version).
		Msg("endpoint restarted with another version while it sent a stream; the stream is not resumed")
	q.in.Work.Version = ""
	if q.route.Resumable {
		p.options.Streams.RecordOrigin(q.http.Context(), q.streamID(), versioner.Origin{Service: q.service})
	}
}
