package server

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// reportMemory is how long a router's report counts without a further one, twice the
// longest pause between two: what it had has ended or is on its way to its end. Demand
// that is counted for longer takes the share away from the routers that clients reach
// meanwhile, when another has become silent.
const reportMemory = time.Second

// sums is what some routers report, added up. Its zero value is empty.
type sums struct {
	loads loads
	uses  uses
}

// add adds a report, or takes it off.
func (s *sums) add(report *messenger.FollowRequest, sign int64) {
	s.loads.add(report.GetLoads(), sign)
	s.uses.add(report.GetUses(), sign)
}

// loads is how many unread tokens all routers have at each engine. Each report replaces its
// router's former one in the sums, so that an answer takes time by the endpoints and
// not by the routers. Its zero value is empty.
type loads map[uint64]int64

// add adds a report, or takes it off.
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

// others returns what all routers but one have.
func (l loads) others(own []*messenger.Load) []*messenger.Load {
	ours := make(map[uint64]int64, len(own))
	for _, at := range own {
		ours[at.GetEndpoint()] = int64(at.GetUnread())
	}
	var told []*messenger.Load
	for endpoint, sum := range l {
		if unread := sum - ours[endpoint]; unread > 0 {
			told = append(told, &messenger.Load{Endpoint: endpoint, Unread: uint32(unread)})
		}
	}
	return told
}

// uses is what the workspaces ask for and get at all routers, in tokens a second, summed
// as loads are. Its zero value is empty.
type uses map[string]use

type use struct {
	asked, got, unheard int64
}

// add adds a report, or takes it off.
func (u *uses) add(report []*messenger.Use, sign int64) {
	if *u == nil {
		*u = make(uses)
	}
	for _, told := range report {
		sum := (*u)[told.GetWorkspace()]
		sum.asked += sign * int64(told.GetAsked())
		sum.got += sign * int64(told.GetGot())
		sum.unheard += sign * int64(told.GetUnheard())
		if sum == (use{}) {
			delete(*u, told.GetWorkspace())
			continue
		}
		(*u)[told.GetWorkspace()] = sum
	}
}

// told returns the sums for a message.
func (u uses) told() []*messenger.Use {
	told := make([]*messenger.Use, 0, len(u))
	for workspace, sum := range u {
		told = append(told, &messenger.Use{
			Workspace: workspace, Asked: uint64(max(sum.asked, 0)), Got: uint64(max(sum.got, 0)), Unheard: uint64(max(sum.unheard, 0)),
		})
	}
	return told
}
