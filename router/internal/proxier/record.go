package proxier

import "time"

// sinceFirst returns how long ago the request first arrived, 0 if it is not a retry.
func (q *request) sinceFirst() time.Duration {
	if q.firstReceived.IsZero() {
		return 0
	}
	return q.received.Sub(q.firstReceived)
}

// record counts a request that has ended and writes its log line.
func (p *Proxier) record(q *request) {
	now := p.options.Clock.Now()
	took := now.Sub(q.received)
	if q.cutBy == cutByClient && q.stopped() {
		q.cutBy = cutByStop // the write to the client was ended
	}
	p.options.Metrics.observe(q, took)
	p.workspaces.add(now, p.options.Log, p.options.Shares, q)
	p.refusals.add(now, q.refusedBy == byRouter)
	if q.refusedBy != notRefused {
		p.refused.Add(1)
	}
	if q.logged || q.sends == 0 && q.unsentAttempts == 0 && !p.logDamper.Admit(now, p.options.Log) {
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
	if q.quarantinedBy != "" {
		line = line.Str("feature", q.quarantinedBy).Str("part", q.quarantinedPart)
	}
	line = q.addParts(line)
	line.Str("id", q.in.ID).Str("resumes", q.in.Resumes).Str("after_event", q.in.Resume).Str("workspace", q.workspace).
		Str("service", q.service).Str("endpoint", q.endpoint).Str("version", q.in.Work.Version).
		Int("sends", q.sends).Dur("list_age_ms", q.listAge).Int("unreached", q.unsentAttempts).Int("status", q.status).
		Str("framing", q.framing.String()).Str("cut_by", cutLabels[q.cutBy]).Str("reason", q.reason).
		Int("tokens", q.tokens()).Int("reading", q.prefillTokens).Str("fetch_from", q.loggedSource()).Int("fetch_tokens", q.fetchTokens).Bool("spare", q.beyondShare).Dur("target_ms", q.in.Work.Target).
		Dur("queue_ms", q.queueWait).Dur("expected_ms", q.expectedFirst).Dur("slot_ms", q.slotWait).Dur("error_ms", q.firstError).
		Int("expected_output", q.in.Work.Expected).Int("hint", q.in.Work.Hint).Dur("since_ms", q.sinceFirst()).
		Dur("first_ms", q.timeToFirst).Dur("took_ms", took).Msg("request")
}
