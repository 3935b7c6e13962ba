package assembler

import (
	"context"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/router/internal/administrator"
	"shallotkeel.example/router/internal/relayer"
	"shallotkeel.example/router/internal/rotator"
)

// status implements administrator.Reporter.
type status struct {
	router  *Router
	keepers *rotator.Rotator
}

// Status gathers what this router and the keepers know.
func (s *status) Status(ctx context.Context) (reporter.Status, error) {
	answer := reporter.Status{
		Warnings: []string{}, Revision: s.router.follower.Rules().Revision, Stale: s.router.follower.Stale(),
	}
	if seen, err := s.keepers.Status(ctx, &messenger.KeeperStatusRequest{}); err != nil {
		answer.Warnings = append(answer.Warnings, "no keeper answers: "+err.Error())
	} else {
		answer.Routers = routersSeen(seen)
	}
	return answer, nil
}

func routersSeen(seen *messenger.KeeperStatusResponse) []reporter.Router {
	var routers []reporter.Router
	for _, router := range seen.GetRouters() {
		routers = append(routers, reporter.Router{
			Name: router.GetRouter(), Zone: router.GetZone(), InForce: router.GetInForce(), AgeMS: int64(router.GetAgeMs()),
		})
	}
	return routers
}

// unexplained is for a relayer that keeps no explanations.
type unexplained struct{}

// Explain knows of no request.
func (unexplained) Explain(string) (reporter.Explanation, bool) {
	return reporter.Explanation{}, false
}

func explainer(r *relayer.Relayer) administrator.Explainer {
	if known, explains := any(r).(administrator.Explainer); explains {
		return known
	}
	return unexplained{}
}
