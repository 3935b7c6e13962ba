// Package announcer is the endpoint's side of service registration: it announces
// the endpoint to a router of its availability zone at regular intervals and
// withdraws it when the endpoint stops.
//
// Invariants: an announcement is repeated every third of its time to live, so
// that the lease survives the loss of two announcements in a row; the router
// that answered last is tried first, and if it fails the others are tried at
// once, so that the restart of a router does not end the endpoint's lease; cache
// events that reached no router are kept, up to MaxPending of each kind.
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

// ErrAnnounce is wrapped by every error of an announcement or withdrawal.
var ErrAnnounce = merry.Sentinel("no router took the announcement")

// MaxPending bounds the cache events of each kind (cached, evicted) that no
// router has accepted yet. The oldest are dropped first: a dropped event at most
// costs a cache hit.
const MaxPending = 1024

// announcementsPerTTL is the number of announcements in one time to live.
const announcementsPerTTL = 3

// maxErrorBytes bounds the part of a router's error response that is read.
const maxErrorBytes = 512

// Announcement is the state of an endpoint as sent to a router.
type Announcement struct {
	Incarnation uint64            `json:"incarnation"`
	Service     string            `json:"service"`
	Address     netip.AddrPort    `json:"address"`
	Labels      map[string]string `json:"labels,omitempty"`
	Models      []string          `json:"models,omitempty"`
	Slots       int               `json:"slots"`
	TTLMS       int64             `json:"ttl_ms"`
	Load        int               `json:"load"`              // running requests, as last measured by the endpoint
	Cached      Hashes            `json:"cached,omitempty"`  // prefixes added to the cache
	Evicted     Hashes            `json:"evicted,omitempty"` // prefixes evicted from the cache
	Leaving     bool              `json:"leaving,omitempty"`
	Fenced      bool              `json:"fenced,omitempty"` // the endpoint refuses orders with an outdated fencing number
	Loaded      []string          `json:"loaded,omitempty"` // models that are loaded now
	Fence       uint64            `json:"fence,omitempty"`  // highest fencing number that the endpoint has received
}

// Hashes are prefix hashes. They are encoded as decimal strings, because JSON
// numbers lose digits of 64-bit values.
type Hashes []uint64

// MarshalJSON encodes the hashes as decimal strings.
func (h Hashes) MarshalJSON() ([]byte, error) {
	texts := make([]string, 0, len(h))
	for _, hash := range h {
		texts = append(texts, strconv.FormatUint(hash, 10))
	}
	return json.Marshal(texts)
}

// Announcer announces one endpoint. It is not safe for concurrent use.
type Announcer struct {
	ID      string
	Routers []netip.AddrPort // public addresses of the availability zone's routers
	Token   string           // bearer token that authorises announcing for the service
	Client  *http.Client
	Clock   clockwork.Clock
	// Describe returns the endpoint's current state, with the cache events
	// since the previous call.
	Describe func() Announcement
	// OnChange, if set, is called by Run with the error when announcements begin
	// to fail, and with nil when they succeed again.
	OnChange func(error)

	current        int // index of the router to try first: the one that answered last
	pendingCached  Hashes
	pendingEvicted Hashes
	failing        bool
}

// Run sends an announcement at once and then every third of the time to live,
// until the context is done.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := a.announceOnce(ctx)
		select {
		case <-ctx.Done():
		case <-a.Clock.After(pause):
		}
	}
}

// announceOnce sends one announcement and returns the pause until the next.
func (a *Announcer) announceOnce(ctx context.Context) time.Duration {
	announcement := a.describeWithPending()
	err := a.Announce(ctx, announcement)
	if err == nil {
		a.pendingCached, a.pendingEvicted = nil, nil
	}
	a.reportChange(ctx, err)
	return time.Duration(announcement.TTLMS) * time.Millisecond / announcementsPerTTL
}

// reportChange calls OnChange only on a transition between success and failure:
// an endpoint whose routers are all unreachable would otherwise log a line for
// every attempt.
func (a *Announcer) reportChange(ctx context.Context, err error) {
	failing := err != nil
	if failing == a.failing || ctx.Err() != nil {
		return
	}
	a.failing = failing
	if a.OnChange != nil {
		a.OnChange(err)
	}
}

// describeWithPending returns the endpoint's current state with all cache events
// that no router has accepted yet.
func (a *Announcer) describeWithPending() Announcement {
	announcement := a.Describe()
	a.pendingCached = newest(append(a.pendingCached, announcement.Cached...))
	a.pendingEvicted = newest(append(a.pendingEvicted, announcement.Evicted...))
	announcement.Cached, announcement.Evicted = a.pendingCached, a.pendingEvicted
	return announcement
}

// newest returns the last MaxPending hashes.
func newest(hashes Hashes) Hashes {
	return hashes[max(0, len(hashes)-MaxPending):]
}

// Announce sends the announcement to one router, trying each in turn until one
// accepts it. Errors wrap ErrAnnounce.
func (a *Announcer) Announce(ctx context.Context, announcement Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return merry.Errorf("%w: %v; correct the endpoint's settings", ErrAnnounce, err)
	}
	ttl := time.Duration(announcement.TTLMS) * time.Millisecond
	return a.sendToAny(ctx, http.MethodPost, "/v1/endpoints/"+a.ID, body, ttl/(2*announcementsPerTTL))
}

// Withdraw ends the endpoint's lease at once. The timeout applies to each router
// that is tried. Errors wrap ErrAnnounce.
func (a *Announcer) Withdraw(ctx context.Context, incarnation uint64, timeout time.Duration) error {
	path := "/v1/endpoints/" + a.ID + "?incarnation=" + strconv.FormatUint(incarnation, 10)
	return a.sendToAny(ctx, http.MethodDelete, path, nil, timeout)
}

// sendToAny sends a request to one router after another, beginning with the
// current one, until one accepts it or ctx is done.
func (a *Announcer) sendToAny(ctx context.Context, method, path string, body []byte, timeout time.Duration) error {
	err := merry.Errorf("%w: no routers are set; name the zone's routers in the settings", ErrAnnounce)
	for range a.Routers {
		if err = a.sendToCurrent(ctx, method, path, body, timeout); err == nil || ctx.Err() != nil {
			return err
		}
		a.current = (a.current + 1) % len(a.Routers)
	}
	return err
}

// sendToCurrent sends a request to the current router. A status other than 2xx
// is an error.
func (a *Announcer) sendToCurrent(ctx context.Context, method, path string, body []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	router := a.Routers[a.current]
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
	answer, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if response.StatusCode/100 != 2 {
		return merry.Errorf("%w: %s answered %s: %s", ErrAnnounce, router, response.Status, answer)
	}
	return nil
}
