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

// take asks for the lease and replicates the grant if there is one.
func take(d *Desk, now time.Time, term uint64, table *Table, ask Ask) Answer {
	answer := d.Ask(now, term, table, ask)
	if answer.Propose == nil {
		return answer
	}
	table.Apply(answer.Propose)
	return d.Granted(now, term, table, ask, false)
}

func TestAsk(t *testing.T) {
	a, b := Ask{Pool: pool, Holder: "a"}, Ask{Pool: pool, Holder: "b"}
	late := Ask{Pool: pool, Holder: "a", Fence: 1}
	tests := map[string]struct {
		after time.Duration
		term  uint64
		ask   Ask
		want  Answer
	}{
		"its holder renews":                       {after: time.Second, term: 1, ask: a, want: Answer{Fence: 1, Lease: Term}},
		"also when it is over":                    {after: time.Hour, term: 1, ask: a, want: Answer{Fence: 1, Lease: Term}},
		"another one waits":                       {after: Term, term: 1, ask: b, want: Answer{HeldBy: "a", Lease: Drift}},
		"and gets a higher number":                {after: Term + Drift, term: 1, ask: b, want: Answer{Fence: 2, Lease: Term}},
		"a new leader lets the holder renew":      {after: time.Second, term: 2, ask: a, want: Answer{Fence: 1, Lease: Term}},
		"a new leader waits before it gives away": {after: time.Hour, term: 2, ask: b, want: Answer{HeldBy: "a", Lease: Term + Drift}},
		"an old number renews nothing":            {after: time.Second, term: 1, ask: Ask{Pool: pool, Holder: "a", Fence: 9}, want: Answer{HeldBy: "a", Lease: Retry}},
		"its number renews":                       {after: time.Second, term: 1, ask: late, want: Answer{Fence: 1, Lease: Term}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d Desk
			var table Table
			require.Equal(t, Answer{Fence: 1, Lease: Term}, take(&d, start, 1, &table, a))
			require.Equal(t, test.want, take(&d, start.Add(test.after), test.term, &table, test.ask))
		})
	}
}

// Symptom: two schedulers order the same engines. Events: the holder renews
// while the grant to another one is on its way through the log. Cause: a renewal
// is given from memory, where the grant is not seen yet.
func TestNobodyRenewsWhileAGrantIsOnItsWay(t *testing.T) {
	var d Desk
	var table Table
	a, b := Ask{Pool: pool, Holder: "a"}, Ask{Pool: pool, Holder: "b"}
	take(&d, start, 1, &table, a)
	now := start.Add(Term + Drift)
	grant := d.Ask(now, 1, &table, b).Propose
	require.NotNil(t, grant)
	require.Zero(t, d.Ask(now, 1, &table, a).Fence)
	require.Equal(t, Grant{Holder: "b", Fence: 2}, table.Apply(grant))
	require.Equal(t, uint64(2), d.Granted(now, 1, &table, b, false).Fence)
	require.Equal(t, Grant{Holder: "b", Fence: 2}, table.Apply(grant), "a grant that rests on an old state changes nothing")
	require.Equal(t, "b", d.Ask(now, 1, &table, a).HeldBy)
}

func TestPermits(t *testing.T) {
	tests := map[string]struct {
		rate  float64
		waits []time.Duration
		want  int
	}{
		"none at first":                {rate: 6, waits: []time.Duration{0}},
		"one after its time":           {rate: 6, waits: []time.Duration{0, 10 * time.Second}, want: 1},
		"no more are saved up":         {rate: 6, waits: []time.Duration{0, time.Hour}, want: 1},
		"many small waits add up":      {rate: 6, waits: []time.Duration{0, 4 * time.Second, 4 * time.Second, 4 * time.Second}, want: 1},
		"a fast store gives several":   {rate: 60, waits: []time.Duration{0, time.Minute}, want: 10},
		"an undescribed service, none": {waits: []time.Duration{0, time.Hour}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d Desk
			var table Table
			now, permits := start, 0
			for _, wait := range test.waits {
				now = now.Add(wait)
				permits += take(&d, now, 1, &table, Ask{Pool: pool, Holder: "a", Loads: MaxLoads, Rate: test.rate}).Permits
			}
			require.Equal(t, test.want, permits)
		})
	}
}

func TestTableIsBounded(t *testing.T) {
	var d Desk
	var table Table
	for i := range MaxPools {
		take(&d, start, 1, &table, Ask{Pool: Pool{Service: fmt.Sprint(i)}, Holder: "a"})
	}
	require.Zero(t, take(&d, start, 1, &table, Ask{Pool: pool, Holder: "a"}).Fence)
	require.Equal(t, uint64(2), take(&d, start, 1, &table, Ask{Pool: Pool{Service: "1"}, Holder: "a"}).Fence)
}

// Symptom: two schedulers hold one pool's lease, or one number twice. Events:
// the leader changes between renewals, grants are committed by the next leader
// or lost, answers are lost, snapshots are restored. Cause: a new leader that
// does not wait for the renewals of the last one, or a number that a snapshot
// forgot.
func TestLeaseHasOneHolder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		table, term, now := &Table{}, uint64(1), start
		desk := &Desk{}
		believed := map[string]time.Time{}
		given := map[uint64]string{}
		for range 400 {
			now = now.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
			switch random.IntN(20) {
			case 0:
				term++
				desk = &Desk{}
			case 1:
				wire := table.Encode()
				table = Decode(wire)
				require.True(t, proto.Equal(wire, table.Encode()))
			}
			ask := Ask{Pool: pool, Holder: string(rune('a' + random.IntN(3)))}
			if now.Before(believed["silent"]) && ask.Holder == "a" {
				continue // a is cut off
			}
			if random.IntN(40) == 0 {
				believed["silent"] = now.Add(2 * Term)
			}
			answer := desk.Ask(now, term, table, ask)
			if answer.Propose != nil {
				lost := random.IntN(4) == 0
				if random.IntN(4) == 0 { // the leader falls meanwhile
					term++
					desk = &Desk{}
				}
				if !lost {
					table.Apply(answer.Propose)
				}
				answer = desk.Granted(now, term, table, ask, lost)
			}
			if answer.Fence == 0 || random.IntN(5) == 0 {
				continue
			}
			for holder, until := range believed {
				require.False(t, holder != ask.Holder && holder != "silent" && now.Before(until), "seed %d: %s and %s hold it", seed, holder, ask.Holder)
			}
			require.Contains(t, []string{"", ask.Holder}, given[answer.Fence], "seed %d: the number %d is used twice", seed, answer.Fence)
			given[answer.Fence] = ask.Holder
			believed[ask.Holder] = now.Add(Term)
		}
	}
}
