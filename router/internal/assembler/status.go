package assembler

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
)

const (
	// statusTimeout bounds the status calls to the keepers.
	statusTimeout = time.Second
	// staleRouterAge is the time since a router's last poll after which its revision in
	// force is outdated: a poll takes up to twenty seconds.
	staleRouterAge  = 30 * time.Second
	roleLeader      = "leader"
	roleVoter       = "voter"
	roleLearner     = "learner"
	roleUnreachable = "unreachable"
)

// status implements administrator.Reporter.
type status struct {
	router  *Router
	keepers []messenger.Keeping
}

// Status collects the state of the fleet from the routers and the keepers. Partial
// results are returned without an error: operators need them most when parts of the
// fleet do not answer.
func (s *status) Status(ctx context.Context) (reporter.Status, error) {
	answers := s.queryKeepers(ctx)
	answer, silent := s.router.coordinator.Report(ctx)
	rules := s.router.follower.Rules()
	answer.Warnings = []string{}
	answer.Revision, answer.Stale = rules.Revision, s.router.follower.Stale()
	answer.Keepers = s.describeKeepers(answers)
	for _, keeper := range answer.Keepers {
		answer.Revision = max(answer.Revision, keeper.Revision)
	}
	answer.Routers = mergeRouters(answer.Routers, answers)
	s.addWarnings(&answer, silent)
	return answer, nil
}

// queryKeepers asks all keepers concurrently for their local status. The result has the
// order of the settings, with nil for keepers that did not answer.
func (s *status) queryKeepers(ctx context.Context) []*messenger.KeeperStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make([]*messenger.KeeperStatusResponse, len(s.keepers))
	var group sync.WaitGroup
	for at, keeper := range s.keepers {
		group.Go(func() {
			// An error leaves nil: the keeper is listed as unreachable.
			answers[at], _ = keeper.Status(ctx, &messenger.KeeperStatusRequest{Local: true})
		})
	}
	group.Wait()
	return answers
}

// describeKeepers returns an entry for each keeper of the settings.
func (s *status) describeKeepers(answers []*messenger.KeeperStatusResponse) []reporter.Keeper {
	var keepers []reporter.Keeper
	for at, answer := range answers {
		if answer == nil {
			keepers = append(keepers, reporter.Keeper{Name: s.router.settings.Keepers[at].String(), Role: roleUnreachable})
			continue
		}
		keepers = append(keepers, reporter.Keeper{
			Name: answer.GetName(), Zone: answer.GetZone(), Role: roleOf(answer), Term: answer.GetTerm(),
			Applied: answer.GetApplied(), Revision: answer.GetRevision(), Quorum: answer.GetQuorum(),
		})
	}
	return keepers
}

// roleOf returns a keeper's role as the keeper itself reports it. A leader without a
// quorum counts as a voter.
func roleOf(answer *messenger.KeeperStatusResponse) string {
	if answer.GetLeader() == answer.GetName() && answer.GetQuorum() {
		return roleLeader
	}
	for _, keeper := range answer.GetKeepers() {
		if keeper.GetName() == answer.GetName() && keeper.GetRole() == messenger.Role_ROLE_VOTER {
			return roleVoter
		}
	}
	return roleLearner
}

// mergeRouters combines the routers' own reports with what the keepers know of routers
// from their polls. A router's own report takes precedence, because it is newer; of
// several keepers, the most recent poll counts.
func mergeRouters(reported []reporter.Router, answers []*messenger.KeeperStatusResponse) []reporter.Router {
	merged := make(map[string]reporter.Router)
	for _, answer := range answers {
		for _, seen := range answer.GetRouters() {
			router := reporter.Router{
				Name: seen.GetRouter(), Zone: seen.GetZone(), InForce: seen.GetInForce(), AgeMS: int64(seen.GetAgeMs()),
			}
			if known, found := merged[router.Name]; !found || router.AgeMS < known.AgeMS {
				merged[router.Name] = router
			}
		}
	}
	for _, router := range reported {
		merged[router.Name] = router
	}
	routers := make([]reporter.Router, 0, len(merged))
	for _, router := range merged {
		routers = append(routers, router)
	}
	slices.SortFunc(routers, func(a, b reporter.Router) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	return routers
}

// addWarnings adds the conditions that need an operator's attention.
func (s *status) addWarnings(answer *reporter.Status, silent []string) {
	warn := func(format string, values ...any) {
		answer.Warnings = append(answer.Warnings, fmt.Sprintf(format, values...))
	}
	if answer.Stale {
		warn("the configuration at this router may be stale: no quorum of keepers answers it; check the keepers")
	}
	for _, keeper := range answer.Keepers {
		if keeper.Role == roleUnreachable {
			warn("keeper %s does not answer; start it or check the network", keeper.Name)
		} else if !keeper.Quorum {
			warn("keeper %s has no contact with a quorum; check the other keepers", keeper.Name)
		}
	}
	if len(silent) > 0 {
		warn("routers %s do not answer; start them or check the network", strings.Join(silent, ", "))
	}
	for _, router := range answer.Routers {
		if router.InForce < answer.Revision && router.AgeMS < staleRouterAge.Milliseconds() {
			warn("router %s has revision %d in force, %d is the newest", router.Name, router.InForce, answer.Revision)
		}
	}
	for _, pool := range answer.Pools {
		if pool.Waiting > 0 && pool.Slots == 0 {
			warn("%d requests wait for service %s in %s, which has no endpoint there", pool.Waiting, pool.Service, pool.Zone)
		}
	}
	for _, service := range servicesWithoutEndpoints(s.router.follower.Rules(), answer.Endpoints) {
		warn("no endpoint of service %s announces itself; look at the endpoints' own logs", service)
	}
	for _, endpoint := range answer.Endpoints {
		if endpoint.State == "suspect" {
			warn("endpoint %s fails or shows no progress; look at its own log", endpoint.ID)
		}
	}
}

// servicesWithoutEndpoints returns the configured services that have no endpoint in the
// fleet. Requests to them are refused, and without a warning an operator would look for
// the fault in the configuration.
func servicesWithoutEndpoints(rules *matcher.Rules, endpoints []reporter.Endpoint) []string {
	served := make(map[string]bool)
	for _, endpoint := range endpoints {
		served[endpoint.Service] = true
	}
	var names []string
	for _, service := range rules.Services() {
		if !served[service.Name] {
			names = append(names, service.Name)
		}
	}
	return names
}
