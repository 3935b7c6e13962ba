package recaller

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/versioner"
)

// all returns all keepers, whether or not they can be reached.
func (f *fleet) all() []netip.AddrPort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var keepers []netip.AddrPort
	for keeper := range f.keepers {
		keepers = append(keepers, keeper)
	}
	return keepers
}

// setCutOff cuts a router off from all keepers, or restores its connections.
func (f *fleet) setCutOff(router string, cut bool) {
	for keeper := range len(f.all()) {
		f.setCut(router, keeper, cut)
	}
}

// Guards against a router out of step, cut off or frozen while a new version came: it takes a stream that began
// elsewhere at that version, and that its client does not name, for an equal one of its own.
func TestRouterOutOfStepAsksAKeeperForUnnamedStreams(t *testing.T) {
	const content = 7
	unnamed, named := versioner.StreamID{Content: content}, versioner.StreamID{Request: "second", Content: content}
	none := func() []netip.AddrPort { return nil }
	for name, test := range map[string]struct {
		elsewhere versioner.Origin // of an equal stream that began at another router
		cut       bool
		keepers   func(f *fleet) func() []netip.AddrPort // that answered the last polls
		ask       versioner.StreamID
		want      versioner.Origin
		err       error
	}{
		"cut off, no keeper answers":                {elsewhere: two, cut: true, ask: unnamed, err: versioner.ErrUnconfirmed},
		"cut off, no equal stream":                  {cut: true, ask: unnamed, err: versioner.ErrUnconfirmed},
		"cut off, not noticed yet":                  {elsewhere: two, cut: true, keepers: func(f *fleet) func() []netip.AddrPort { return f.all }, ask: unnamed, err: versioner.ErrUnconfirmed},
		"cut off, named":                            {elsewhere: two, cut: true, ask: named, want: one},
		"cut off, a name that is not known here":    {cut: true, ask: nameOf("other"), err: versioner.ErrUnconfirmed},
		"thawed":                                    {elsewhere: two, keepers: func(f *fleet) func() []netip.AddrPort { return f.all }, ask: unnamed, err: versioner.ErrUnknown},
		"thawed, its polls have failed":             {elsewhere: two, keepers: func(*fleet) func() []netip.AddrPort { return none }, ask: unnamed, err: versioner.ErrUnknown},
		"thawed, its polls have failed, one stream": {keepers: func(*fleet) func() []netip.AddrPort { return none }, ask: unnamed, want: one},
		"thawed, its polls have failed, no record":  {keepers: func(*fleet) func() []netip.AddrPort { return none }, ask: nameOf("other"), err: versioner.ErrUnknown},
		"in touch, equal streams of one version":    {elsewhere: one, ask: unnamed, want: one},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3)
			r := f.router("out of step")
			r.options.Followed = f.all
			r.RecordOrigin(t.Context(), named, one)
			f.setCutOff("out of step", test.cut)
			if test.keepers != nil {
				r.options.Keepers = test.keepers(f)
			}
			if test.elsewhere.Known() {
				other := f.router("other")
				other.RecordOrigin(t.Context(), versioner.StreamID{Request: "first", Content: content}, test.elsewhere)
				for keeper := range 3 {
					f.report(other, keeper, true, true)
				}
			}
			origin, err := r.Find(t.Context(), test.ask)
			require.ErrorIs(t, err, test.err)
			if test.err == nil {
				require.Equal(t, test.want, origin)
			}
		})
	}
}

// Whichever routers are cut off, and for how long: none takes a stream that began at a router in touch for an equal one.
func TestNoCutYieldsTheVersionOfAnEqualStream(t *testing.T) {
	const routers, contents, steps = 4, 6, 300
	found, asked := 0, 0
	for seed := range uint64(30) {
		draw := rand.New(rand.NewPCG(84, seed))
		f := newFleet(3)
		running, cut := make([]*Recaller, routers), make([]bool, routers)
		for i := range running {
			running[i] = f.router(fmt.Sprint(i))
			running[i].SetMixed([]string{"desk"})
			running[i].options.Followed = f.all
		}
		type begun struct {
			at     time.Time
			origin versioner.Origin
		}
		began := make(map[uint64][]begun)
		for step := range steps {
			i, content := draw.IntN(routers), 1+draw.Uint64N(contents)
			switch draw.IntN(6) {
			case 0:
				cut[i] = !cut[i]
				f.setCutOff(fmt.Sprint(i), cut[i])
			case 1, 2:
				if cut[i] {
					continue
				}
				origin := []versioner.Origin{one, one, one, two}[draw.IntN(4)]
				running[i].RecordOrigin(t.Context(), versioner.StreamID{Request: fmt.Sprint("stream-", step), Content: content}, origin)
				began[content] = append(began[content], begun{f.clock.Now(), origin})
				f.settle(t, running[i])
			case 3:
				if !cut[i] {
					f.report(running[i], draw.IntN(3), true, true)
				}
				f.relay()
			default:
				asked++
				origin, known := find(t, running[i], versioner.StreamID{Content: content})
				if !known {
					continue
				}
				found++
				for _, stream := range began[content] {
					if f.clock.Since(stream.at) < versioner.Retention {
						require.Equal(t, stream.origin, origin, "seed %d, step %d, cut off %t", seed, step, cut[i])
					}
				}
			}
			f.clock.Advance(time.Duration(draw.IntN(600)) * time.Millisecond)
		}
	}
	require.Greater(t, 10*found, asked, "streams are found all the same: %d of %d", found, asked)
}

// Guards against a stream that begins at a router which has just thawed, and whose record is lost with that router: it
// has not heard yet that versions mix.
func TestRouterWithAnOldListConfirmsItsStreams(t *testing.T) {
	for name, test := range map[string]struct {
		age      time.Duration
		cut      bool
		confirms int
	}{
		"it has heard a keeper just now": {age: maxListAge / 2},
		"it has just thawed":             {age: 3 * time.Second, confirms: confirmCalls},
		"no keeper answers":              {age: 3 * time.Second, cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(confirmCalls)
			r := f.router("began")
			r.options.ListAge = func() time.Duration { return test.age }
			f.setCutOff("began", test.cut)
			r.RecordOrigin(t.Context(), nameOf("first"), one)
			f.settle(t, r)
			require.Eventually(t, func() bool { return f.confirmed() == test.confirms }, time.Minute, time.Millisecond)
			require.Zero(t, r.Unconfirmed(), "no stream waits for keepers that cannot be reached")
		})
	}
}
