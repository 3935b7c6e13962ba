package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/replicator"
)

// good is a valid settings file.
const good = `{
	"name": "keeper-1", "zone": "trento-a",
	"listen": "127.0.0.1:8301", "control": "127.0.0.1:8201", // comments are allowed
	"data": "/var/lib/shallotkeel",
	"keepers": {"keeper-1": "127.0.0.1:8201", "keeper-2": "127.0.0.1:8202"},
	"join": false, "secret": "s",
	"timing": {"heartbeat": "50ms", "election": "300ms"}
}`

func TestCheck(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		replace, by string
		message     string // part of the error, empty if the settings are valid
	}{
		"good":              {},
		"no name":           {`"keeper-1", "zone"`, `"", "zone"`, "name"},
		"no zone":           {`"trento-a"`, `""`, "zone"},
		"no listen address": {`"127.0.0.1:8301"`, `""`, "listen"},
		"a host name":       {`"127.0.0.1:8301"`, `"localhost:8301"`, "ParseAddr"},
		"no data folder":    {`"/var/lib/shallotkeel"`, `""`, "data"},
		"no secret":         {`"s"`, `""`, "secret"},
		"itself missing":    {`"keeper-1": "127`, `"keeper-3": "127`, "keepers"},
		"itself elsewhere":  {`"control": "127.0.0.1:8201"`, `"control": "127.0.0.1:8209"`, "keepers"},
		"itself elsewhere, as advertised": {
			`"control": "127.0.0.1:8201"`, `"control": "127.0.0.1:8209", "advertise": "127.0.0.1:8201"`, "",
		},
		"another address advertised":    {`"data"`, `"advertise": "127.0.0.1:8209", "data"`, "keepers"},
		"an election of two heartbeats": {`"300ms"`, `"100ms"`, "election"},
		"an unknown key":                {`"join"`, `"joins"`, "joins"},
		"memory below 0":                {`"data"`, `"memory": -1, "data"`, "memory"},
		"a bound on cold endpoints below 0": {
			`"data"`, `"platform": {"listen": "127.0.0.1:9000", "heartbeat": "1s", "cold": {"slack": -1}}, "data"`, "cold endpoints",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var read settings.Settings
			err := loader.Decode("keeper.json", []byte(strings.Replace(good, test.replace, test.by, 1)), &read)
			if test.message == "" {
				require.NoError(t, err)
				require.Equal(t, []string{"keeper-1", "keeper-2"}, read.Names())
				return
			}
			require.ErrorIs(t, err, loader.ErrSettings)
			require.ErrorContains(t, err, test.message)
		})
	}
}

func TestTimingHasDefaults(t *testing.T) {
	t.Parallel()
	require.Equal(t, replicator.Timing{HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond},
		(&settings.Settings{}).ReplicationTiming())
}
