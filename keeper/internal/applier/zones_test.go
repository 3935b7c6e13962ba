package applier_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/lib/messenger"
)

func evacuationCommand(zone string, evacuated bool, base uint64) *messenger.Command {
	return &messenger.Command{Evacuation: &messenger.EvacuationOrder{Zone: zone, Evacuated: evacuated, Base: base}}
}

// Guards against an order for a zone that takes effect although it was overtaken, and against
// an order that is refused because it was sent twice.
func TestOrdersForZones(t *testing.T) {
	type step struct {
		zone      string
		evacuated bool
		base      uint64
		overtaken bool
	}
	tests := map[string]struct {
		steps     []step
		evacuated []string
	}{
		"evacuated":            {[]step{{zone: "hall", evacuated: true}}, []string{"hall"}},
		"two zones":            {[]step{{zone: "hall", evacuated: true}, {zone: "barn", evacuated: true}}, []string{"barn", "hall"}},
		"order withdrawn":      {[]step{{zone: "hall", evacuated: true}, {zone: "hall", base: 1}}, nil},
		"again":                {[]step{{zone: "hall", evacuated: true}, {zone: "hall", base: 1}, {zone: "hall", evacuated: true, base: 2}}, []string{"hall"}},
		"sent twice":           {[]step{{zone: "hall", evacuated: true}, {zone: "hall", evacuated: true}}, []string{"hall"}},
		"never evacuated":      {[]step{{zone: "hall"}}, nil},
		"late copy":            {[]step{{zone: "hall", evacuated: true}, {zone: "hall", base: 1}, {zone: "hall", evacuated: true, overtaken: true}}, nil},
		"late withdrawal":      {[]step{{zone: "hall", evacuated: true}, {zone: "hall", base: 1}, {zone: "hall", evacuated: true, base: 2}, {zone: "hall", base: 1, overtaken: true}}, []string{"hall"}},
		"another zone between": {[]step{{zone: "hall", evacuated: true}, {zone: "barn", evacuated: true}, {zone: "hall", base: 1}}, []string{"barn"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := applier.New()
			for i, step := range test.steps {
				result := apply(t, s, 0, evacuationCommand(step.zone, step.evacuated, step.base))
				require.Equal(t, step.overtaken, result.Overtaken, "step %d", i)
			}
			require.Equal(t, test.evacuated, s.Evacuations().Zones)
		})
	}
}

// Guards against an acknowledged order that is undone by an earlier one. Copies of both are
// committed in any order, with snapshots taken and restored at any point.
func TestLatestOrderWins(t *testing.T) {
	t.Parallel()
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		s := applier.New()
		var sent []*messenger.Command // copies of any of them may be committed again
		for range 12 {
			zone, evacuated := fmt.Sprint("zone-", random.IntN(2)), random.IntN(2) == 0
			order := evacuationCommand(zone, evacuated, s.Evacuations().Changed(zone))
			require.False(t, apply(t, s, 0, order).Overtaken, "the order was given after the last committed one")
			sent = append(sent, order)
			for range random.IntN(4) {
				late := sent[random.IntN(len(sent))]
				before := s.Evacuations()
				result := apply(t, s, 0, late)
				if late.GetEvacuation().GetBase() < before.Changed(late.GetEvacuation().GetZone()) {
					require.Equal(t, before, s.Evacuations(), "seed %d: the order was given before the last change of the zone", seed)
				}
				if !result.Overtaken {
					require.Equal(t, late.GetEvacuation().GetEvacuated(), slices.Contains(s.Evacuations().Zones, late.GetEvacuation().GetZone()))
				}
			}
			if random.IntN(3) == 0 {
				text, err := s.Encode()
				require.NoError(t, err)
				restored, err := applier.Decode(text)
				require.NoError(t, err)
				require.Equal(t, s.Evacuations(), restored.Evacuations())
				s = restored
			}
		}
	}
}

// Guards against orders that fill the keepers' memory with the names of zones.
func TestZonesAreBounded(t *testing.T) {
	t.Parallel()
	s := applier.New()
	for i := range 2000 {
		apply(t, s, 0, evacuationCommand(fmt.Sprint("zone-", i), true, 0))
	}
	require.Len(t, s.Evacuations().Zones, 1024)
	require.True(t, apply(t, s, 0, evacuationCommand("one more", true, 0)).Overtaken)
}
