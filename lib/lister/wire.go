package lister

import (
	"net/netip"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/messenger"
)

// ErrWire means that a message about an endpoint cannot be read.
var ErrWire = merry.Sentinel("listing cannot be read")

// ToWire converts a listing for a message.
func ToWire(l Listing) *messenger.Listing {
	wire := &messenger.Listing{
		Id: l.ID, Service: l.Service, Zone: l.Zone, Slots: uint32(l.Slots),
		Sequence: l.Sequence, State: uint32(l.State), Silent: l.Silent,
	}
	if l.Address.IsValid() {
		wire.Address = l.Address.String()
	}
	return wire
}

// FromWire converts a message's listing.
func FromWire(wire *messenger.Listing) (Listing, error) {
	l := Listing{
		ID: wire.GetId(), Service: wire.GetService(), Zone: wire.GetZone(), Slots: int(wire.GetSlots()),
		Sequence: wire.GetSequence(), State: State(wire.GetState()), Silent: wire.GetSilent(),
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
