package server

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"shallotkeel.example/lib/messenger"
)

// BenchmarkClaims measures claims through three keepers on loopback, each with its files in a
// temporary folder, with different numbers of concurrent callers. A single caller needs one disk
// sync per claim; concurrent callers share syncs.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) { benchmarkClaims(b, callers) })
	}
}

func benchmarkClaims(b *testing.B, callers int) {
	g := startGroup(b, 3)
	g.ready()
	leader := g.leader()
	syncs := func() float64 { return metric(b, leader, "keeper_syncs_total") }
	var next atomic.Int64
	latencies := make([][]time.Duration, callers)
	before := syncs()
	b.ResetTimer()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return
				}
				start := time.Now()
				response, err := leader.client.Claim(context.Background(), &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{{
					Workspace: fmt.Sprint("workspace-", i%320), Key: fmt.Sprint(i), Digest: uint64(i), Owner: "bench",
				}}})
				if err != nil || response.GetResults()[0].GetOutcome() != messenger.ClaimOutcome_CLAIM_GRANTED {
					b.Errorf("claim %d: %v, %v", i, response, err)
					return
				}
				latencies[caller] = append(latencies[caller], time.Since(start))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric((syncs()-before)/float64(b.N), "syncs/claim")
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkChanges measures sequential changes, each of them validated and replicated, on a
// large configuration of 320 workspaces and 27 services, the size expected in two years.
func BenchmarkChanges(b *testing.B) {
	g := startGroup(b, 3)
	g.ready()
	leader := g.leader()
	var edits []*messenger.Edit
	for i := range 320 {
		edits = append(edits, &messenger.Edit{Object: &messenger.Object{
			Kind: "workspace", Name: fmt.Sprint("workspace-", i), Labels: map[string]string{"tier": "club"},
		}})
	}
	for i := range 27 {
		edits = append(edits, &messenger.Edit{Object: &messenger.Object{
			Kind: "service", Name: fmt.Sprint("service-", i), Selector: "tier=club",
			Labels: map[string]string{"type": "model", fmt.Sprint("model.m", i): "yes"},
		}})
	}
	apply := func(id string, edits []*messenger.Edit) {
		response, err := leader.client.Apply(context.Background(), &messenger.ApplyRequest{Change: id, Edits: edits})
		if err != nil || response.GetOutcome() != messenger.ApplyOutcome_APPLY_ACCEPTED {
			b.Fatal(response, err)
		}
	}
	apply("all", edits)
	i := 0
	for b.Loop() {
		apply(fmt.Sprint("change-", i), edits[i%len(edits):i%len(edits)+1])
		i++
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
}
