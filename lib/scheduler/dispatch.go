package scheduler

import "time"

// lane returns the workspace's lane with this key, made on first use.
func (p *Pool) lane(w *workspace, key laneKey, avoid []string) *lane {
	if known, found := w.lanes[key]; found {
		return known
	}
	p.lanes++
	added := &lane{
		key: key, workspace: w, avoid: avoid, position: -1, created: p.lanes,
		record: p.estimator.Record(w.name, key.model),
	}
	w.lanes[key] = added
	return added
}

// activate puts a lane that has got work into its group.
func (p *Pool) activate(now time.Time, l *lane) {
	if l.active {
		return
	}
	l.active = true
	l.workspace.active = append(l.workspace.active, l)
	p.assign(now, l)
}

// retire takes an empty lane out, and forgets it unless it is likely to be
// needed again.
func (p *Pool) retire(l *lane) {
	if l.count > 0 || !l.active {
		return
	}
	w := l.workspace
	l.active = false
	l.stranded = time.Time{}
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

// assign puts a lane into the group of the endpoints that may serve it.
func (p *Pool) assign(now time.Time, l *lane) {
	if l.grouped != p.generation || l.group == nil {
		p.findGroup(l)
	}
	l.counter = l.workspace.price()
	if l.remote() {
		l.counter += p.margin
	}
	l.settle()
	p.strand(now, l)
}

// findGroup works out the group of a lane. Most lanes that get work again find
// that their group has not changed since.
func (p *Pool) findGroup(l *lane) {
	l.set = p.reachable(l)
	l.grouped = p.generation
	key := groupKey{set: l.set.key(), alone: l.key.alone}
	l.group = p.groups[key]
	if l.group == nil {
		l.group = &group{set: l.set, alone: l.key.alone}
		p.groups[key] = l.group
		p.groupList = append(p.groupList, l.group)
	}
	if len(p.groupList) > groupSlack+2*len(p.order) {
		p.regroup = true // drops the groups that no lane is in any more
	}
}

// groupSlack is how many groups there may be beyond two for each workspace
// before the empty ones are dropped.
const groupSlack = 64

// serveLevel notes the counter of the workspace that an endpoint serves now.
func (p *Pool) serveLevel(e *endpoint, w *workspace) {
	e.level = w.account.Counter()
	p.level = e.level
}

func (p *Pool) strand(now time.Time, l *lane) {
	if !l.set.empty() {
		l.stranded = time.Time{}
		return
	}
	if l.stranded.IsZero() {
		l.stranded = now
		p.wake(now.Add(p.options.NoEndpointAfter))
	}
}

// reachable works out which living endpoints may serve a lane's tickets.
func (p *Pool) reachable(l *lane) bitset {
	var set bitset
	l.workspace.allowed.each(p.alive, func(index int) {
		if e := p.seats[index]; e.serves(l.key.model) && !l.avoids(e.id) {
			set.add(index)
		}
	})
	return set
}

func (l *lane) avoids(id string) bool {
	for _, avoided := range l.avoid {
		if avoided == id {
			return true
		}
	}
	return false
}

// serves tells whether the endpoint offers the model; one that announced no
// models is a plain service and offers the empty one.
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

// rebuild puts all lanes into groups again, after endpoints or rules changed.
func (p *Pool) rebuild(now time.Time) {
	p.regroup = false
	p.generation++
	clear(p.groups)
	p.groupList = p.groupList[:0]
	for _, w := range p.order {
		for _, l := range w.active {
			l.position = -1
		}
	}
	for _, w := range p.order {
		for _, l := range w.active {
			p.assign(now, l)
		}
	}
}

// dispatch grants until no waiting request has an endpoint with room.
func (p *Pool) dispatch(now time.Time) {
	if p.regroup {
		p.rebuild(now)
	}
	for !p.open.empty() {
		next := p.pick()
		if next == nil {
			break
		}
		if next.remote() {
			p.lendTo(now, next)
			continue
		}
		p.grant(now, next)
	}
	p.reuse(now)
}

// pick returns the lane with the smallest price that an open endpoint may serve.
func (p *Pool) pick() *lane {
	var best *lane
	for _, g := range p.groupList {
		if len(g.lanes) == 0 || !g.set.intersects(p.opened(g.alone)) {
			continue
		}
		if top := g.lanes[0]; best == nil || top.before(best) {
			best = top
		}
	}
	return best
}

func (p *Pool) opened(alone bool) bitset {
	if alone {
		return p.openAlone
	}
	return p.open
}

// grant sends a lane's first request to an endpoint.
func (p *Pool) grant(now time.Time, l *lane) {
	r := l.first
	e := p.choose(l, r.prefix)
	w := l.workspace
	p.unqueue(l, r)
	p.serveLevel(e, w)
	r.full = e.room(now) == 1
	r.endpoint, r.target = e, e.id
	p.begin(now, r)
	e.occupy(now, l.key.alone)
	e.prefixes.put(r.prefix, now)
	p.wake(now.Add(e.patience(p.options)))
	p.count(now, e)
	p.reprice(w)
	p.retire(l)
	p.act(Grant{Request: r.id(), Endpoint: e.id, Incarnation: e.incarnation, Address: e.address})
}

// begin charges the estimate of a request that has got a slot.
func (p *Pool) begin(now time.Time, r *request) {
	r.running = true
	r.heard = false
	r.granted = now
	r.used = 0
	r.estimate = uint64(r.prompt) + uint64(r.lane.record.Estimate(r.hint))
	p.start(r)
}

// Limits of the weight that an endpoint's speed has in choosing.
const (
	paceLeast = 0.5
	paceMost  = 4
)

// choose returns the open endpoint where the request is best off: the one with
// the smallest load after it, where a cached prefix outweighs a bounded load and
// a slow endpoint counts as loaded more.
func (p *Pool) choose(l *lane, prefix uint64) *endpoint {
	var best *endpoint
	bestScore := 0.0
	usual := p.usualPace(l)
	l.group.set.each(p.opened(l.key.alone), func(index int) {
		e := p.seats[index]
		score := e.score(usual) - e.prefixes.affinity(prefix)
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	})
	return best
}

func (e *endpoint) score(usual float64) float64 {
	load := float64(e.busy()+e.foreign+1) / float64(max(1, e.throttle.Window()))
	if e.pace == 0 || usual == 0 {
		return load
	}
	return load * min(max(e.pace/usual, paceLeast), paceMost)
}

// usualPace is the mean time per unit over the open endpoints.
func (p *Pool) usualPace(l *lane) float64 {
	sum, known := 0.0, 0
	l.group.set.each(p.opened(l.key.alone), func(index int) {
		if pace := p.seats[index].pace; pace > 0 {
			sum += pace
			known++
		}
	})
	if known == 0 {
		return 0
	}
	return sum / float64(known)
}
