package server

import (
	"math"
	"time"

	"shallotkeel.example/lib/messenger"
)

// reportTTL is how long a router's report counts if no newer one arrives. It is twice the
// longest pause between two reports: after that time the router's requests have ended or are
// about to end. If the demand of a silent router counted for longer, it would reduce the share
// of the routers to which its clients have moved.
const reportTTL = time.Second

// workInterval is the interval at which running requests and their remaining output are sent to a
// router. They change less than unread tokens, and would add a third to each answer.
const workInterval = 250 * time.Millisecond

// speedsInterval is the interval at which a keeper sends the speeds that routers have reported to it to
// each peer, as often as routers report them.
const speedsInterval = time.Second

// sums holds the sums of the reports of some routers. Its zero value is empty.
type sums struct {
	loads  loads
	uses   uses
	work   workSums
	speeds speedSums
}

// add adds a report if sign is 1, and subtracts it if sign is -1.
func (s *sums) add(report *messenger.FollowRequest, sign int64) {
	s.loads.add(report.GetLoads(), sign)
	s.uses.add(report.GetUses(), sign)
}

// loads holds, for each engine, the number of input tokens that are not prefilled yet, over all
// routers. Each report replaces the previous report of its router in the sums, so that the cost of
// an answer depends on the number of endpoints and not on the number of routers. Its zero value is
// empty.
type loads map[uint64]int64

// add adds a report if sign is 1, and subtracts it if sign is -1.
func (l *loads) add(report []*messenger.Load, sign int64) {
	if *l == nil {
		*l = make(loads)
	}
	for _, at := range report {
		(*l)[at.GetEndpoint()] += sign * int64(at.GetUnread())
		if (*l)[at.GetEndpoint()] == 0 {
			delete(*l, at.GetEndpoint())
		}
	}
}

// excluding returns the loads without a router's own part, as messages.
func (l loads) excluding(own []*messenger.Load) []*messenger.Load {
	ours := make(map[uint64]int64, len(own))
	for _, at := range own {
		ours[at.GetEndpoint()] = int64(at.GetUnread())
	}
	var rest []*messenger.Load
	for endpoint, sum := range l {
		if unread := sum - ours[endpoint]; unread > 0 {
			rest = append(rest, &messenger.Load{Endpoint: endpoint, Unread: uint32(unread)})
		}
	}
	return rest
}

// uses holds, for each workspace, the demand and the throughput over all routers, in tokens per
// second. It is summed like loads. Its zero value is empty.
type uses map[string]use

// use holds the sums of one workspace's Asked (demand), Got (served) and Unheard (shed) of
// messenger.Use.
type use struct {
	demand, served, shed int64
}

// add adds a report if sign is 1, and subtracts it if sign is -1.
func (u *uses) add(report []*messenger.Use, sign int64) {
	if *u == nil {
		*u = make(uses)
	}
	for _, reported := range report {
		sum := (*u)[reported.GetWorkspace()]
		sum.demand += sign * int64(reported.GetAsked())
		sum.served += sign * int64(reported.GetGot())
		sum.shed += sign * int64(reported.GetUnheard())
		if sum == (use{}) {
			delete(*u, reported.GetWorkspace())
			continue
		}
		(*u)[reported.GetWorkspace()] = sum
	}
}

// toWire converts the sums to messages. Negative sums are sent as 0.
func (u uses) toWire() []*messenger.Use {
	wire := make([]*messenger.Use, 0, len(u))
	for workspace, sum := range u {
		wire = append(wire, &messenger.Use{
			Workspace: workspace, Asked: uint64(max(sum.demand, 0)), Got: uint64(max(sum.served, 0)), Unheard: uint64(max(sum.shed, 0)),
		})
	}
	return wire
}

// workSum holds the running requests at an engine and their remaining output tokens.
type workSum struct {
	running, remaining int64
}

// workSums holds the running requests of each engine over all routers. A router sends them with some of
// its reports only, and its former ones stay in the sums until then. Its zero value is empty.
type workSums map[uint64]workSum

// add adds the running requests in loads if sign is 1, and subtracts them if sign is -1.
func (w *workSums) add(report []*messenger.Load, sign int64) {
	if *w == nil {
		*w = make(workSums)
	}
	for _, at := range report {
		sum := (*w)[at.GetEndpoint()]
		sum.running += sign * int64(at.GetRunning())
		sum.remaining += sign * int64(at.GetRemaining())
		if sum == (workSum{}) {
			delete(*w, at.GetEndpoint())
			continue
		}
		(*w)[at.GetEndpoint()] = sum
	}
}

// addTo adds the running requests, without a follower's own, to loads.
func (w workSums) addTo(wire []*messenger.Load, own []*messenger.Load) []*messenger.Load {
	rest := make(workSums, len(w))
	for endpoint, sum := range w {
		rest[endpoint] = sum
	}
	rest.add(own, -1)
	for _, at := range wire {
		sum := rest[at.GetEndpoint()]
		at.Running, at.Remaining = clamp(sum.running), clamp(sum.remaining)
		delete(rest, at.GetEndpoint())
	}
	for endpoint, sum := range rest {
		if sum.running > 0 {
			wire = append(wire, &messenger.Load{Endpoint: endpoint, Running: clamp(sum.running), Remaining: clamp(sum.remaining)})
		}
	}
	return wire
}

// clamp converts a sum to the range of a message field.
func clamp(sum int64) uint32 {
	return uint32(min(max(sum, 0), math.MaxUint32))
}

// runningOf returns the loads of a report that have running requests.
func runningOf(report []*messenger.Load) []*messenger.Load {
	var running []*messenger.Load
	for _, at := range report {
		if at.GetRunning() > 0 {
			running = append(running, at)
		}
	}
	return running
}

// speedSum holds the fields of messenger.Speed, summed.
type speedSum struct {
	waits, waitLog, gaps, gapLog int64
}

// speedSums holds the observations of the speed of each engine over all routers. Its zero value is empty.
type speedSums map[uint64]speedSum

// add adds a report if sign is 1, and subtracts it if sign is -1.
func (s *speedSums) add(report []*messenger.Speed, sign int64) {
	if *s == nil {
		*s = make(speedSums)
	}
	for _, at := range report {
		sum := (*s)[at.GetEndpoint()]
		sum.waits += sign * int64(at.GetWaits())
		sum.waitLog += sign * int64(at.GetWaitLog())
		sum.gaps += sign * int64(at.GetGaps())
		sum.gapLog += sign * int64(at.GetGapLog())
		if sum == (speedSum{}) {
			delete(*s, at.GetEndpoint())
			continue
		}
		(*s)[at.GetEndpoint()] = sum
	}
}

// excluding returns the sums without a follower's own observations, as messages.
func (s speedSums) excluding(own []*messenger.Speed) []*messenger.Speed {
	rest := make(speedSums, len(s))
	for endpoint, sum := range s {
		rest[endpoint] = sum
	}
	rest.add(own, -1)
	wire := make([]*messenger.Speed, 0, len(rest))
	for endpoint, sum := range rest {
		if sum.waits <= 0 && sum.gaps <= 0 {
			continue
		}
		wire = append(wire, &messenger.Speed{
			Endpoint: endpoint, Waits: clamp(sum.waits), WaitLog: clampSigned(sum.waitLog), Gaps: clamp(sum.gaps), GapLog: clampSigned(sum.gapLog),
		})
	}
	return wire
}

// clampSigned converts a sum to the range of a signed message field.
func clampSigned(sum int64) int32 {
	return int32(min(max(sum, math.MinInt32), math.MaxInt32))
}

// occasional holds the parts of a follower's reports that are not in each of them. They stay in the sums
// until they are reported again, the follower reports to another keeper, or they are too old.
type occasional struct {
	work         []*messenger.Load // loads with running requests
	workAt       time.Time
	speeds       []*messenger.Speed
	speedsAt     time.Time
	sentWorkAt   time.Time // when running requests were last sent to the follower
	sentSpeedsAt time.Time // for a keeper that this one follows: when speeds were last sent to it
}

// updateOccasional takes the running requests and the speeds of a report, if it has any.
func (d *directory) updateOccasional(now time.Time, f *follower, request *messenger.FollowRequest) {
	if request.GetBrief() {
		d.setWork(f, nil)
		d.setSpeeds(f, nil)
		return
	}
	if work := runningOf(request.GetLoads()); len(work) > 0 {
		d.setWork(f, work)
		f.occasional.workAt = now
	}
	if request.GetPeriodic() {
		d.setSpeeds(f, request.GetSpeeds())
		f.occasional.speedsAt = now
	}
	request.Speeds = nil // they are kept in occasional
}

// expireOccasional drops running requests and speeds that are too old.
func (d *directory) expireOccasional(now time.Time, f *follower) {
	if now.Sub(f.occasional.workAt) > reportTTL {
		d.setWork(f, nil)
	}
	if now.Sub(f.occasional.speedsAt) > followerMemory {
		d.setSpeeds(f, nil)
	}
}

// setWork replaces a follower's running requests in the sums.
func (d *directory) setWork(f *follower, work []*messenger.Load) {
	for _, s := range d.sumsOf(f) {
		s.work.add(f.occasional.work, -1)
		s.work.add(work, 1)
	}
	f.occasional.work = work
}

// setSpeeds replaces a follower's speeds in the sums.
func (d *directory) setSpeeds(f *follower, speeds []*messenger.Speed) {
	for _, s := range d.sumsOf(f) {
		s.speeds.add(f.occasional.speeds, -1)
		s.speeds.add(speeds, 1)
	}
	f.occasional.speeds = speeds
}

// sumsOf returns the sums in which a follower's reports count.
func (d *directory) sumsOf(f *follower) []*sums {
	if f.keeper {
		return []*sums{&d.totalSums}
	}
	return []*sums{&d.totalSums, &d.directSums}
}

// addOccasional adds the sums over all other routers of running requests to a router's answer, if they
// are due, and those of speeds if the router asked for them.
func (d *directory) addOccasional(now time.Time, request *messenger.FollowRequest, response *messenger.FollowResponse) {
	known, found := d.followers[request.GetNode()]
	if !found {
		return
	}
	if now.Sub(known.occasional.sentWorkAt) >= workInterval {
		known.occasional.sentWorkAt = now
		response.Loads = d.totalSums.work.addTo(response.Loads, known.occasional.work)
	}
	if request.GetPeriodic() {
		response.Periodic = true
		response.Speeds = d.totalSums.speeds.excluding(known.occasional.speeds)
	}
}

// addOccasionalTo adds running requests and speeds of the routers that report to this keeper to a report
// for a peer, if they are due.
func (d *directory) addOccasionalTo(now time.Time, sent *occasional, report *messenger.FollowRequest) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if now.Sub(sent.sentWorkAt) >= workInterval {
		sent.sentWorkAt = now
		report.Loads = d.directSums.work.addTo(report.Loads, nil)
	}
	if now.Sub(sent.sentSpeedsAt) >= speedsInterval {
		sent.sentSpeedsAt = now
		report.Periodic, report.Speeds = true, d.directSums.speeds.excluding(nil)
	}
}
