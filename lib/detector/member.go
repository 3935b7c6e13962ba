package detector

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
)

// Member is one life of a router.
type Member struct {
	Name        string
	Zone        string
	Incarnation uint64 // rises with each restart
	Address     netip.AddrPort
	Leaving     bool
	Beat        uint32 // rises with each of its heartbeats
}

// record is a member of the detector's own zone with the evidence for its life.
type record struct {
	Member
	heard time.Time // when its beat last rose
	dead  bool
}

// zone is what is known of another zone.
type zone struct {
	members []Member
	digest  uint64
	heard   time.Time
	cursor  int
	asked   bool // and not yet answered
}

func encode(m Member) *messenger.Member {
	return &messenger.Member{
		Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation,
		Address: m.Address.String(), Leaving: m.Leaving, Beat: m.Beat,
	}
}

// decode returns false for a member that no call could reach.
func decode(m *messenger.Member) (Member, bool) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || m.GetName() == "" || m.GetZone() == "" {
		return Member{}, false
	}
	return Member{
		Name: m.GetName(), Zone: m.GetZone(), Incarnation: m.GetIncarnation(),
		Address: address, Leaving: m.GetLeaving(), Beat: m.GetBeat(),
	}, true
}

func byName(a, b Member) int {
	return cmp.Compare(a.Name, b.Name)
}

// digestOf hashes what decides who schedules what: names, incarnations and
// leaving, but not the beats, which change all the time. The names of the
// other zones are part of it so that every router hears of a new zone.
func digestOf(members []Member, zones []string) uint64 {
	hash := xxhash.New()
	var number [9]byte
	for _, m := range members {
		_, _ = hash.WriteString(m.Name + "\x00")
		binary.BigEndian.PutUint64(number[:8], m.Incarnation)
		number[8] = 0
		if m.Leaving {
			number[8] = 1
		}
		_, _ = hash.Write(number[:])
	}
	for _, name := range zones {
		_, _ = hash.WriteString(name + "\x01")
	}
	return hash.Sum64()
}

// Owner returns the member that schedules a zone's pool of a service: the one
// with the highest hash of pool and name (rendezvous hashing), so that a
// member that comes or goes moves only its own share of the pools. Leaving
// members are passed over while there are others.
func Owner(members []Member, zone, service string) (Member, bool) {
	best, found, highest := Member{}, false, uint64(0)
	for _, m := range members {
		score := xxhash.Sum64String(zone + "\x00" + service + "\x00" + m.Name)
		stays := best.Leaving && !m.Leaving
		if !found || stays || (m.Leaving == best.Leaving && score > highest) {
			best, found, highest = m, true, score
		}
	}
	return best, found
}

func sorted(members []Member) []Member {
	slices.SortFunc(members, byName)
	return members
}
