package launcher

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeProgram writes a shell script that a test starts in place of a program.
func writeProgram(t *testing.T, folder, script string) string {
	t.Helper()
	path := filepath.Join(folder, "program")
	require.NoError(t, os.WriteFile(path, []byte("#!/bin/sh\n"+script), 0o755))
	return path
}

func TestProcess(t *testing.T) {
	const waitTimeout = 10 * time.Second
	tests := map[string]struct {
		script  string
		end     func(*Process)
		itself  bool
		status  int
		message string
	}{
		"stops on SIGTERM": {
			script: "trap 'echo bye; exit 0' TERM; echo ready; while :; do sleep 0.01; done",
			end:    func(p *Process) { require.True(t, p.End(waitTimeout)) }, status: 0, message: "bye",
		},
		"is killed when it ignores SIGTERM": {
			script: "trap '' TERM; echo ready; while :; do sleep 0.01; done",
			end:    func(p *Process) { require.False(t, p.End(100*time.Millisecond)) }, status: -1,
		},
		"stops when it is frozen": {
			script: "trap 'exit 5' TERM; echo ready; while :; do sleep 0.01; done",
			end: func(p *Process) {
				p.Freeze()
				require.True(t, p.End(waitTimeout))
			}, status: 5,
		},
		"is not signalled once it has ended": {
			script: "echo ready; exit 4",
			end: func(p *Process) {
				<-p.Ended()
				p.Kill()
			}, status: 4,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			p, err := Start(folder, "p", writeProgram(t, folder, test.script), map[string]string{"name": "p"})
			require.NoError(t, err)
			defer p.Kill()
			require.Eventually(t, func() bool {
				text, _ := os.ReadFile(p.Log)
				return len(text) > 0
			}, waitTimeout, time.Millisecond)
			test.end(p)
			require.False(t, p.Running())
			require.Equal(t, test.status, p.Status())
			text, err := os.ReadFile(p.Log)
			require.NoError(t, err)
			require.Contains(t, string(text), test.message)
		})
	}
}

func TestProcessReportsCPUAndMemory(t *testing.T) {
	folder := t.TempDir()
	p, err := Start(folder, "p", writeProgram(t, folder, "while :; do :; done"), nil)
	require.NoError(t, err)
	defer p.Kill()
	require.Eventually(t, func() bool {
		used, err := p.CPU()
		return err == nil && used > 0
	}, 10*time.Second, 10*time.Millisecond)
	memory, err := p.Memory()
	require.NoError(t, err)
	require.Positive(t, memory)
}

// A process behind a relay advertises the address of the relay to the others, while
// it listens on its own address. Otherwise its traffic would bypass the relay, and no
// cut would affect it.
func TestPrepareWiresPeersThroughRelays(t *testing.T) {
	wired := netip.MustParseAddrPort("127.0.0.1:9")
	plan := Plan{Folder: t.TempDir(), Zones: []ZonePlan{
		{Name: "a", Keepers: 1, Routers: 2, Standins: []StandinSettings{ModelStandin("m1", "modelli", []string{"m"})}},
		{Name: "b", Keepers: 2, Routers: 1},
	}}
	plain, err := Prepare(plan)
	require.NoError(t, err)
	plan.Wire = func(*Node, Port, netip.AddrPort) (netip.AddrPort, error) { return wired, nil }
	relayed, err := Prepare(plan)
	require.NoError(t, err)

	router := plain.Of(Router)[0].settings.(*routerSettings)
	require.Len(t, router.Peers, 2)
	require.Equal(t, plain.Of(Keeper)[0].Control, router.Keepers[0], "the zone's own keeper comes first")
	require.Equal(t, plain.Of(Keeper)[1].Control, plain.Of(Router)[2].settings.(*routerSettings).Keepers[0])
	require.Empty(t, router.Advertise)
	require.Len(t, plain.Of(Standin)[0].settings.(*StandinSettings).Routers, 2)

	router = relayed.Of(Router)[0].settings.(*routerSettings)
	require.Equal(t, wired.String(), router.Advertise)
	require.Equal(t, relayed.Of(Router)[0].Control, router.Control)
	require.Equal(t, []netip.AddrPort{wired, wired}, router.Peers)
	keeper := relayed.Of(Keeper)[1].settings.(*keeperSettings)
	require.Equal(t, relayed.Of(Keeper)[1].Control, keeper.Control)
	require.Equal(t, wired.String(), keeper.Advertise)
	require.Equal(t, map[string]netip.AddrPort{"keeper-1": wired, "keeper-2": wired, "keeper-3": wired}, keeper.Keepers)
	require.Equal(t, wired, *relayed.Of(Standin)[0].settings.(*StandinSettings).Address)
}

func TestReadDeployment(t *testing.T) {
	d, err := ReadDeployment("../../../examples/scambiocasa")
	require.NoError(t, err)
	require.Len(t, d.Workspaces, 15)
	require.Equal(t, "modelli", d.Model)
	require.Equal(t, "scambio-app", d.Plain)
	require.NotEmpty(t, d.Models)
	_, err = ReadDeployment(t.TempDir())
	require.ErrorContains(t, err, "repository's root")
}
