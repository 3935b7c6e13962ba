package registrar

import (
	"net/netip"
	"strconv"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/messenger"
)

// Bounds of one announcement. maxNameLength is in bytes; maxHashes bounds the cache
// events of each kind.
const (
	maxNameLength = 128
	maxLabels     = 64
	maxModels     = 256
	maxSlots      = 65536
	maxHashes     = 8192
	minTTLMs      = 100
	maxTTLMs      = 300000 // an endpoint that stops announcing must not stay listed for longer
)

// errAnnouncement is the kind of every error in an announcement.
var errAnnouncement = merry.Sentinel("announcement is malformed")

// announcement is the body of POST /v1/endpoints/{id}. TTL is in milliseconds; Cached and
// Evicted are the hashes of prompt parts, as decimal texts.
type announcement struct {
	Incarnation uint64            `json:"incarnation"`
	Service     string            `json:"service"`
	Address     string            `json:"address"`
	Labels      map[string]string `json:"labels"`
	Models      []string          `json:"models"`
	Slots       int64             `json:"slots"`
	TTL         int64             `json:"ttl_ms"`
	Load        uint32            `json:"load"`
	Cached      []string          `json:"cached"`
	Evicted     []string          `json:"evicted"`
	Leaving     bool              `json:"leaving"`
	Fenced      bool              `json:"fenced"`
	Loaded      []string          `json:"loaded"`
	Fence       uint64            `json:"fence"`
}

// message checks the announcement and returns it as the message to the scheduler of the
// pool.
func (a *announcement) message(id, zone string) (*messenger.Announcement, error) {
	if problem := a.check(id); problem != "" {
		return nil, merry.Errorf("%w: %s", errAnnouncement, problem)
	}
	if err := a.checkLabels(); err != nil {
		return nil, err
	}
	cached, err := parseHashes(a.Cached)
	if err != nil {
		return nil, err
	}
	evicted, err := parseHashes(a.Evicted)
	if err != nil {
		return nil, err
	}
	return &messenger.Announcement{
		Id: id, Incarnation: a.Incarnation, Service: a.Service, Zone: zone, Address: a.Address,
		Labels: a.Labels, Models: a.Models, Slots: uint32(a.Slots), TtlMs: uint32(a.TTL),
		Leaving: a.Leaving, Load: a.Load, Cached: cached, Evicted: evicted,
		Fenced: a.Fenced, Loaded: a.Loaded, Fence: a.Fence,
	}, nil
}

// check returns the first problem of the announcement as a text for the endpoint, or an
// empty text.
func (a *announcement) check(id string) string {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case id == "" || len(id) > maxNameLength || !utf8.ValidString(id):
		return "the id in the path must have 1 to 128 bytes of UTF-8"
	case a.Service == "" || len(a.Service) > maxNameLength:
		return "service must have 1 to 128 characters"
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
		return "address must be an IP number and a port, such as 10.0.0.7:9000"
	case a.Slots < 1 || a.Slots > maxSlots:
		return "slots must be from 1 to 65536"
	case a.TTL < minTTLMs || a.TTL > maxTTLMs:
		return "ttl_ms must be from 100 to 300000"
	case len(a.Models) > maxModels || len(a.Loaded) > maxModels:
		return "there may be at most 256 models"
	case len(a.Cached) > maxHashes || len(a.Evicted) > maxHashes:
		return "there may be at most 8192 cache events of each kind"
	default:
		return ""
	}
}

// checkLabels checks the labels and rejects those that the router sets itself: an
// endpoint that sets another zone or service would get work that it is not allowed to
// take.
func (a *announcement) checkLabels() error {
	if len(a.Labels) > maxLabels {
		return merry.Errorf("%w: there may be at most %d labels", errAnnouncement, maxLabels)
	}
	for key, value := range a.Labels {
		switch key {
		case describer.LabelZone, describer.LabelService, describer.LabelEndpoint:
			return merry.Errorf("%w: the label %q is set by the router; leave it out", errAnnouncement, key)
		}
		if err := labeler.Check(key, value); err != nil {
			return err
		}
	}
	return nil
}

// parseHashes parses hashes from decimal texts. JSON numbers lose digits beyond 53 bits.
func parseHashes(texts []string) ([]uint64, error) {
	numbers := make([]uint64, 0, len(texts))
	for _, text := range texts {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, merry.Errorf("%w: %q is no hash; write it as a decimal text", errAnnouncement, text)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}
