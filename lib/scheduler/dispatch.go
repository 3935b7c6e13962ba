package scheduler

import "time"

// lane returns the workspace's lane for this key and creates it on first use.
func (p *Pool) lane(w *workspace, key laneKey, avoid []string) *lane {
	if known, found := w.lanes[key]; found {
		return known
	}
	p.laneNumber++
	added := &lane{
		key: key, workspace: w, avoid: avoid, heapIndex: -1, created: p.laneNumber,
		record: p.estimator.Record(w.name, key.model),
	}
	w.lanes[key] = added
	return added
}

// activate adds a lane that has received work to its group.
func (p *Pool) activate(now time.Time, l *lane) {
	if l.active {
		return
	}
	l.active = true
	l.workspace.active = append(l.workspace.active, l)
	p.assignGroup(now, l)
}

// deactivate removes a lane without work from its workspace's active lanes. The
// lane itself is kept for reuse, unless its key is unlikely to recur or the
// workspace has too many lanes.
func (p *Pool) deactivate(l *lane) {
	if l.count > 0 || !l.active {
		return
	}
	w := l.workspace
	l.active = false
	l.strandedSince = time.Time{}
	for i, other := range w.active {
		if other == l {
			w.active = append(w.active[:i], w.active[i+1:]...)
			break
		}
	}
	if l.key.avoid != "" || l.key.alone || len(w.lanes) > maxLanes {
		delete(w.lanes, l.key)
	}
}

// assignGroup puts a lane into the group for its set of eligible endpoints.
func (p *Pool) assignGroup(now time.Time, l *lane) {
	if l.groupGeneration != p.groupGeneration || l.group == nil {
		p.findGroup(l)
	}
	l.counter = l.workspace.price()
	if l.remote() {
		l.counter += p.remotePenalty
	}
	l.updateHeap()
	p.updateStranded(now, l)
}

// findGroup determines the group of a lane. For most lanes that receive work
// again, the group has not changed since the last time.
func (p *Pool) findGroup(l *lane) {
	l.endpoints = p.eligibleFor(l)
	l.groupGeneration = p.groupGeneration
	key := groupKey{endpoints: l.endpoints.key(), alone: l.key.alone}
	l.group = p.groups[key]
	if l.group == nil {
		l.group = &group{endpoints: l.endpoints, alone: l.key.alone}
		p.groups[key] = l.group
		p.groupList = append(p.groupList, l.group)
	}
	if len(p.groupList) > groupSlack+2*len(p.workspaceList) {
		p.regroup = true // drops the groups that no longer contain a lane
	}
}

// groupSlack is the number of groups, in addition to two per workspace, above
// which the groups are rebuilt to drop the empty ones.
const groupSlack = 64

// setVirtualTime sets the virtual time of an endpoint, and the initial one of new
// endpoints, to the counter of the workspace that is served now.
func (p *Pool) setVirtualTime(e *endpoint, w *workspace) {
	e.virtualTime = w.account.Counter()
	p.virtualTime = e.virtualTime
}

// updateStranded records since when no endpoint has been able to serve the lane.
func (p *Pool) updateStranded(now time.Time, l *lane) {
	if !l.endpoints.empty() {
		l.strandedSince = time.Time{}
		return
	}
	if l.strandedSince.IsZero() {
		l.strandedSince = now
		p.addDeadline(now.Add(p.options.NoEndpointAfter))
	}
}

// eligibleFor returns the eligible endpoints that may serve a lane's tickets.
func (p *Pool) eligibleFor(l *lane) bitset {
	var set bitset
	l.workspace.allowed.each(p.eligible, func(index int) {
		if e := p.endpointsByIndex[index]; e.serves(l.key.model) && !l.avoids(e.id) {
			set.add(index)
		}
	})
	return set
}

// avoids reports whether the lane's tickets have already failed at this endpoint.
func (l *lane) avoids(id string) bool {
	for _, avoided := range l.avoid {
		if avoided == id {
			return true
		}
	}
	return false
}

// serves reports whether the endpoint offers the model. An endpoint that
// announced no models belongs to a plain service and offers only the empty
// model.
func (e *endpoint) serves(model string) bool {
	if model == "" && len(e.models) == 0 {
		return true
	}
	for _, offered := range e.models {
		if offered == model {
			return true
		}
	}
	return false
}

// rebuildGroups assigns all active lanes to groups again, after endpoints or
// rules have changed.
func (p *Pool) rebuildGroups(now time.Time) {
	p.regroup = false
	p.groupGeneration++
	clear(p.groups)
	p.groupList = p.groupList[:0]
	for _, w := range p.workspaceList {
		for _, l := range w.active {
			l.heapIndex = -1
		}
	}
	for _, w := range p.workspaceList {
		for _, l := range w.active {
			p.assignGroup(now, l)
		}
	}
}

// dispatch issues grants and loans until no waiting request has an endpoint
// with a free slot.
func (p *Pool) dispatch(now time.Time) {
	if p.regroup {
		p.rebuildGroups(now)
	}
	for !p.available.empty() {
		next := p.pickLane()
		if next == nil {
			break
		}
		if next.remote() {
			p.lendSlot(now, next)
			continue
		}
		p.grant(now, next)
	}
	p.reuseBorrowings(now)
}

// pickLane returns the lane with the smallest price that an available endpoint
// may serve, or nil if there is none.
func (p *Pool) pickLane() *lane {
	var best *lane
	for _, g := range p.groupList {
		if len(g.lanes) == 0 || !g.endpoints.intersects(p.availableFor(g.alone)) {
			continue
		}
		if top := g.lanes[0]; best == nil || top.before(best) {
			best = top
		}
	}
	return best
}

// availableFor returns the available endpoints for suspects or for all others.
func (p *Pool) availableFor(alone bool) bitset {
	if alone {
		return p.availableAlone
	}
	return p.available
}

// grant sends a lane's first request to an endpoint.
func (p *Pool) grant(now time.Time, l *lane) {
	r := l.first
	e := p.chooseEndpoint(l, r.prefix)
	w := l.workspace
	p.unqueue(l, r)
	p.setVirtualTime(e, w)
	r.windowFull = e.freeSlots(now) == 1
	r.endpoint, r.target = e, e.id
	p.beginAttempt(now, r)
	e.occupy(now, l.key.alone)
	e.prefixes.add(r.prefix, now)
	p.addDeadline(now.Add(e.hangTimeout(p.options)))
	p.recount(now, e)
	p.reprice(w)
	p.deactivate(l)
	p.emit(Grant{Request: r.id(), Endpoint: e.id, Incarnation: e.incarnation, Address: e.address})
}

// beginAttempt reserves the estimated cost of a request that has been given a
// slot.
func (p *Pool) beginAttempt(now time.Time, r *request) {
	r.running = true
	r.confirmed = false
	r.granted = now
	r.used = 0
	r.estimate = uint64(r.prompt) + uint64(r.lane.record.Estimate(r.hint))
	p.countRunning(r)
}

// Limits of the factor by which an endpoint's speed scales its load when an
// endpoint is chosen.
const (
	minPaceFactor = 0.5
	maxPaceFactor = 4
)

// chooseEndpoint returns the available endpoint with the lowest score: its load
// including this request, scaled up for slow endpoints, less a bounded bonus
// for a cached prefix.
func (p *Pool) chooseEndpoint(l *lane, prefix uint64) *endpoint {
	var best *endpoint
	bestScore := 0.0
	pace := p.meanPace(l)
	l.group.endpoints.each(p.availableFor(l.key.alone), func(index int) {
		e := p.endpointsByIndex[index]
		score := e.score(pace) - e.prefixes.affinity(prefix)
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	})
	return best
}

// score returns the endpoint's load with one more request, as a fraction of its
// window, scaled by its time per unit relative to the mean.
func (e *endpoint) score(mean float64) float64 {
	load := float64(e.busy()+e.foreign+1) / float64(max(1, e.throttle.Window()))
	if e.pace == 0 || mean == 0 {
		return load
	}
	return load * min(max(e.pace/mean, minPaceFactor), maxPaceFactor)
}

// meanPace returns the mean time per unit, in nanoseconds, over the available
// endpoints of a lane, or 0 if none is known.
func (p *Pool) meanPace(l *lane) float64 {
	sum, count := 0.0, 0
	l.group.endpoints.each(p.availableFor(l.key.alone), func(index int) {
		if pace := p.endpointsByIndex[index].pace; pace > 0 {
			sum += pace
			count++
		}
	})
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
