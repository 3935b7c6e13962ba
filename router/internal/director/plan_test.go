package director

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/resolver"
)

// Guards against fetches from engines after a configuration says that they transfer nothing any more.
func TestFetchesEndWithTheirSetting(t *testing.T) {
	transfers := &resolver.Engine{Slots: 4, Tokens: 1e6, TransferTime: time.Microsecond}
	tests := map[string]struct {
		next    *resolver.Engine
		fetches bool
	}{
		"unchanged":             {next: transfers, fetches: true},
		"no time to transfer":   {next: &resolver.Engine{Slots: 4, Tokens: 1e6}},
		"no engine in the plan": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(validSettings(t), "", zerolog.Nop(), clockwork.NewFakeClock())
			now := d.clock.Now()
			apply := func(engine *resolver.Engine) {
				table, err := resolver.Compile(resolver.Plan{Version: 1, Services: []resolver.Service{{Name: "desk", Engine: engine}}})
				require.NoError(t, err)
				d.preparePlan(table)
			}
			work := &balancer.Work{Model: "m", Prompt: 6000, Parts: []balancer.Part{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 1000}}}
			pick := func(id string) *balancer.Slot {
				return d.balancer.Pick(now, "desk", work, func(other string) bool { return other != id })
			}
			for id, address := range map[string]string{"a": "10.0.0.1:80", "b": "10.0.0.2:80", "c": "10.0.0.3:80"} {
				d.balancer.Update(lister.Listing{ID: id, Service: "desk", State: lister.Ready, Address: netip.MustParseAddrPort(address)})
			}
			apply(transfers)
			holder := pick("a")
			holder.NoteResponse(now)
			holder.NotePrefilled(now)
			require.Equal(t, holder.Address, pick("b").Source)
			apply(test.next)
			require.Equal(t, test.fetches, pick("c").Source.IsValid())
		})
	}
}
