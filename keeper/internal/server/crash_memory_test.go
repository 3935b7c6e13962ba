package server

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/recorder"
)

// crashFleet plays the exchange of crashes between routers and keepers that stop and start.
type crashFleet struct {
	clock    *clockwork.FakeClock
	keepers  []*crashKeeper
	routers  []*crashRouter
	lifetime localizer.Lifetime
	epochs   uint64
}

// crashKeeper is a keeper's memory and disk.
type crashKeeper struct {
	*Server    // nil while it is stopped
	address    netip.AddrPort
	files      *recorder.Memory
	written    archived
	deliveries *deliveryTimes
}

// crashRouter is a router's memory.
type crashRouter struct {
	name     string
	observer *localizer.Observer // nil while it is stopped
	exchange *localizer.Exchange
}

func newCrashFleet() *crashFleet {
	f := &crashFleet{clock: clockwork.NewFakeClock()}
	for n := range 3 {
		k := &crashKeeper{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1), files: recorder.NewMemory()}
		f.keepers = append(f.keepers, k)
		f.startKeeper(k)
	}
	for n := range 2 {
		r := &crashRouter{name: fmt.Sprint("router-", n)}
		f.routers = append(f.routers, r)
		f.startRouter(r)
	}
	return f
}

func (f *crashFleet) startKeeper(k *crashKeeper) {
	f.epochs++
	k.Server = &Server{files: k.files, clock: f.clock, log: zerolog.Nop(), settings: &settings.Settings{}, epoch: f.epochs}
	k.written, k.deliveries = archived{}, &deliveryTimes{}
	k.restore()
}

// stopKeeper stops a keeper as planned, or kills it.
func (f *crashFleet) stopKeeper(k *crashKeeper, planned bool) {
	if planned {
		k.archiveCrashes(&k.written)
	}
	k.Server = nil
	for _, r := range f.routers {
		if r.observer != nil {
			r.exchange.Lost(k.address)
		}
	}
	for _, other := range f.keepers {
		if other.Server != nil {
			other.deliveries.lose(k.address)
		}
	}
}

func (f *crashFleet) startRouter(r *crashRouter) {
	r.observer = &localizer.Observer{}
	r.exchange = &localizer.Exchange{Observer: r.observer, Clock: f.clock, Log: zerolog.Nop()}
}

// crash has an endpoint crash under a request at a router.
func (f *crashFleet) crash(r *crashRouter) {
	f.lifetime++
	r.observer.Broke(f.clock.Now(), f.lifetime, localizer.Profile{Service: 1, Whole: badFeature}, 0)
	r.observer.Ended(f.clock.Now(), f.lifetime)
}

// run lets processes exchange what they know for some time.
func (f *crashFleet) run(span time.Duration) {
	const poll = 100 * time.Millisecond
	for end := f.clock.Now().Add(span); f.clock.Now().Before(end); f.clock.Advance(poll) {
		for _, k := range f.keepers {
			if k.Server == nil {
				continue
			}
			for _, r := range f.routers {
				if r.observer != nil {
					f.pollByRouter(r, k)
				}
			}
			for _, other := range f.keepers {
				if other != k && other.Server != nil {
					f.pollByKeeper(other, k)
				}
			}
			k.directory.expire(f.clock.Now())
			if f.clock.Now().UnixMilli()%archiveInterval.Milliseconds() < poll.Milliseconds() {
				k.archiveCrashes(&k.written)
			}
		}
	}
}

func (f *crashFleet) pollByRouter(r *crashRouter, k *crashKeeper) {
	request := &messenger.FollowRequest{Node: r.name}
	r.exchange.AddReport(k.address, request)
	k.directory.follow(f.clock.Now(), request)
	r.exchange.Answered(k.address, k.directory.updatesFor(f.clock.Now(), request, k.epoch))
}

func (f *crashFleet) pollByKeeper(from, to *crashKeeper) {
	request := &messenger.FollowRequest{Node: from.address.String(), Keeper: true}
	since, missed := from.deliveries.begin(f.clock.Now(), to.address)
	from.directory.summarize(f.clock.Now(), since, missed, request)
	to.directory.follow(f.clock.Now(), request)
	from.deliveries.acknowledge(to.address, to.directory.updatesFor(f.clock.Now(), request, to.epoch).GetEpoch())
}

// quarantined reports whether a keeper has quarantined the bad feature.
func (f *crashFleet) quarantined() bool {
	for _, k := range f.keepers {
		if k.Server != nil && len(quarantinedIn(&k.directory, f.clock.Now())) > 0 {
			return true
		}
	}
	return false
}

// restartKeepersInTurn stops and starts the keepers one after the other.
func (f *crashFleet) restartKeepersInTurn(planned bool) {
	for _, k := range f.keepers {
		f.stopKeeper(k, planned)
		f.run(time.Second)
		f.startKeeper(k)
		f.run(4 * time.Second)
	}
}

// restartRouters stops and starts all routers as planned.
func (f *crashFleet) restartRouters() {
	for _, r := range f.routers {
		f.startRouter(r)
	}
}

// restartEverything stops and starts all processes at once.
func (f *crashFleet) restartEverything(planned bool) {
	for _, k := range f.keepers {
		f.stopKeeper(k, planned)
	}
	f.restartRouters()
	for _, k := range f.keepers {
		f.startKeeper(k)
	}
}

// Guards against crashes that are forgotten when keepers and routers stop and start: a request would be
// permitted three more.
func TestCrashesOutlastRestarts(t *testing.T) {
	tests := map[string]func(f *crashFleet){
		"none":            func(*crashFleet) {},
		"keepers in turn": func(f *crashFleet) { f.restartKeepersInTurn(true) },
		"keepers in turn, twice": func(f *crashFleet) {
			f.restartKeepersInTurn(true)
			f.restartKeepersInTurn(true)
		},
		"keepers in turn, killed": func(f *crashFleet) { f.restartKeepersInTurn(false) },
		"all keepers at once": func(f *crashFleet) {
			for _, k := range f.keepers {
				f.stopKeeper(k, true)
			}
			f.run(40 * time.Second)
			for _, k := range f.keepers {
				f.startKeeper(k)
			}
		},
		"all routers, then keepers in turn": func(f *crashFleet) {
			f.restartRouters()
			f.restartKeepersInTurn(true)
		},
		"keepers in turn, then all routers": func(f *crashFleet) {
			f.restartKeepersInTurn(true)
			f.restartRouters()
		},
		"everything at once":         func(f *crashFleet) { f.restartEverything(true) },
		"everything at once, killed": func(f *crashFleet) { f.restartEverything(false) },
		"keepers are replaced in turn, routers first": func(f *crashFleet) {
			f.restartRouters()
			for _, k := range f.keepers {
				f.stopKeeper(k, true)
				k.files = recorder.NewMemory()
				f.startKeeper(k)
				f.run(4 * time.Second)
			}
		},
		"all keepers lose their disks": func(f *crashFleet) {
			for _, k := range f.keepers {
				f.stopKeeper(k, false)
				k.files = recorder.NewMemory()
			}
			for _, k := range f.keepers {
				f.startKeeper(k)
			}
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet()
			f.run(time.Second)
			f.crash(f.routers[0])
			f.run(time.Second)
			f.crash(f.routers[1])
			f.run(35 * time.Second)
			restart(f)
			f.run(4 * time.Second)
			require.False(t, f.quarantined())
			f.crash(f.routers[0])
			f.run(3 * time.Second)
			require.True(t, f.quarantined(), "the third crash")
		})
	}
}

// Guards against crashes of which each keeper knows another part, since it was away at the others, and the
// routers that knew them have started again.
func TestKeepersTellEachOtherWhatTheyMissed(t *testing.T) {
	f := newCrashFleet()
	f.run(time.Second)
	for _, k := range f.keepers {
		f.stopKeeper(k, true)
		f.run(10 * time.Second)
		f.crash(f.routers[0])
		f.run(10 * time.Second)
		f.restartRouters()
		f.startKeeper(k)
		f.run(time.Second)
	}
	f.run(3 * time.Second)
	require.True(t, f.quarantined())
}

// Guards against crashes that routers forget while no keeper answers.
func TestCrashesAreReportedAfterALongOutageOfTheKeepers(t *testing.T) {
	f := newCrashFleet()
	for _, k := range f.keepers {
		f.stopKeeper(k, true)
	}
	for range 3 {
		f.crash(f.routers[0])
		f.run(2 * time.Minute)
	}
	for _, k := range f.keepers {
		f.startKeeper(k)
	}
	f.run(3 * time.Second)
	require.True(t, f.quarantined())
}

// Guards against a sound feature that is quarantined after restarts for crashes which its answers refute.
func TestRestartsBringNoRefutedCrashesBack(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			f := newCrashFleet()
			f.run(time.Second)
			for range 30 {
				k, r := f.keepers[random.IntN(len(f.keepers))], f.routers[random.IntN(len(f.routers))]
				switch random.IntN(4) {
				case 0:
					if k.Server != nil {
						f.stopKeeper(k, random.IntN(2) == 0)
					} else {
						f.startKeeper(k)
					}
				case 1:
					f.startRouter(r)
				default:
					f.crash(r)
					f.run(time.Second)
					r.observer.Answered(f.clock.Now(), localizer.Profile{Service: 1, Whole: badFeature})
				}
				f.run(time.Duration(random.IntN(20)) * time.Second)
				require.False(t, f.quarantined())
			}
		})
	}
}
