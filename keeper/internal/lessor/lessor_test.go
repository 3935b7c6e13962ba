package lessor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

var (
	start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	pool  = Pool{Zone: "trento-a", Service: "modelli"}
)

// take handles a request, and applies the proposed grant if there is one.
func take(d *Granter, now time.Time, term uint64, table *Table, request Request) Answer {
	answer := d.Handle(now, term, table, request)
	if answer.Propose == nil {
		return answer
	}
	table.Apply(answer.Propose)
	return d.Complete(now, term, table, request, false)
}

func TestRequests(t *testing.T) {
	a, b := Request{Pool: pool, Holder: "a"}, Request{Pool: pool, Holder: "b"}
	late := Request{Pool: pool, Holder: "a", Fence: 1}
	tests := map[string]struct {
		after   time.Duration
		term    uint64
		request Request
		want    Answer
	}{
		"holder renews":                         {after: time.Second, term: 1, request: a, want: Answer{Fence: 1, Lease: LeaseDuration}},
		"holder renews after the expiry":        {after: time.Hour, term: 1, request: a, want: Answer{Fence: 1, Lease: LeaseDuration}},
		"another holder waits":                  {after: LeaseDuration, term: 1, request: b, want: Answer{HeldBy: "a", Lease: ClockDrift}},
		"another holder gets a higher number":   {after: LeaseDuration + ClockDrift, term: 1, request: b, want: Answer{Fence: 2, Lease: LeaseDuration}},
		"new leader lets the holder renew":      {after: time.Second, term: 2, request: a, want: Answer{Fence: 1, Lease: LeaseDuration}},
		"new leader waits before another grant": {after: time.Hour, term: 2, request: b, want: Answer{HeldBy: "a", Lease: LeaseDuration + ClockDrift}},
		"wrong number renews nothing":           {after: time.Second, term: 1, request: Request{Pool: pool, Holder: "a", Fence: 9}, want: Answer{HeldBy: "a", Lease: RetryDelay}},
		"own number renews":                     {after: time.Second, term: 1, request: late, want: Answer{Fence: 1, Lease: LeaseDuration}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d Granter
			var table Table
			require.Equal(t, Answer{Fence: 1, Lease: LeaseDuration}, take(&d, start, 1, &table, a))
			require.Equal(t, test.want, take(&d, start.Add(test.after), test.term, &table, test.request))
		})
	}
}

// Guards against two schedulers that command the same engines: the holder renews
// while the grant to another holder is pending in the log. Renewals are answered from
// the leader's memory, where the pending grant must be known.
func TestPendingGrantBlocksRenewal(t *testing.T) {
	var d Granter
	var table Table
	a, b := Request{Pool: pool, Holder: "a"}, Request{Pool: pool, Holder: "b"}
	take(&d, start, 1, &table, a)
	now := start.Add(LeaseDuration + ClockDrift)
	grant := d.Handle(now, 1, &table, b).Propose
	require.NotNil(t, grant)
	require.Zero(t, d.Handle(now, 1, &table, a).Fence)
	require.Equal(t, Grant{Holder: "b", Fence: 2}, table.Apply(grant))
	require.Equal(t, uint64(2), d.Complete(now, 1, &table, b, false).Fence)
	require.Equal(t, Grant{Holder: "b", Fence: 2}, table.Apply(grant), "a grant that is based on an old state has no effect")
	require.Equal(t, "b", d.Handle(now, 1, &table, a).HeldBy)
}

// Guards against loads that exceed the rate of their service.
func TestPermits(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		waits []time.Duration
		want  int
	}{
		"none at the start":       {rate: 6, waits: []time.Duration{0}},
		"one after its interval":  {rate: 6, waits: []time.Duration{0, 10 * time.Second}, want: 1},
		"capacity is bounded":     {rate: 6, waits: []time.Duration{0, time.Hour}, want: 1},
		"short waits add up":      {rate: 6, waits: []time.Duration{0, 4 * time.Second, 4 * time.Second, 4 * time.Second}, want: 1},
		"high rate gives several": {rate: 60, waits: []time.Duration{0, time.Minute}, want: 10},
		"service without a rate":  {waits: []time.Duration{0, time.Hour}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d Granter
			var table Table
			now, permits := start, 0
			for _, wait := range test.waits {
				now = now.Add(wait)
				permits += take(&d, now, 1, &table, Request{Pool: pool, Holder: "a", Loads: MaxLoads, Rate: test.rate}).Permits
			}
			require.Equal(t, test.want, permits)
		})
	}
}

// Guards against a table that grows without bound, or refuses pools that it already has.
func TestTableIsBounded(t *testing.T) {
	var d Granter
	var table Table
	for i := range MaxPools {
		take(&d, start, 1, &table, Request{Pool: Pool{Service: fmt.Sprint(i)}, Holder: "a"})
	}
	require.Zero(t, take(&d, start, 1, &table, Request{Pool: pool, Holder: "a"}).Fence)
	require.Equal(t, uint64(2), take(&d, start, 1, &table, Request{Pool: Pool{Service: "1"}, Holder: "a"}).Fence)
}

// Guards against two schedulers that hold one pool's lease, and against a fencing number
// that is used twice. The leader changes between renewals, grants are committed by the next
// leader or lost, answers are lost, and snapshots are restored: a new leader must wait for
// renewals of the previous one, and snapshots must keep the highest number.
func TestLeaseHasOneHolder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		table, term, now := &Table{}, uint64(1), start
		granter := &Granter{}
		leases := map[string]time.Time{}
		holders := map[uint64]string{}
		for range 400 {
			now = now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
			switch random.IntN(20) {
			case 0:
				term++
				granter = &Granter{}
			case 1:
				wire := table.Encode()
				table = Decode(wire)
				require.True(t, proto.Equal(wire, table.Encode()))
			}
			request := Request{Pool: pool, Holder: string(rune('a' + random.IntN(3)))}
			if now.Before(leases["silent"]) && request.Holder == "a" {
				continue // a is cut off
			}
			if random.IntN(40) == 0 {
				leases["silent"] = now.Add(2 * LeaseDuration)
			}
			answer := granter.Handle(now, term, table, request)
			if answer.Propose != nil {
				lost := random.IntN(4) == 0
				if random.IntN(4) == 0 { // the leader changes before the grant is applied
					term++
					granter = &Granter{}
				}
				if !lost {
					table.Apply(answer.Propose)
				}
				answer = granter.Complete(now, term, table, request, lost)
			}
			if answer.Fence == 0 || random.IntN(5) == 0 {
				continue
			}
			for holder, until := range leases {
				require.False(t, holder != request.Holder && holder != "silent" && now.Before(until), "seed %d: %s and %s hold the lease", seed, holder, request.Holder)
			}
			require.Contains(t, []string{"", request.Holder}, holders[answer.Fence], "seed %d: the number %d is used twice", seed, answer.Fence)
			holders[answer.Fence] = request.Holder
			leases[request.Holder] = now.Add(LeaseDuration)
		}
	}
}
