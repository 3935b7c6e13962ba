package recaller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/versioner"
)

var (
	one = versioner.Origin{Service: "desk", Version: "v1"}
	two = versioner.Origin{Service: "desk", Version: "v2"}

	errCut = merry.Sentinel("there is no way there")
)

// nameOf returns the name of a stream whose content no other one has.
func nameOf(request string) versioner.StreamID {
	return versioner.StreamID{Request: request, Content: xxhash.Sum64String("content of " + request)}
}

// fleet is keepers and which routers reach them.
type fleet struct {
	clock *clockwork.FakeClock

	mutex   sync.Mutex
	keepers map[netip.AddrPort]*versioner.Store
	cut     map[string]bool // "router address"
	listed  []*messenger.Listing
}

func newFleet(keepers int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), keepers: make(map[netip.AddrPort]*versioner.Store), cut: make(map[string]bool)}
	for i := range keepers {
		f.keepers[address(i)] = &versioner.Store{}
	}
	return f
}

func address(keeper int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(keeper + 1)}), 7400)
}

// router returns a router that has just started.
func (f *fleet) router(name string) *Recaller {
	return New(Options{
		Clock: f.clock, Log: zerolog.Nop(),
		Keepers: func() []netip.AddrPort {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			var answering []netip.AddrPort
			for keeper := range f.keepers {
				if !f.cut[name+keeper.String()] {
					answering = append(answering, keeper)
				}
			}
			return answering
		},
		Dial: func(keeper netip.AddrPort) messenger.Planning { return &path{fleet: f, router: name, keeper: keeper} },
	})
}

// path is the way from a router to a keeper.
type path struct {
	messenger.Planning
	fleet  *fleet
	router string
	keeper netip.AddrPort
}

func (p *path) Recall(_ context.Context, request *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	if p.fleet.cut[p.router+p.keeper.String()] {
		return nil, errCut
	}
	origin, found := p.fleet.keepers[p.keeper].Find(p.fleet.clock.Now(), request.GetStream())
	if !found {
		return &messenger.RecallResponse{}, nil
	}
	return &messenger.RecallResponse{Service: origin.Service, Version: origin.Version}, nil
}

// restart lets a keeper start again, without memory.
func (f *fleet) restart(keeper int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.keepers[address(keeper)] = &versioner.Store{}
}

// set cuts a router from a keeper, or joins them.
func (f *fleet) set(router string, keeper int, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut[router+address(keeper).String()] = cut
}

func (p *path) Locate(_ context.Context, request *messenger.LocateRequest) (*messenger.LocateResponse, error) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	if p.fleet.cut[p.router+p.keeper.String()] {
		return nil, errCut
	}
	response := &messenger.LocateResponse{}
	for _, listing := range p.fleet.listed {
		if listing.GetService() == request.GetService() && listing.GetVersion() == request.GetVersion() {
			response.Listings = append(response.Listings, listing)
		}
	}
	return response, nil
}

// report lets a router report to a keeper. The keeper may get the report and its answer be lost.
func (f *fleet) report(r *Recaller, keeper int, arrives, answered bool) {
	begun := r.Report(address(keeper))
	if arrives {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		for _, record := range versioner.FromWire(begun) {
			f.keepers[address(keeper)].Add(f.clock.Now(), record.Stream, record.Origin)
		}
	}
	if answered {
		r.Told(address(keeper))
		return
	}
	r.Lost(address(keeper))
}

// Streams of a router that was killed, or that is cut off, went on at any version, or nowhere though
// a keeper knew where they began.
func TestStreamsAreFoundAtAnotherRouter(t *testing.T) {
	for name, test := range map[string]struct {
		do    func(f *fleet, began *Recaller)
		found bool
	}{
		"reported, its router is killed": {func(f *fleet, began *Recaller) { f.report(began, 0, true, true) }, true},
		"not reported":                   {func(*fleet, *Recaller) {}, false},
		"the report is lost":             {func(f *fleet, began *Recaller) { f.report(began, 0, false, false) }, false},
		"the report is lost, and sent again": {func(f *fleet, began *Recaller) {
			f.report(began, 0, false, false)
			f.report(began, 0, true, true)
		}, true},
		"the report is lost, and another keeper gets it": {func(f *fleet, began *Recaller) {
			f.report(began, 0, false, false)
			f.report(began, 1, true, true)
		}, true},
		"the answer is lost": {func(f *fleet, began *Recaller) { f.report(began, 0, true, false) }, true},
		"its keeper has forgotten": {func(f *fleet, began *Recaller) {
			f.report(began, 0, true, true)
			f.restart(0)
		}, false},
		"the other side of a cut knows": {func(f *fleet, began *Recaller) {
			f.report(began, 0, true, true)
			f.set("other", 0, true)
		}, false},
		"a keeper on this side knows as well": {func(f *fleet, began *Recaller) {
			f.report(began, 0, true, true)
			f.keepers[address(1)].Add(f.clock.Now(), nameOf("first").Hash(), one)
			f.set("other", 0, true)
		}, true},
		"long ago": {func(f *fleet, began *Recaller) {
			f.report(began, 0, true, true)
			f.clock.Advance(2 * versioner.Retention)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2)
			began := f.router("began")
			began.Begun(nameOf("first"), one)
			test.do(f, began)
			origin, found := f.router("other").Find(t.Context(), nameOf("first"))
			require.Equal(t, test.found, found)
			if found {
				require.Equal(t, one, origin)
			}
			_, found = f.router("other").Find(t.Context(), versioner.StreamID{Content: 2})
			require.False(t, found, "a stream that nobody names")
		})
	}
}

// A router that is cut off from all keepers still knows its own.
func TestOwnStreamsNeedNobody(t *testing.T) {
	f := newFleet(0)
	r := f.router("began")
	r.Begun(nameOf("first"), one)
	origin, found := r.Find(t.Context(), nameOf("first"))
	require.True(t, found)
	require.Equal(t, one, origin)
}

func TestRecordsAreToldOnce(t *testing.T) {
	f := newFleet(1)
	r := f.router("began")
	r.Begun(nameOf("first"), one)
	require.Len(t, versioner.FromWire(r.Report(address(0))), 2, "by its request and by what it asks")
	r.Begun(nameOf("second"), two) // while the poll is under way
	r.Told(address(0))
	told := versioner.FromWire(r.Report(address(0)))
	require.Equal(t, []versioner.Record{{Stream: nameOf("second").Hash(), Origin: two}, {Stream: nameOf("second").Content, Origin: two}}, told)
	r.Told(address(0))
	require.Empty(t, r.Report(address(0)))
	r.Begun(nameOf("first"), one) // it goes on
	require.Empty(t, r.Report(address(0)))
}

func TestUntoldRecordsAreBounded(t *testing.T) {
	f := newFleet(1)
	r := f.router("began")
	for i := range mostUntold + 5 {
		r.Begun(nameOf(fmt.Sprint(i)), one)
	}
	require.Len(t, versioner.FromWire(r.Report(address(0))), mostUntold)
	r.Told(address(0))
	require.Empty(t, r.Report(address(0)))
}

// Whatever is killed, cut off and lost, in any order, no router believes in another version than
// that which began a stream, and with everything in reach and reported all streams are known.
func TestNoFaultMakesAStreamsVersionWrong(t *testing.T) {
	const routers, keepers, steps = 5, 3, 400
	for seed := range uint64(20) {
		draw := rand.New(rand.NewPCG(57, seed))
		f := newFleet(keepers)
		living := make([]*Recaller, routers)
		for i := range living {
			living[i] = f.router(fmt.Sprint(i))
		}
		began := make(map[string]versioner.Origin)
		cuts := make(map[[2]int]bool)
		for step := range steps {
			i, keeper := draw.IntN(routers), draw.IntN(keepers)
			cut := cuts[[2]int{i, keeper}]
			switch draw.IntN(10) {
			case 0:
				living[i] = f.router(fmt.Sprint(i)) // killed, and back
			case 1:
				f.restart(keeper)
			case 2:
				cuts[[2]int{i, keeper}] = !cut
				f.set(fmt.Sprint(i), keeper, !cut)
			case 3, 4, 5:
				name := fmt.Sprint("stream-", step)
				began[name] = []versioner.Origin{one, two}[draw.IntN(2)]
				living[i].Begun(nameOf(name), began[name])
			case 6, 7:
				f.report(living[i], keeper, !cut, !cut && draw.IntN(3) > 0)
			default:
				for range len(began) / 4 {
					name := fmt.Sprint("stream-", draw.IntN(step))
					if got, found := living[i].Find(t.Context(), nameOf(name)); found {
						require.Equal(t, began[name], got, "seed %d, step %d", seed, step)
					}
				}
			}
			f.clock.Advance(time.Duration(draw.IntN(20)) * time.Millisecond)
		}
		for way := range cuts {
			f.set(fmt.Sprint(way[0]), way[1], false)
		}
		for i := range living {
			name := fmt.Sprint("last-", i)
			living[i].Begun(nameOf(name), two)
			f.report(living[i], draw.IntN(keepers), true, true)
		}
		for i := range living {
			origin, found := f.router("new").Find(t.Context(), nameOf(fmt.Sprint("last-", i)))
			require.True(t, found)
			require.Equal(t, two, origin)
		}
	}
}

// A client that does not name its stream was refused though nothing else asks the same, or was taken
// to another one's version.
func TestStreamsAreKnownByWhatTheyAskWhereThatTellsThemApart(t *testing.T) {
	ask := versioner.StreamID{Content: 7}
	for name, test := range map[string]struct {
		begun map[string]versioner.Origin
		found bool
	}{
		"one stream":              {begun: map[string]versioner.Origin{"first": one}, found: true},
		"several at one version":  {begun: map[string]versioner.Origin{"first": one, "second": one}, found: true},
		"several at two versions": {begun: map[string]versioner.Origin{"first": one, "second": two}},
		"none":                    {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			for request, origin := range test.begun {
				r := f.router(request)
				r.Begun(versioner.StreamID{Request: request, Content: ask.Content}, origin)
				f.report(r, 0, true, true)
			}
			origin, found := f.router("other").Find(t.Context(), ask)
			require.Equal(t, test.found, found)
			if found {
				require.Equal(t, one, origin)
			}
			for request, origin := range test.begun {
				got, found := f.router("other").Find(t.Context(), versioner.StreamID{Request: request, Content: ask.Content})
				require.True(t, found, "by its request")
				require.Equal(t, origin, got)
			}
		})
	}
}

// A router of a large fleet refused streams of a version of which it had been told no endpoint.
func TestEndpointsOfAnOriginAreLearnt(t *testing.T) {
	for name, test := range map[string]struct {
		listed []*messenger.Listing
		cut    bool
		want   []string
	}{
		"one of that version": {listed: []*messenger.Listing{{Id: "a", Service: "desk", Version: "v2"}, {Id: "b", Service: "desk", Version: "v1"}}, want: []string{"b"}},
		"of another service":  {listed: []*messenger.Listing{{Id: "a", Service: "other", Version: "v1"}}},
		"none":                {},
		"cut off":             {listed: []*messenger.Listing{{Id: "b", Service: "desk", Version: "v1"}}, cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2)
			f.listed = test.listed
			f.set("router", 0, test.cut)
			f.set("router", 1, test.cut)
			r := f.router("router")
			var learnt []string
			r.options.Learn = func(_ netip.AddrPort, listings []*messenger.Listing) {
				for _, listing := range listings {
					learnt = append(learnt, listing.GetId())
				}
			}
			r.Widen(t.Context(), one)
			require.Equal(t, test.want, learnt)
		})
	}
}
