package lister

import (
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/messenger"
)

// ErrWire is returned for a message that contains an invalid listing.
var ErrWire = merry.Sentinel("listing cannot be read")

// EncodableToWire encodes listings for a message sent at the given time. It leaves out those that cannot be encoded: a
// single text that is not UTF-8 would fail the whole message, and every later one that contains it.
func EncodableToWire(listings []Listing, now time.Time) []*messenger.Listing {
	wire := make([]*messenger.Listing, 0, len(listings))
	for i := range listings {
		if listings[i].isEncodable() {
			wire = append(wire, ToWire(listings[i], now))
		}
	}
	return wire
}

// isEncodable reports whether a message can contain all texts of the listing.
func (l *Listing) isEncodable() bool {
	return utf8.ValidString(l.ID) && utf8.ValidString(l.Service) && utf8.ValidString(l.Zone) && utf8.ValidString(l.Version)
}

// ToWire encodes a listing for a message sent at the given time.
func ToWire(l Listing, now time.Time) *messenger.Listing {
	wire := &messenger.Listing{
		Id: l.ID, Service: l.Service, Zone: l.Zone, Slots: uint32(l.Slots),
		Sequence: l.Sequence, State: uint32(l.State), Silent: l.Silent, Version: l.Version, Disputed: l.Disputed,
	}
	if l.Address.IsValid() {
		wire.Address = l.Address.String()
	}
	wire.StartedMs = ToMillis(l.Started)
	if l.Cold(now) {
		wire.ColdMs = uint32(l.ColdUntil.Sub(now) / time.Millisecond)
	}
	return wire
}

// ToMillis encodes the start of an incarnation as Unix milliseconds. An unknown start is 0.
func ToMillis(started time.Time) uint64 {
	if started.IsZero() {
		return 0
	}
	return uint64(started.UnixMilli())
}

// FromMillis decodes the start of an incarnation from Unix milliseconds. 0 is an unknown
// start.
func FromMillis(milliseconds uint64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(milliseconds))
}

// FromWire decodes a listing from a message received at the given time. It returns ErrWire
// for a missing id, an unknown state or an invalid address.
func FromWire(wire *messenger.Listing, now time.Time) (Listing, error) {
	l := Listing{
		ID: wire.GetId(), Service: wire.GetService(), Zone: wire.GetZone(), Slots: int(wire.GetSlots()),
		Sequence: wire.GetSequence(), State: State(wire.GetState()), Silent: wire.GetSilent(),
		Started: FromMillis(wire.GetStartedMs()), Version: wire.GetVersion(), Disputed: wire.GetDisputed(),
	}
	if left := wire.GetColdMs(); left > 0 {
		l.ColdUntil = now.Add(time.Duration(left) * time.Millisecond)
	}
	if l.ID == "" || l.State < Ready || l.State > Gone {
		return Listing{}, merry.Errorf("%w: instance %q in state %d; run one version of all programs", ErrWire, l.ID, l.State)
	}
	if wire.GetAddress() == "" && l.State == Gone {
		return l, nil
	}
	address, err := netip.ParseAddrPort(wire.GetAddress())
	if err != nil {
		return Listing{}, merry.Errorf("%w: address %q of instance %q: %v", ErrWire, wire.GetAddress(), l.ID, err)
	}
	l.Address = address
	return l, nil
}
