package server

import (
	"context"
	"slices"
	"time"

	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
)

const (
	// maxRelayedReports bounds the reports of crashes that are kept for relaying.
	maxRelayedReports = 1 << 12
	// quarantineRefresh is how often a follower gets quarantines that have not changed: an answer may be
	// lost.
	quarantineRefresh = 3 * time.Second
	// replicateTimeout bounds the attempts to replicate a quarantine or its end.
	replicateTimeout = 10 * time.Second
)

// crashReports holds what routers and other keepers report of crashed endpoints, and the quarantines
// that follow from it. Its copy on disk lacks the last second after a kill. Its zero value is empty. The
// directory's lock protects it.
type crashReports struct {
	judge    localizer.Judge
	received relayQueue[localizer.Report]
	// unreplicated are the quarantines that this keeper has begun or ended, until they are replicated.
	unreplicated []localizer.Quarantine
	// leads is set while this keeper leads the group and grants trials.
	leads bool
	// begun and lifted count the quarantines that this keeper has begun and ended.
	begun, lifted int
}

// receive records a report, and reports whether the quarantines changed by it.
func (c *crashReports) receive(now time.Time, request *messenger.FollowRequest) bool {
	report := localizer.ReportFrom(request, now)
	if len(report.Crashes) == 0 && len(report.Answers) == 0 {
		return false
	}
	for _, crash := range report.Crashes {
		c.judge.AddCrash(now, crash)
	}
	before := c.judge.Revision()
	for _, answer := range report.Answers {
		if c.judge.AddAnswer(now, answer) {
			c.lifted++
			c.unreplicated = append(c.unreplicated, localizer.Quarantine{Feature: answer.Feature})
		}
	}
	if !request.GetKeeper() {
		report.Refused = nil
		c.received.add(now, maxRelayedReports, report)
	}
	return c.decide(now) || c.judge.Revision() != before
}

// decide begins the quarantines that follow from the reports, and reports whether there are any.
func (c *crashReports) decide(now time.Time) bool {
	convicted := c.judge.Verdicts(now)
	for _, feature := range convicted {
		c.begun++
		c.unreplicated = append(c.unreplicated, localizer.Quarantine{Feature: feature, Left: localizer.QuarantineTime})
	}
	return len(convicted) > 0
}

// expire drops what is too old, and reports whether the quarantines changed.
func (c *crashReports) expire(now time.Time) bool {
	c.judge.Expire(now)
	return c.decide(now)
}

// revision increases with each change of the quarantines.
func (c *crashReports) revision() uint64 {
	return c.judge.Revision()
}

// answer adds the suspects to the answer to a follower's poll, the quarantines if the follower may not
// have the current ones, and a trial if one is due for a feature that it refuses.
func (c *crashReports) answer(now time.Time, known *follower, request *messenger.FollowRequest, response *messenger.FollowResponse) {
	var told []localizer.Quarantine
	current := known.sentQuarantine == c.revision() && now.Sub(known.sentQuarantineAt) < quarantineRefresh
	for _, q := range c.judge.Quarantines(now) {
		refused := slices.Contains(request.GetRefused(), uint64(q.Feature))
		q.Trial = c.leads && refused && c.judge.GrantTrial(now, q.Feature)
		if !current || q.Trial {
			told = append(told, q)
		}
	}
	localizer.AddTo(response, told, c.judge.Suspects())
	if !current {
		known.sentQuarantine, known.sentQuarantineAt = c.revision(), now
	}
}

// relay adds the reports that routers sent to this keeper from a time on to its poll of another keeper.
func (c *crashReports) relay(now, since time.Time, request *messenger.FollowRequest) {
	for _, report := range c.received.since(now, since) {
		report.AddTo(request, now)
	}
}

// crashEvidence returns the current revision of what this keeper knows of crashes, and all of it if that
// revision differs from the given one.
func (d *directory) crashEvidence(revision uint64) (uint64, localizer.Report) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if current := d.crashes.judge.Recorded(); current != revision {
		return current, d.crashes.judge.Evidence()
	}
	return revision, localizer.Report{}
}

// restoreCrashes adds what this keeper knew of crashes before a restart.
func (d *directory) restoreCrashes(now time.Time, evidence localizer.Report) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.crashes.judge.Restore(now, evidence)
}

// takeUnreplicated returns the changes of quarantines that are to be replicated, once.
func (d *directory) takeUnreplicated() []localizer.Quarantine {
	d.lock.Lock()
	defer d.lock.Unlock()
	changes := d.crashes.unreplicated
	d.crashes.unreplicated = nil
	return changes
}

// applyReplicated applies the replicated quarantines, and whether this keeper leads. It reports
// whether the quarantines changed.
func (d *directory) applyReplicated(now time.Time, fingerprints []*messenger.Fingerprint) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	before := d.crashes.revision()
	d.crashes.judge.SetReplicated(now, localizer.QuarantinesFrom(fingerprints))
	return d.crashes.revision() != before
}

// crashCounts is what the metrics tell of crashes.
type crashCounts struct {
	quarantined, suspects, known, begun, lifted int
}

// crashCounts returns the current counts.
func (d *directory) crashCounts() crashCounts {
	d.lock.Lock()
	defer d.lock.Unlock()
	return crashCounts{
		quarantined: d.crashes.judge.QuarantineCount(), suspects: len(d.crashes.judge.Suspects()),
		known: d.crashes.judge.CrashCount(), begun: d.crashes.begun, lifted: d.crashes.lifted,
	}
}

// setLeads records whether this keeper leads its group.
func (d *directory) setLeads(now time.Time, leads bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if leads && !d.crashes.leads {
		d.crashes.judge.Lead(now)
	}
	d.crashes.leads = leads
}

// replicateQuarantines replicates the quarantines that this keeper has begun or ended, so that they
// survive a loss of power. Without a quorum they are in force at the routers that follow this keeper.
func (s *Server) replicateQuarantines() {
	changes := s.directory.takeUnreplicated()
	if len(changes) == 0 {
		return
	}
	request := &messenger.QuarantineRequest{}
	for _, change := range changes {
		event := s.log.Warn().Hex("feature", change.Feature.Bytes())
		if change.Left > 0 {
			event.Dur("left_ms", change.Left).Msg("feature is quarantined: endpoints crash under requests that have it, and none is answered")
		} else {
			event.Msg("quarantine is lifted: a request with the feature was answered")
		}
		request.Fingerprints = append(request.Fingerprints, &messenger.Fingerprint{Digest: uint64(change.Feature), LeftMs: uint32(change.Left.Milliseconds())})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), replicateTimeout)
		defer cancel()
		if _, err := (keeping{s}).Quarantine(ctx, request); err != nil {
			s.log.Warn().Err(err).Int("changes", len(changes)).Msg("change of quarantines is not replicated; it holds at the routers that follow this keeper")
		}
	}()
}
