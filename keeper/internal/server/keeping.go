package server

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/lib/claimer"
	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

const (
	// maxPollWait bounds the duration of a long poll.
	maxPollWait = time.Minute
	// maxBatchEntries bounds the number of claims or records in one call.
	maxBatchEntries = 1024
	// maxHistory bounds the number of revisions in one answer of the history.
	maxHistory = 500
	// statusTimeout is the timeout for querying the status of the other keepers.
	statusTimeout = 300 * time.Millisecond
)

// keeping implements messenger.Keeping.
type keeping struct{ *Server }

// Apply validates and replicates a change.
func (k keeping) Apply(ctx context.Context, request *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	for _, edit := range request.GetEdits() {
		if edit.GetObject() == nil {
			return nil, twirp.RequiredArgumentError("edits.object")
		}
	}
	return runOnLeader(ctx, k.Server,
		func(ctx context.Context) (*messenger.ApplyResponse, error) {
			change := configurer.ChangeFromWire(request)
			result, err := await(ctx, k.Server, func(now time.Time, d *driver.Driver, done func(configurer.Result, error)) {
				d.Change(now, change, request.GetDryRun(), done)
			})
			return configurer.ResultToWire(result), err
		},
		func(ctx context.Context, leader peerClient) (*messenger.ApplyResponse, error) {
			return leader.Apply(ctx, request)
		})
}

// Claim replicates claims of idempotency keys and returns the result of each.
func (k keeping) Claim(ctx context.Context, request *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
	if err := checkClaims(request.GetClaims()); err != nil {
		return nil, err
	}
	return runOnLeader(ctx, k.Server,
		func(ctx context.Context) (*messenger.ClaimResponse, error) {
			result, err := k.propose(ctx, &messenger.Command{Claim: request})
			return &messenger.ClaimResponse{Results: result.Claims}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.ClaimResponse, error) {
			return leader.Claim(ctx, request)
		})
}

// checkClaims returns an error for a batch that is too large or contains an invalid claim.
func checkClaims(claims []*messenger.ClaimEntry) error {
	if len(claims) > maxBatchEntries {
		return twirp.InvalidArgumentError("claims", "are too many for one call; split them")
	}
	for _, entry := range claims {
		if entry.GetKey() == "" || max(len(entry.GetKey()), len(entry.GetWorkspace()), len(entry.GetOwner())) > claimer.MaxKey {
			return twirp.InvalidArgumentError("claims", "hold a key, workspace or owner that is empty or too long")
		}
	}
	return nil
}

// Record replicates the outcomes of claimed requests. Bodies above the size limit are omitted
// from the record.
func (k keeping) Record(ctx context.Context, request *messenger.RecordRequest) (*messenger.RecordResponse, error) {
	if len(request.GetEntries()) > maxBatchEntries {
		return nil, twirp.InvalidArgumentError("entries", "are too many for one call; split them")
	}
	for _, entry := range request.GetEntries() {
		if answer := entry.GetAnswer(); len(answer.GetBody()) > claimer.DefaultAnswerBytes {
			answer.Body, answer.Omitted = nil, true
		}
	}
	return runOnLeader(ctx, k.Server,
		func(ctx context.Context) (*messenger.RecordResponse, error) {
			_, err := k.propose(ctx, &messenger.Command{Record: request})
			return &messenger.RecordResponse{}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.RecordResponse, error) {
			return leader.Record(ctx, request)
		})
}

// Quarantine replicates fingerprints of requests that crash endpoints.
func (k keeping) Quarantine(ctx context.Context, request *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error) {
	if len(request.GetFingerprints()) > applier.MaxQuarantined {
		return nil, twirp.InvalidArgumentError("fingerprints", "are too many for one call; split them")
	}
	return runOnLeader(ctx, k.Server,
		func(ctx context.Context) (*messenger.QuarantineResponse, error) {
			_, err := k.propose(ctx, &messenger.Command{Quarantine: request})
			return &messenger.QuarantineResponse{}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.QuarantineResponse, error) {
			return leader.Quarantine(ctx, request)
		})
}

// propose replicates a command and returns the result of its application.
func (k keeping) propose(ctx context.Context, command *messenger.Command) (applier.Result, error) {
	return await(ctx, k.Server, func(now time.Time, d *driver.Driver, done func(applier.Result, error)) {
		d.Propose(now, command, done)
	})
}

// Alter adds a member to the group or removes one. A refused membership change is returned
// in the response and not as an error.
func (k keeping) Alter(ctx context.Context, request *messenger.AlterRequest) (*messenger.AlterResponse, error) {
	return runOnLeader(ctx, k.Server,
		func(ctx context.Context) (*messenger.AlterResponse, error) {
			_, err := await(ctx, k.Server, func(now time.Time, d *driver.Driver, done func(applier.Result, error)) {
				k.alter(now, d, request, done)
			})
			if errors.Is(err, replicator.ErrMembership) {
				return &messenger.AlterResponse{Error: err.Error()}, nil
			}
			return &messenger.AlterResponse{}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.AlterResponse, error) {
			return leader.Alter(ctx, request)
		})
}

// alter starts a membership change in the control loop. Removing a keeper that was removed
// before succeeds without a change.
func (s *Server) alter(now time.Time, d *driver.Driver, request *messenger.AlterRequest, done driver.Done) {
	if add := request.GetAdd(); add != nil {
		role := replicator.Joining
		if add.GetRole() == messenger.Role_ROLE_LEARNER {
			role = replicator.Learner
		}
		d.Join(replicator.Replica{
			ID: replicator.ID(add.GetDisk()), Name: add.GetName(), Address: add.GetAddress(), Role: role,
		}, done)
		return
	}
	named := d.Status(now).Group.Named(request.GetRemove())
	if len(named) == 0 && s.retired.has(request.GetRemove()) {
		done(applier.Result{}, nil)
		return
	}
	if len(named) == 0 {
		named = []replicator.Replica{{}} // refused as unknown
	}
	d.Remove(now, named[0].ID, done)
}

// History returns the accepted changes, or the objects as of a revision. A revision that this
// keeper does not have is called unknown only if the keeper is current.
func (k keeping) History(ctx context.Context, request *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	current := false
	answer, err := callLoop(ctx, k.Server, func(now time.Time, d *driver.Driver) outcome[*messenger.HistoryResponse] {
		current = d.Current(now)
		return historyOf(d.State().Configuration(), request)
	})
	switch {
	case err != nil:
		return nil, unavailable(err)
	case answer.err != nil && !current:
		return nil, unavailable(merry.Errorf("%w has confirmed the history yet; ask again", replicator.ErrNoQuorum))
	case answer.err != nil:
		return nil, twirp.NotFoundError(answer.err.Error())
	}
	return answer.value, nil
}

// historyOf reads the history that a request asks for from the configuration.
func historyOf(machine *configurer.Machine, request *messenger.HistoryRequest) outcome[*messenger.HistoryResponse] {
	if at := request.GetAt(); at > 0 {
		snapshot, err := machine.At(at)
		return outcome[*messenger.HistoryResponse]{err: err, value: &messenger.HistoryResponse{
			Revision: at, Objects: configurer.ObjectsToWire(sortedObjects(snapshot)),
		}}
	}
	limit := int(request.GetLimit())
	if limit == 0 || limit > maxHistory {
		limit = maxHistory
	}
	return outcome[*messenger.HistoryResponse]{value: &messenger.HistoryResponse{
		Revision:  machine.Revision(),
		Revisions: configurer.RevisionsToWire(machine.History(request.GetBefore(), limit)),
	}}
}

// sortedObjects returns the objects of a snapshot in their canonical order.
func sortedObjects(snapshot describer.Snapshot) []describer.Object {
	objects := make([]describer.Object, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		objects = append(objects, object)
	}
	describer.SortObjects(objects)
	return objects
}

// Watch is a long poll for configuration and quarantined fingerprints. It is answered from
// the state that this keeper has applied, also without a quorum: a router in a partitioned
// zone then gets the latest available state, marked as possibly stale.
func (k keeping) Watch(ctx context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	select {
	case <-k.stopping:
		// An immediate regular answer would make the router poll in a busy loop.
		return nil, unavailable(ErrStopping)
	default:
	}
	k.routers.observe(k.clock.Now(), request)
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxPollWait)
	timer := k.clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := k.configurationChanged.next()
		if k.hasWatchUpdate(request) {
			return k.watchResponse(ctx, request)
		}
		select {
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "the caller went away")
		case <-k.stopping:
			return k.watchResponse(ctx, request)
		case <-timer.Chan():
			return k.watchResponse(ctx, request)
		case <-changed:
		}
	}
}

// hasWatchUpdate reports whether this keeper has a newer configuration or list of quarantined
// fingerprints than the router that sent a Watch request.
func (s *Server) hasWatchUpdate(request *messenger.WatchRequest) bool {
	current := s.view.Load()
	return current.revision > request.GetAfter() || !s.routers.hasQuarantine(request.GetRouter(), current.quarantineRevision)
}

// watchResponse returns the configuration changes since the revision of a request and the
// quarantined fingerprints.
func (s *Server) watchResponse(ctx context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	response, err := callLoop(ctx, s, func(now time.Time, d *driver.Driver) *messenger.WatchResponse {
		difference := d.State().Configuration().Since(request.GetAfter())
		fingerprints, revision := d.State().Quarantined(d.Clock(now))
		return &messenger.WatchResponse{
			Revision: difference.Revision, Full: difference.Full,
			Objects:     configurer.ObjectsToWire(difference.Objects),
			Deletions:   configurer.KeysToWire(difference.Deletions),
			Stale:       !d.Current(now),
			Quarantined: fingerprints, QuarantineRevision: revision,
		}
	})
	if err != nil {
		return nil, unavailable(err)
	}
	s.routers.quarantineSent(request.GetRouter(), response.GetQuarantineRevision())
	return response, nil
}

// Status returns the state of this keeper with the routers that poll it and, unless the request
// is for local state only, the routers that poll the other keepers.
func (k keeping) Status(ctx context.Context, request *messenger.KeeperStatusRequest) (*messenger.KeeperStatusResponse, error) {
	disk, err := callLoop(ctx, k.Server, func(_ time.Time, d *driver.Driver) replicator.ID { return d.Identity() })
	if err != nil {
		return nil, unavailable(err)
	}
	current := k.view.Load()
	response := &messenger.KeeperStatusResponse{
		Name: k.settings.Name, Zone: k.settings.Zone, Disk: uint64(disk),
		Leader: nameOf(current.status.Group, current.status.Leader), Term: current.status.Term,
		Commit: current.status.Commit, Applied: current.appliedIndex, Revision: current.revision,
		Quorum: current.status.Quorum, Full: current.diskFull, Claims: uint64(current.claims),
		DiskBytes: uint64(current.diskBytes), Routers: k.routers.list(k.clock.Now()),
	}
	for _, replica := range current.status.KnownMembers() {
		response.Keepers = append(response.Keepers, keeperToWire(replica))
	}
	if !request.GetLocal() {
		response.Routers = mergeRouters(append(k.gatherRouters(ctx, current.status), response.GetRouters()...))
	}
	return response, nil
}

// keeperToWire converts a replica to its message.
func keeperToWire(replica replicator.Replica) *messenger.Keeper {
	role := messenger.Role_ROLE_LEARNER
	if replica.Role == replicator.Voter {
		role = messenger.Role_ROLE_VOTER
	}
	return &messenger.Keeper{
		Name: replica.Name, Address: replica.Address, Role: role, Disk: uint64(replica.ID),
	}
}

// gatherRouters queries the other keepers for the routers that poll them. It leaves out a
// keeper that does not answer in time: the routers of that keeper then appear to lag behind,
// which errs on the safe side.
func (k keeping) gatherRouters(ctx context.Context, status replicator.Status) []*messenger.RouterSeen {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var group sync.WaitGroup
	var lock sync.Mutex
	var seen []*messenger.RouterSeen
	for _, replica := range status.Group {
		if replica.ID == status.ID {
			continue
		}
		group.Go(func() {
			response, err := k.peers.forAddress(replica.Address).Status(ctx, &messenger.KeeperStatusRequest{Local: true})
			if err != nil {
				return
			}
			lock.Lock()
			defer lock.Unlock()
			seen = append(seen, response.GetRouters()...)
		})
	}
	group.Wait()
	return seen
}

// mergeRouters keeps only the newest entry of each router, because a router may have changed
// keepers.
func mergeRouters(seen []*messenger.RouterSeen) []*messenger.RouterSeen {
	slices.SortFunc(seen, func(a, b *messenger.RouterSeen) int {
		return cmp.Or(cmp.Compare(a.GetRouter(), b.GetRouter()), cmp.Compare(a.GetAgeMs(), b.GetAgeMs()))
	})
	return slices.CompactFunc(seen, func(a, b *messenger.RouterSeen) bool { return a.GetRouter() == b.GetRouter() })
}

// replication implements messenger.Replication.
type replication struct{ *Server }

// Deliver passes messages of the replication protocol to the control loop. Replies are sent
// as separate messages in the other direction, never in the response.
func (r replication) Deliver(ctx context.Context, request *messenger.DeliverRequest) (*messenger.DeliverResponse, error) {
	messages, err := replicator.DecodeMessages(request.GetMessage())
	if err != nil {
		return nil, twirp.InvalidArgumentError("message", err.Error())
	}
	for _, message := range messages {
		r.sender.Learn(message.From, request.GetFrom())
	}
	err = r.enqueue(ctx, func(now time.Time, d *driver.Driver) { d.Receive(now, messages) })
	if err != nil {
		return nil, unavailable(err)
	}
	return &messenger.DeliverResponse{}, nil
}
