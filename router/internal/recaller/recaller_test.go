package recaller

import (
	"context"
	"errors"
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

	errUnreachable = merry.Sentinel("the keeper is unreachable")
)

// nameOf returns the ID of a stream with a content hash of its own.
func nameOf(request string) versioner.StreamID {
	return versioner.StreamID{Request: request, Content: xxhash.Sum64String("content of " + request)}
}

// fleet is a set of keepers, and the routers that cannot reach them.
type fleet struct {
	clock *clockwork.FakeClock

	mutex   sync.Mutex
	keepers map[netip.AddrPort]*versioner.Store
	cut     map[string]bool // pairs of router name and keeper address without a connection
	listed  []*messenger.Listing
	epochs  map[int]uint64 // number of restarts, by keeper
	begins  int            // calls that confirmed records
}

func newFleet(keepers int) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), keepers: make(map[netip.AddrPort]*versioner.Store), cut: make(map[string]bool), epochs: make(map[int]uint64)}
	for i := range keepers {
		f.keepers[address(i)] = &versioner.Store{}
	}
	return f
}

func address(keeper int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(keeper + 1)}), 7400)
}

// find returns the origin of a stream as a router finds it.
func find(t *testing.T, r *Recaller, name versioner.StreamID) (versioner.Origin, bool) {
	origin, err := r.Find(t.Context(), name)
	if err != nil {
		require.True(t, errors.Is(err, versioner.ErrUnknown) || errors.Is(err, versioner.ErrUnconfirmed), err)
	}
	return origin, err == nil
}

// router returns a recaller of a router that has just started.
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
		Dial: func(keeper netip.AddrPort) messenger.Planning {
			return &stubKeeper{fleet: f, router: name, keeper: keeper}
		},
	})
}

// stubKeeper is the client with which a router calls a keeper.
type stubKeeper struct {
	messenger.Planning
	fleet  *fleet
	router string
	keeper netip.AddrPort
}

func (p *stubKeeper) Recall(_ context.Context, request *messenger.RecallRequest) (*messenger.RecallResponse, error) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	if p.fleet.cut[p.router+p.keeper.String()] {
		return nil, errUnreachable
	}
	origin, recorded := p.fleet.keepers[p.keeper].Find(p.fleet.clock.Now(), request.GetStream())
	return &messenger.RecallResponse{Service: origin.Service, Version: origin.Version, Recorded: recorded}, nil
}

// restart restarts a keeper with an empty store.
func (f *fleet) restart(keeper int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.keepers[address(keeper)] = &versioner.Store{}
	f.epochs[keeper]++
}

func (f *fleet) epochOf(keeper int) uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.epochs[keeper] + 1
}

func (p *stubKeeper) Begin(_ context.Context, request *messenger.BeginRequest) (*messenger.BeginResponse, error) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	if p.fleet.cut[p.router+p.keeper.String()] {
		return nil, errUnreachable
	}
	p.fleet.begins++
	for _, record := range versioner.FromWire(request.GetBegun()) {
		p.fleet.keepers[p.keeper].Add(p.fleet.clock.Now(), record.Stream, record.Origin)
	}
	return &messenger.BeginResponse{}, nil
}

// setCut cuts or restores the connection of a router to a keeper.
func (f *fleet) setCut(router string, keeper int, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut[router+address(keeper).String()] = cut
}

func (p *stubKeeper) Locate(_ context.Context, request *messenger.LocateRequest) (*messenger.LocateResponse, error) {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	if p.fleet.cut[p.router+p.keeper.String()] {
		return nil, errUnreachable
	}
	response := &messenger.LocateResponse{}
	for _, listing := range p.fleet.listed {
		if listing.GetService() == request.GetService() && listing.GetVersion() == request.GetVersion() {
			response.Listings = append(response.Listings, listing)
		}
	}
	return response, nil
}

// report sends the report of a router to a keeper. The report may be lost, or arrive while its answer
// is lost.
func (f *fleet) report(r *Recaller, keeper int, arrives, answered bool) {
	begun := r.Report(address(keeper))
	if arrives {
		f.mutex.Lock()
		for _, record := range versioner.FromWire(begun) {
			f.keepers[address(keeper)].Add(f.clock.Now(), record.Stream, record.Origin)
		}
		f.mutex.Unlock()
	}
	if answered {
		r.ReportAnswered(address(keeper), f.epochOf(keeper))
		return
	}
	r.ReportLost(address(keeper))
}

// Guards against streams of a router that was killed or cut off: they are resumed at any version, or
// refused although a keeper knows their origin.
func TestStreamsAreFoundAtAnotherRouter(t *testing.T) {
	for name, test := range map[string]struct {
		do    func(f *fleet, first *Recaller)
		found bool
	}{
		"reported, its router is killed": {func(f *fleet, first *Recaller) { f.report(first, 0, true, true) }, true},
		"not reported":                   {func(*fleet, *Recaller) {}, false},
		"the report is lost":             {func(f *fleet, first *Recaller) { f.report(first, 0, false, false) }, false},
		"the report is lost, and repeated": {func(f *fleet, first *Recaller) {
			f.report(first, 0, false, false)
			f.report(first, 0, true, true)
		}, true},
		"the report is lost, and another keeper gets it": {func(f *fleet, first *Recaller) {
			f.report(first, 0, false, false)
			f.report(first, 1, true, true)
		}, true},
		"the answer is lost": {func(f *fleet, first *Recaller) { f.report(first, 0, true, false) }, true},
		"its keeper has restarted": {func(f *fleet, first *Recaller) {
			f.report(first, 0, true, true)
			f.restart(0)
		}, false},
		"only a keeper that is cut off has it": {func(f *fleet, first *Recaller) {
			f.report(first, 0, true, true)
			f.setCut("other", 0, true)
		}, false},
		"a reachable keeper has it as well": {func(f *fleet, first *Recaller) {
			f.report(first, 0, true, true)
			f.keepers[address(1)].Add(f.clock.Now(), nameOf("first").Hash(), one)
			f.setCut("other", 0, true)
		}, true},
		"its retention is over": {func(f *fleet, first *Recaller) {
			f.report(first, 0, true, true)
			f.clock.Advance(2 * versioner.Retention)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2)
			first := f.router("began")
			first.RecordOrigin(context.Background(), nameOf("first"), one)
			test.do(f, first)
			origin, found := find(t, f.router("other"), nameOf("first"))
			require.Equal(t, test.found, found)
			if found {
				require.Equal(t, one, origin)
			}
			_, found = find(t, f.router("other"), versioner.StreamID{Content: 2})
			require.False(t, found, "a stream without a record")
		})
	}
}

// A router that is cut off from all keepers still finds the origins of its own streams.
func TestOwnStreamsAreFoundWithoutKeepers(t *testing.T) {
	f := newFleet(0)
	r := f.router("began")
	r.RecordOrigin(context.Background(), nameOf("first"), one)
	origin, found := find(t, r, nameOf("first"))
	require.True(t, found)
	require.Equal(t, one, origin)
}

func TestRecordsAreReportedOnce(t *testing.T) {
	f := newFleet(1)
	r := f.router("began")
	f.report(r, 0, true, true)
	r.RecordOrigin(context.Background(), nameOf("first"), one)
	require.Len(t, versioner.FromWire(r.Report(address(0))), 2, "one record by request and one by content")
	r.RecordOrigin(context.Background(), nameOf("second"), two) // before the answer to the report
	r.ReportAnswered(address(0), f.epochOf(0))
	reported := versioner.FromWire(r.Report(address(0)))
	require.Equal(t, []versioner.Record{{Stream: nameOf("second").Hash(), Origin: two}, {Stream: nameOf("second").Content, Origin: two}}, reported)
	r.ReportAnswered(address(0), f.epochOf(0))
	require.Empty(t, r.Report(address(0)))
	r.RecordOrigin(context.Background(), nameOf("first"), one) // the stream is resumed
	require.Empty(t, r.Report(address(0)))
}

func TestUnreportedRecordsAreBounded(t *testing.T) {
	f := newFleet(1)
	r := f.router("began")
	f.report(r, 0, true, true)
	for i := range maxUnreported + 5 {
		r.RecordOrigin(context.Background(), nameOf(fmt.Sprint(i)), one)
	}
	require.Len(t, versioner.FromWire(r.Report(address(0))), maxUnreported)
	r.ReportAnswered(address(0), f.epochOf(0))
	require.Empty(t, r.Report(address(0)))
}

// Whatever processes are killed or cut off and whatever reports are lost, in any order, no router
// finds another version than that at which a stream began. Once all keepers are reachable and all
// records reported, all streams are found.
func TestNoFaultYieldsAWrongStreamVersion(t *testing.T) {
	const routers, keepers, steps = 5, 3, 400
	for seed := range uint64(20) {
		draw := rand.New(rand.NewPCG(57, seed))
		f := newFleet(keepers)
		running := make([]*Recaller, routers)
		for i := range running {
			running[i] = f.router(fmt.Sprint(i))
		}
		began := make(map[string]versioner.Origin)
		cuts := make(map[[2]int]bool)
		for step := range steps {
			i, keeper := draw.IntN(routers), draw.IntN(keepers)
			cut := cuts[[2]int{i, keeper}]
			switch draw.IntN(10) {
			case 0:
				running[i] = f.router(fmt.Sprint(i)) // killed and restarted
			case 1:
				f.restart(keeper)
			case 2:
				cuts[[2]int{i, keeper}] = !cut
				f.setCut(fmt.Sprint(i), keeper, !cut)
			case 3, 4, 5:
				name := fmt.Sprint("stream-", step)
				began[name] = []versioner.Origin{one, two}[draw.IntN(2)]
				running[i].RecordOrigin(t.Context(), nameOf(name), began[name])
			case 6, 7:
				f.report(running[i], keeper, !cut, !cut && draw.IntN(3) > 0)
			default:
				for range len(began) / 4 {
					name := fmt.Sprint("stream-", draw.IntN(step))
					if got, found := find(t, running[i], nameOf(name)); found {
						require.Equal(t, began[name], got, "seed %d, step %d", seed, step)
					}
				}
			}
			f.clock.Advance(time.Duration(draw.IntN(20)) * time.Millisecond)
		}
		for pair := range cuts {
			f.setCut(fmt.Sprint(pair[0]), pair[1], false)
		}
		for i := range running {
			name := fmt.Sprint("last-", i)
			running[i].RecordOrigin(t.Context(), nameOf(name), two)
			f.report(running[i], draw.IntN(keepers), true, true)
		}
		for i := range running {
			origin, found := find(t, f.router("new"), nameOf(fmt.Sprint("last-", i)))
			require.True(t, found)
			require.Equal(t, two, origin)
		}
	}
}

// Guards against a client that does not name its stream and is refused although no other stream has
// the same content, or is resumed at the version of another stream.
func TestStreamsAreFoundByContentWhereItIsUnambiguous(t *testing.T) {
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
				r.RecordOrigin(context.Background(), versioner.StreamID{Request: request, Content: ask.Content}, origin)
				f.report(r, 0, true, true)
			}
			origin, found := find(t, f.router("other"), ask)
			require.Equal(t, test.found, found)
			if found {
				require.Equal(t, one, origin)
			}
			for request, origin := range test.begun {
				got, found := find(t, f.router("other"), versioner.StreamID{Request: request, Content: ask.Content})
				require.True(t, found, "by its request")
				require.Equal(t, origin, got)
			}
		})
	}
}

// Guards against a router of a large fleet that refuses streams of a version of which it knows no
// endpoint.
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
			f.setCut("router", 0, test.cut)
			f.setCut("router", 1, test.cut)
			r := f.router("router")
			var learned []string
			r.options.Learn = func(_ netip.AddrPort, listings []*messenger.Listing) {
				for _, listing := range listings {
					learned = append(learned, listing.GetId())
				}
			}
			r.LearnEndpoints(t.Context(), one)
			require.Equal(t, test.want, learned)
		})
	}
}

// Guards against a stream whose client does not name it and that is resumed at the version of an equal
// stream: this router, or the keeper that answers first, knows only the other one.
func TestStreamOfUnnamedRequestIsNotTakenForAnEqualOne(t *testing.T) {
	const content = 7
	unnamed := versioner.StreamID{Content: content}
	begin := func(f *fleet, r *Recaller, request string, origin versioner.Origin, keepers ...int) {
		r.RecordOrigin(context.Background(), versioner.StreamID{Request: request, Content: content}, origin)
		for _, keeper := range keepers {
			f.keepers[address(keeper)].Add(f.clock.Now(), content, origin)
		}
	}
	for name, test := range map[string]struct {
		do   func(t *testing.T, f *fleet, asked *Recaller) // asked is the router at which the client resumes
		want versioner.Origin
	}{
		"it began elsewhere, an equal one here": {do: func(_ *testing.T, f *fleet, asked *Recaller) {
			begin(f, f.router("killed"), "first", one, 0, 1, 2)
			begin(f, asked, "second", two)
		}},
		"an equal one of the same version here": {want: one, do: func(_ *testing.T, f *fleet, asked *Recaller) {
			begin(f, f.router("killed"), "first", one, 0, 1, 2)
			begin(f, asked, "second", one)
		}},
		"both began here": {do: func(_ *testing.T, f *fleet, asked *Recaller) {
			begin(f, asked, "first", one, 0)
			begin(f, asked, "second", two, 0)
		}},
		"each is known to one keeper": {do: func(_ *testing.T, f *fleet, _ *Recaller) {
			begin(f, f.router("killed"), "first", one, 0)
			begin(f, f.router("other"), "second", two, 1)
		}},
		"a keeper that has restarted knows only the later one": {do: func(_ *testing.T, f *fleet, _ *Recaller) {
			begin(f, f.router("killed"), "first", one, 0, 1, 2)
			f.restart(1)
			begin(f, f.router("other"), "second", two, 0, 1, 2)
		}},
		"an equal one begins after the first was asked for": {do: func(t *testing.T, f *fleet, asked *Recaller) {
			begin(f, f.router("killed"), "first", one, 0, 1, 2)
			found, known := find(t, asked, unnamed)
			require.True(t, known)
			require.Equal(t, one, found)
			begin(f, f.router("other"), "second", two, 0, 1, 2)
		}},
		"it began at an unknown version": {do: func(_ *testing.T, f *fleet, _ *Recaller) {
			begin(f, f.router("killed"), "first", versioner.Origin{Service: "desk"}, 0)
			begin(f, f.router("other"), "second", two, 0, 1, 2)
		}},
		"it began here at an unknown version": {do: func(_ *testing.T, f *fleet, asked *Recaller) {
			begin(f, asked, "first", versioner.Origin{Service: "desk"})
			begin(f, f.router("other"), "second", two, 0, 1, 2)
		}},
		"it began at another service": {do: func(_ *testing.T, f *fleet, _ *Recaller) {
			begin(f, f.router("killed"), "first", versioner.Origin{Service: "lounge", Version: "v1"}, 0)
			begin(f, f.router("other"), "second", one, 1)
		}},
		"no other": {want: one, do: func(_ *testing.T, f *fleet, _ *Recaller) {
			begin(f, f.router("killed"), "first", one, 1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 { // the keepers' answers arrive in any order
				f := newFleet(3)
				asked := f.router("asked")
				test.do(t, f, asked)
				origin, known := find(t, asked, unnamed)
				require.Equal(t, test.want.Known(), known)
				if known {
					require.Equal(t, test.want, origin)
				}
			}
		})
	}
}

// Guards against a stream that its client names and that is resumed at an arbitrary version, because the
// version at which it began is recorded as unknown.
func TestNamedStreamOfUnknownVersionIsUnknown(t *testing.T) {
	f := newFleet(1)
	name := nameOf("first")
	f.keepers[address(0)].Add(f.clock.Now(), name.Hash(), versioner.Origin{Service: "desk"})
	for range 2 {
		_, known := find(t, f.router("other"), name)
		require.False(t, known)
	}
}
