// Package announcer is the endpoint side of announcing: it tells the routers
// of its availability zone what the endpoint is, again and again, and
// withdraws it when the endpoint stops.
//
// Invariants: an announcement is repeated every third of its time to live, so
// that two lost ones in a row do not end the lease; the router that answered
// last is asked first, and the others follow at once when it does not, because
// a router that restarts must not cost the endpoint its lease; cache events
// that reached no router are kept, up to MaxPending of each kind.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
)

// ErrAnnounce is the kind of every error of an announcement or withdrawal.
var ErrAnnounce = merry.Sentinel("no router took the announcement")

// MaxPending bounds the cache events of each kind that wait for a router. The
// oldest are dropped first: a gap only costs a router a cache hit.
const MaxPending = 1024

// renewals is how many announcements fit into one time to live.
const renewals = 3

// maxAnswer bounds what is read of a router's error answer.
const maxAnswer = 512

// Announcement is what an endpoint tells of itself.
type Announcement struct {
	Incarnation uint64            `json:"incarnation"`
	Service     string            `json:"service"`
	Address     netip.AddrPort    `json:"address"`
	Labels      map[string]string `json:"labels,omitempty"`
	Models      []string          `json:"models,omitempty"`
	Slots       int               `json:"slots"`
	TTL         int64             `json:"ttl_ms"`
	Load        int               `json:"load"`
	Cached      Hashes            `json:"cached,omitempty"`
	Evicted     Hashes            `json:"evicted,omitempty"`
	Leaving     bool              `json:"leaving,omitempty"`
	Fenced      bool              `json:"fenced,omitempty"`
	Loaded      []string          `json:"loaded,omitempty"`
	Fence       uint64            `json:"fence,omitempty"`
}

// Hashes are prefix hashes, written as decimal texts because JSON numbers lose digits.
type Hashes []uint64

// MarshalJSON writes the hashes as texts.
func (h Hashes) MarshalJSON() ([]byte, error) {
	texts := make([]string, 0, len(h))
	for _, hash := range h {
		texts = append(texts, strconv.FormatUint(hash, 10))
	}
	return json.Marshal(texts)
}

// Announcer announces one endpoint. Its methods are called by one goroutine.
type Announcer struct {
	ID      string
	Routers []netip.AddrPort // public addresses of the availability zone's routers
	Token   string           // the endpoints' token
	Client  *http.Client
	Clock   clockwork.Clock
	// Describe returns the endpoint's present state, with the cache events
	// since the last call.
	Describe func() Announcement
	// Changed is called when announcing starts to fail (with the error) and
	// when it works again (with nil).
	Changed func(error)

	last    int // index of the router that answered last
	cached  Hashes
	evicted Hashes
	failing bool
}

// Run announces at once and then every third of the time to live, until the
// context ends.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := a.round(ctx)
		select {
		case <-ctx.Done():
		case <-a.Clock.After(pause):
		}
	}
}

func (a *Announcer) round(ctx context.Context) time.Duration {
	announcement := a.collect()
	err := a.Announce(ctx, announcement)
	if err == nil {
		a.cached, a.evicted = nil, nil
	}
	a.report(ctx, err)
	return time.Duration(announcement.TTL) * time.Millisecond / renewals
}

// report tells changes only, because an endpoint whose routers are all away
// would otherwise write a line for every attempt.
func (a *Announcer) report(ctx context.Context, err error) {
	failing := err != nil
	if failing == a.failing || ctx.Err() != nil {
		return
	}
	a.failing = failing
	if a.Changed != nil {
		a.Changed(err)
	}
}

func (a *Announcer) collect() Announcement {
	announcement := a.Describe()
	a.cached = newest(append(a.cached, announcement.Cached...))
	a.evicted = newest(append(a.evicted, announcement.Evicted...))
	announcement.Cached, announcement.Evicted = a.cached, a.evicted
	return announcement
}

func newest(hashes Hashes) Hashes {
	return hashes[max(0, len(hashes)-MaxPending):]
}

// Announce tells one router, trying each in turn until one takes it.
func (a *Announcer) Announce(ctx context.Context, announcement Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return merry.Errorf("%w: %v; correct the endpoint's settings", ErrAnnounce, err)
	}
	ttl := time.Duration(announcement.TTL) * time.Millisecond
	return a.try(ctx, http.MethodPost, "/v1/endpoints/"+a.ID, body, ttl/(2*renewals))
}

// Withdraw ends the endpoint's lease at once.
func (a *Announcer) Withdraw(ctx context.Context, incarnation uint64, timeout time.Duration) error {
	path := "/v1/endpoints/" + a.ID + "?incarnation=" + strconv.FormatUint(incarnation, 10)
	return a.try(ctx, http.MethodDelete, path, nil, timeout)
}

func (a *Announcer) try(ctx context.Context, method, path string, body []byte, timeout time.Duration) error {
	err := merry.Errorf("%w: no routers are set; name the zone's routers in the settings", ErrAnnounce)
	for range a.Routers {
		if err = a.send(ctx, method, path, body, timeout); err == nil || ctx.Err() != nil {
			return err
		}
		a.last = (a.last + 1) % len(a.Routers)
	}
	return err
}

func (a *Announcer) send(ctx context.Context, method, path string, body []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	router := a.Routers[a.last]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+router.String()+path, bytes.NewReader(body))
	if err != nil {
		return merry.Errorf("%w: %v; correct the endpoint's name", ErrAnnounce, err)
	}
	request.Header.Set("Authorization", "Bearer "+a.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.Client.Do(request)
	if err != nil {
		return merry.Errorf("%w: %v; check that a router of the zone runs", ErrAnnounce, err)
	}
	defer response.Body.Close()
	said, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if response.StatusCode/100 != 2 {
		return merry.Errorf("%w: %s said %s: %s", ErrAnnounce, router, response.Status, said)
	}
	return nil
}
