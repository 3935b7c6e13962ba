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

// Member is one incarnation of a router.
type Member struct {
	Name        string
	Zone        string
	Incarnation uint64 // rises with each restart
	Address     netip.AddrPort
	Leaving     bool   // about to stop
	Beat        uint32 // rises with each of its heartbeats
}

// record is a member of the detector's own zone with its liveness state.
type record struct {
	Member
	lastRise time.Time // time when its beat last rose
	dead     bool
}

// zone is the known state of another zone.
type zone struct {
	members     []Member
	digest      uint64 // digest of the received list, 0 before the first one
	lastContact time.Time
	cursor      int  // position of the queried member, rises when it does not respond
	unanswered  bool // whether the last query has got no response yet
}

func encode(m Member) *messenger.Member {
	return &messenger.Member{
		Name: m.Name, Zone: m.Zone, Incarnation: m.Incarnation,
		Address: m.Address.String(), Leaving: m.Leaving, Beat: m.Beat,
	}
}

// decode decodes a member. It returns false if the address is invalid or the name or zone is
// missing, because such a member cannot be called.
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

// digestOf hashes the data that determines which router schedules which pool: names,
// incarnations and leaving marks, but not the beats, which change constantly. The names of the
// other zones are included so that every router learns of a new zone.
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

// Owner returns the member that schedules a zone's pool of a service: the member with the
// highest hash of pool and name (rendezvous hashing), so that a joining or leaving member moves
// only its own share of the pools. Leaving members are chosen only if there are no others.
func Owner(members []Member, zone, service string) (Member, bool) {
	best, found, highest := Member{}, false, uint64(0)
	for _, m := range members {
		score := xxhash.Sum64String(zone + "\x00" + service + "\x00" + m.Name)
		preferred := best.Leaving && !m.Leaving
		if !found || preferred || (m.Leaving == best.Leaving && score > highest) {
			best, found, highest = m, true, score
		}
	}
	return best, found
}

// sorted sorts the members by name in place and returns them.
func sorted(members []Member) []Member {
	slices.SortFunc(members, byName)
	return members
}
