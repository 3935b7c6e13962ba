package passer

import "time"

// since is how long ago the request came for the first time, 0 if that was now.
func (q *request) since() time.Duration {
	if q.came.IsZero() {
		return 0
	}
	return q.received.Sub(q.came)
}

// record writes the one line that tells a request's story, and counts it.
func (p *Passer) record(q *request) {
	now := p.options.Clock.Now()
	took := now.Sub(q.received)
	p.options.Metrics.ended(q, took)
	p.ledger.add(now, p.options.Log, p.options.Shares, q)
	p.odds.add(now, q.refused == byRouter)
	if q.refused != passed {
		p.refused.Add(1)
	}
	if q.told || q.sends == 0 && q.unsent == 0 && !p.quietly.Admit(now, p.options.Log) {
		return
	}
	line := p.options.Log.Info()
	if q.reason != "" {
		line = p.options.Log.Warn()
	}
	if q.table != nil {
		line = line.Uint64("plan", q.table.Version())
	}
	if q.route != nil {
		line = line.Str("route", q.route.Name)
	}
	line.Str("id", q.in.ID).Str("resumes", q.in.Resumes).Str("workspace", q.workspace).
		Str("service", q.service).Str("endpoint", q.endpoint).Str("version", q.in.Work.Version).
		Int("sends", q.sends).Int("unreached", q.unsent).Int("status", q.status).
		Str("framing", q.framing.String()).Str("reason", q.reason).
		Int("tokens", q.tokens()).Int("reading", q.reading).Bool("spare", q.spare).Dur("target_ms", q.in.Work.Target).
		Dur("queue_ms", q.queue).Dur("expected_ms", q.expected).Dur("since_ms", q.since()).
		Dur("first_ms", q.first).Dur("took_ms", took).Msg("request")
}
