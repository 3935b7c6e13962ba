package server

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// reportTTL is how long a router's report counts if no newer one arrives. It is twice the
// longest pause between two reports: after that time the router's requests have ended or are
// about to end. If the demand of a silent router counted for longer, it would reduce the share
// of the routers to which its clients have moved.
const reportTTL = time.Second

// sums holds the sums of the reports of some routers. Its zero value is empty.
type sums struct {
	loads loads
	uses  uses
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
