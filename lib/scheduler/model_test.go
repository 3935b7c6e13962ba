package scheduler_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/scheduler"
)

// testStart is the time at the start of every test.
var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// rules is a configuration given as tables.
type rules struct {
	weights map[string]float64
	denied  map[string]bool // by workspace/endpoint
	drained map[string]bool // by endpoint
}

func (r rules) Weight(workspace string) float64 {
	if weight, found := r.weights[workspace]; found {
		return weight
	}
	return 1
}

func (r rules) Allowed(workspace, endpoint string, _ labeler.Labels) bool {
	return !r.denied[workspace+"/"+endpoint]
}

func (r rules) Draining(endpoint string, _ labeler.Labels) bool { return r.drained[endpoint] }

// knownRequest is the expected state of an unfinished request.
type knownRequest struct {
	ticket      scheduler.Ticket
	endpoint    string // of its grant, empty while it waits
	incarnation uint64 // of the endpoint
	charged     uint32 // units used so far
}

// model is a reference model: it applies events to a pool, keeps the expected state
// itself, and checks every action of the pool against it.
type model struct {
	t         require.TestingT
	pool      *scheduler.Pool
	now       time.Time
	rules     rules
	endpoints map[string]scheduler.Announced
	expires   map[string]time.Time
	requests  map[scheduler.RequestID]*knownRequest
	refused   int
	granted   []string // workspaces of the grants, in their order
}

func newModel(t require.TestingT, options scheduler.Options) *model {
	options.Zone, options.Service = "trento-a", "modelli"
	m := &model{
		t: t, now: testStart, pool: scheduler.New(options),
		endpoints: make(map[string]scheduler.Announced),
		expires:   make(map[string]time.Time),
		requests:  make(map[scheduler.RequestID]*knownRequest),
	}
	m.apply(scheduler.Configured{Rules: m.rules})
	return m
}

// apply applies an event to the pool and checks and records the actions.
func (m *model) apply(event scheduler.Event) []scheduler.Action {
	actions := m.pool.Apply(m.now, event)
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Grant:
			m.checkGrant(a)
		case scheduler.Refusal:
			require.Contains(m.t, m.requests, a.Request)
			require.Empty(m.t, m.requests[a.Request].endpoint)
			delete(m.requests, a.Request)
			m.refused++
		}
	}
	return actions
}

func (m *model) checkGrant(grant scheduler.Grant) {
	request := m.requests[grant.Request]
	require.NotNil(m.t, request, "grant for an unknown request")
	require.Empty(m.t, request.endpoint, "second grant for one request")
	e, found := m.endpoints[grant.Endpoint]
	require.True(m.t, found, "grant to an unknown endpoint")
	require.Equal(m.t, e.Incarnation, grant.Incarnation)
	require.True(m.t, m.eligible(request.ticket, e), "grant to %s breaks the rules", e.ID)
	request.endpoint, request.incarnation = e.ID, e.Incarnation
	require.LessOrEqual(m.t, m.running(e, false), e.Slots, "more requests than slots at %s", e.ID)
	if request.ticket.Alone {
		require.Equal(m.t, 1, m.running(e, true), "two suspects at %s", e.ID)
	}
	m.granted = append(m.granted, request.ticket.Workspace)
}

// eligible reports whether the ticket may go to the endpoint, regardless of free slots.
func (m *model) eligible(t scheduler.Ticket, e scheduler.Announced) bool {
	return m.now.Before(m.expires[e.ID]) && !e.Leaving && !m.rules.drained[e.ID] &&
		!m.rules.denied[t.Workspace+"/"+e.ID] && !slices.Contains(t.Avoid, e.ID) &&
		slices.Contains(e.Models, t.Model)
}

// running counts the requests at an endpoint's incarnation, with alone only the suspects.
func (m *model) running(e scheduler.Announced, alone bool) int {
	count := 0
	for _, request := range m.requests {
		if request.endpoint == e.ID && request.incarnation == e.Incarnation && (!alone || request.ticket.Alone) {
			count++
		}
	}
	return count
}

func (m *model) waiting() int {
	count := 0
	for _, request := range m.requests {
		if request.endpoint == "" {
			count++
		}
	}
	return count
}

// checkWorkConserving requires that no request waits while an endpoint that may serve it
// has a free slot.
func (m *model) checkWorkConserving() {
	stats := m.pool.Stats(m.now)
	require.Equal(m.t, m.waiting(), stats.Waiting)
	for _, e := range stats.Endpoints {
		announced := m.endpoints[e.Endpoint]
		free := e.Limit - m.running(announced, false) - e.Foreign
		for id, request := range m.requests {
			if request.endpoint != "" || free <= 0 || announced.Incarnation != e.Incarnation {
				continue
			}
			blocked := request.ticket.Alone && m.running(announced, true) > 0
			require.False(m.t, !blocked && m.eligible(request.ticket, announced),
				"%v of %s waits while %s has %d free slots", id, request.ticket.Workspace, e.Endpoint, free)
		}
	}
}

// announce makes an endpoint announce itself. A TTL, models and address that are not
// given get defaults.
func (m *model) announce(a scheduler.Announced) {
	if a.TTL == 0 {
		a.TTL = 3 * time.Second
	}
	if a.Models == nil {
		a.Models = []string{"draft"}
	}
	if !a.Address.IsValid() {
		a.Address = netip.MustParseAddrPort("127.0.0.1:9000")
		for i := range a.ID {
			a.Address = netip.AddrPortFrom(a.Address.Addr(), a.Address.Port()+uint16(a.ID[i]))
		}
	}
	m.endpoints[a.ID] = a
	m.expires[a.ID] = m.now.Add(a.TTL)
	m.apply(a)
}

// renew repeats the announcements of all endpoints.
func (m *model) renew() {
	for i := range len(m.endpoints) {
		id := m.ids()[i]
		m.announce(m.endpoints[id])
	}
}

func (m *model) ids() []string {
	ids := make([]string, 0, len(m.endpoints))
	for id := range m.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// enrol reports waiting requests of a router to the pool.
func (m *model) enrol(router scheduler.RouterID, tickets ...scheduler.Ticket) {
	for i := range tickets {
		if tickets[i].Model == "" {
			tickets[i].Model = "draft"
		}
		m.requests[scheduler.RequestID{Router: router, Seq: tickets[i].Seq}] = &knownRequest{ticket: tickets[i]}
	}
	m.apply(scheduler.Report{Router: router, Tickets: tickets})
}

// progress reports the total of units that a running request has used.
func (m *model) progress(id scheduler.RequestID, charged uint32) {
	m.requests[id].charged = charged
	m.apply(scheduler.Report{Router: id.Router, Progress: []scheduler.Progress{{Seq: id.Seq, Charged: charged}}})
}

// finish ends a request and returns the reported ending.
func (m *model) finish(id scheduler.RequestID, ending scheduler.Ending, charged uint32) scheduler.Finish {
	finish := scheduler.Finish{
		Seq: id.Seq, Charged: charged, Ending: ending,
		First: 20 * time.Millisecond, Took: 20*time.Millisecond + time.Duration(charged)*10*time.Millisecond,
	}
	delete(m.requests, id)
	m.apply(scheduler.Report{Router: id.Router, Finished: []scheduler.Finish{finish}})
	return finish
}

// sorted returns the ids of the running requests, or else of the waiting ones, in a fixed
// order.
func (m *model) sorted(running bool) []scheduler.RequestID {
	var ids []scheduler.RequestID
	for id, request := range m.requests {
		if (request.endpoint != "") == running {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b scheduler.RequestID) int {
		return compareText(fmt.Sprintf("%s/%d/%09d", a.Router.Name, a.Router.Incarnation, a.Seq),
			fmt.Sprintf("%s/%d/%09d", b.Router.Name, b.Router.Incarnation, b.Seq))
	})
	return ids
}

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
