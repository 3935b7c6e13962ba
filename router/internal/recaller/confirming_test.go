package recaller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/versioner"
)

// Guards against a stream whose record dies with its router, and that is then taken for an equal one of
// another version: all routers lose power at the moment of its first event.
func TestStreamIsRecordedBeforeItsFirstEvent(t *testing.T) {
	const content = 7
	first := versioner.StreamID{Request: "first", Content: content}
	for name, test := range map[string]struct {
		mixed    []string
		before   func(t *testing.T, f *fleet)
		after    func(f *fleet)
		named    bool // the record of the request is found
		unnamed  bool // so is that of its content
		confirms int  // calls to keepers
	}{
		"several versions":                    {mixed: []string{"desk"}, named: true, unnamed: true, confirms: confirmCalls},
		"several versions of another service": {mixed: []string{"lounge"}},
		"one version":                         {},
		"an equal one of another version": {mixed: []string{"desk"}, named: true, confirms: confirmCalls, before: func(t *testing.T, f *fleet) {
			other := f.router("other")
			other.RecordOrigin(t.Context(), versioner.StreamID{Request: "second", Content: content}, two)
			f.report(other, 0, true, true)
		}},
		"a keeper starts again": {mixed: []string{"desk"}, named: true, unnamed: true, confirms: confirmCalls, after: func(f *fleet) { f.restart(0) }},
		"a keeper is cut off": {mixed: []string{"desk"}, named: true, unnamed: true, confirms: confirmCalls - 1, before: func(_ *testing.T, f *fleet) {
			f.setCut("began", 1, true)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(confirmCalls)
			if test.before != nil {
				test.before(t, f)
			}
			r := f.router("began")
			r.SetMixed(test.mixed)
			r.RecordOrigin(t.Context(), first, one)
			if test.after != nil {
				test.after(f)
			}
			origin, known := find(t, f.router("asked"), first)
			require.Equal(t, test.named, known)
			if known {
				require.Equal(t, one, origin)
			}
			origin, known = find(t, f.router("asked"), versioner.StreamID{Content: content})
			require.Equal(t, test.unnamed, known)
			if known {
				require.Equal(t, one, origin)
			}
			require.Eventually(t, func() bool { return f.confirmed() == test.confirms }, time.Second, time.Millisecond)
			require.Zero(t, r.Unconfirmed())
		})
	}
}

// confirmed returns the number of calls that confirmed records.
func (f *fleet) confirmed() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.begins
}

// Guards against clients that wait for the first event of their streams until keepers answer.
func TestFirstEventWaitsForABoundedTime(t *testing.T) {
	for name, keepers := range map[string]int{"cut off from all keepers": 2, "no keepers": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(keepers)
			for keeper := range keepers {
				f.setCut("began", keeper, true)
			}
			r := f.router("began")
			r.SetMixed([]string{"desk"})
			done := make(chan struct{})
			go func() {
				defer close(done)
				r.RecordOrigin(t.Context(), nameOf("first"), one)
			}()
			f.awaitTimers(t, 2) // of the stream and of the next call
			f.clock.Advance(confirmTimeout)
			<-done
			require.EqualValues(t, 1, r.Unconfirmed())
			_, known := find(t, r, nameOf("first"))
			require.True(t, known, "it is known here all the same")
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			r.RecordOrigin(ctx, nameOf("second"), one) // its client has left
		})
	}
}

// awaitTimers waits until the fleet's clock has a number of timers.
func (f *fleet) awaitTimers(t *testing.T, timers int) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, f.clock.BlockUntilContext(ctx, timers))
}

// Guards against a call to keepers for each stream of a busy router.
func TestStreamsShareACallToKeepers(t *testing.T) {
	const streams = 50
	f := newFleet(1)
	r := f.router("began")
	r.SetMixed([]string{"desk"})
	r.RecordOrigin(t.Context(), nameOf("first"), one)
	f.awaitTimers(t, 2) // the pause after the first call; the timer of the first stream is still set
	var begun sync.WaitGroup
	for i := range streams {
		begun.Go(func() { r.RecordOrigin(t.Context(), nameOf(fmt.Sprint("stream-", i)), one) })
	}
	f.awaitTimers(t, 2+streams)
	f.clock.Advance(confirmPause)
	begun.Wait()
	require.Equal(t, 2, f.confirmed())
	require.Zero(t, r.Unconfirmed())
}

// Guards against records that are lost because their keeper starts again, or leaves the router to another
// keeper, before it has passed them on.
func TestRecordsAreReportedAgainToAnotherRunOfAKeeper(t *testing.T) {
	for name, test := range map[string]struct {
		between func(f *fleet)
		next    int // keeper that gets the next reports
		found   bool
	}{
		"it starts again":              {between: func(f *fleet) { f.restart(0) }, found: true},
		"another keeper takes over":    {between: func(f *fleet) { f.restart(0) }, next: 1, found: true},
		"the records are too old then": {between: func(f *fleet) { f.restart(0); f.clock.Advance(2 * versioner.Retention) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2)
			r := f.router("began")
			r.RecordOrigin(t.Context(), nameOf("first"), one)
			f.report(r, 0, true, true)
			test.between(f)
			f.report(r, test.next, true, true) // the answer shows that it is another run
			f.report(r, test.next, true, true)
			_, found := find(t, f.router("asked"), nameOf("first"))
			require.Equal(t, test.found, found)
			f.report(r, test.next, true, true)
			require.Empty(t, r.Report(address(test.next)), "once")
		})
	}
}

// Guards against a long stream whose record keepers drop before it ends, so that it is unknown, or taken
// for an equal one that began later.
func TestLongStreamsStayRecorded(t *testing.T) {
	const content = 7
	first := versioner.StreamID{Request: "first", Content: content}
	f := newFleet(1)
	r, other := f.router("began"), f.router("other")
	r.RecordOrigin(t.Context(), first, one)
	for range 20 {
		f.report(r, 0, true, true)
		f.clock.Advance(versioner.Retention / 4)
		r.RenewOrigin(first, one)
	}
	f.report(r, 0, true, true)
	asked := f.router("asked")
	for _, name := range []versioner.StreamID{first, {Content: content}} {
		origin, known := find(t, asked, name)
		require.True(t, known)
		require.Equal(t, one, origin)
	}
	other.RecordOrigin(t.Context(), versioner.StreamID{Request: "second", Content: content}, two)
	f.report(other, 0, true, true)
	_, known := find(t, asked, versioner.StreamID{Content: content})
	require.False(t, known)
}

// Whatever routers are killed, whatever reports are lost and whichever single keeper starts again, in any
// order: while several versions serve, no stream that its client does not name is taken for an equal one.
func TestNoFaultYieldsTheVersionOfAnEqualStream(t *testing.T) {
	const routers, keepers, contents, steps = 4, 3, 6, 300
	found := 0
	for seed := range uint64(30) {
		draw := rand.New(rand.NewPCG(77, seed))
		f := newFleet(keepers)
		start := func(i int) *Recaller {
			r := f.router(fmt.Sprint(i))
			r.SetMixed([]string{"desk"})
			return r
		}
		running := make([]*Recaller, routers)
		for i := range running {
			running[i] = start(i)
		}
		type begun struct {
			at     time.Time
			origin versioner.Origin
		}
		began := make(map[uint64][]begun)
		for step := range steps {
			i, keeper := draw.IntN(routers), draw.IntN(keepers)
			content := 1 + draw.Uint64N(contents)
			switch draw.IntN(10) {
			case 0:
				running[i] = start(i)
			case 1:
				f.relay()
				f.restart(keeper)
			case 2, 3, 4:
				origin := []versioner.Origin{one, one, one, two, {Service: "desk"}}[draw.IntN(5)]
				running[i].RecordOrigin(t.Context(), versioner.StreamID{Request: fmt.Sprint("stream-", step), Content: content}, origin)
				began[content] = append(began[content], begun{f.clock.Now(), origin})
				f.settle(t, running[i])
			case 5:
				f.report(running[i], keeper, draw.IntN(4) > 0, draw.IntN(4) > 0)
			case 6:
				f.relay()
			default:
				origin, known := find(t, running[i], versioner.StreamID{Content: content})
				if !known {
					continue
				}
				found++
				for _, stream := range began[content] {
					if f.clock.Since(stream.at) < versioner.Retention {
						require.Equal(t, stream.origin, origin, "seed %d, step %d", seed, step)
					}
				}
			}
			f.clock.Advance(time.Duration(draw.IntN(600)) * time.Millisecond)
		}
	}
	require.Greater(t, found, 100, "streams are found all the same")
}

// settle lets time pass until a router has ended the pause after its call to keepers.
func (f *fleet) settle(t *testing.T, r *Recaller) {
	require.Eventually(t, func() bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.confirming {
			f.clock.Advance(confirmPause)
		}
		return !r.confirming
	}, time.Minute, time.Microsecond)
}

// relay tells all keepers what each of them knows.
func (f *fleet) relay() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, from := range f.keepers {
		for _, record := range from.Records(f.clock.Now()) {
			for _, to := range f.keepers {
				if known, recorded := to.Find(f.clock.Now(), record.Stream); !recorded || known != record.Origin {
					to.Add(f.clock.Now(), record.Stream, record.Origin)
				}
			}
		}
	}
}

// Guards against the record of a stream that began right before its service got a second version, and
// that dies with its router before the next report.
func TestWaitingRecordsAreSentOnceVersionsMix(t *testing.T) {
	f := newFleet(2)
	r := f.router("began")
	r.RecordOrigin(t.Context(), nameOf("first"), one)
	require.Zero(t, f.confirmed())
	r.SetMixed([]string{"desk"})
	require.Eventually(t, func() bool { return f.confirmed() == 2 }, time.Minute, time.Millisecond)
	origin, known := find(t, f.router("asked"), nameOf("first"))
	require.True(t, known)
	require.Equal(t, one, origin)
	f.settle(t, r)
	r.SetMixed([]string{"desk"})
	r.SetMixed(nil)
	require.Equal(t, 2, f.confirmed(), "nothing further to send")
}
