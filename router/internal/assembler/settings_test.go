package assembler

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/loader"
)

const validSettings = `{
  // a router of trento-a
  "name": "router-a1", "zone": "trento-a",
  "listen": "127.0.0.1:8001", "control": "127.0.0.1:8101",
  "peers": ["127.0.0.1:8101", "127.0.0.1:8102"],
  "keepers": ["127.0.0.1:8201"],
  "secret": "s", "endpoint_token": "e", "operator_token": "o",
  "scheduling": "pool", "trace": "",
  "limits": {"body_bytes": 4194304, "waiting": 4096, "request_timeout": "2m", "stop_timeout": "30s"},
  "timing": {"heartbeat": "250ms", "suspect_after": "1s", "compare": "200ms"}
}`

func TestSettings(t *testing.T) {
	for name, test := range map[string]struct {
		from, to string
		want     []string // texts in the error; empty if the settings are valid
	}{
		"usable":              {},
		"empty advertise":     {from: `"trace"`, to: `"advertise": "", "trace"`},
		"unknown key":         {from: `"trace"`, to: `"tracing"`, want: []string{"router.json:8", "tracing"}},
		"bad address":         {from: "127.0.0.1:8001", to: "localhost:8001", want: []string{"router.json:4"}},
		"no zone":             {from: `"trento-a",`, to: `"",`, want: []string{"router.json:3", "zone", "set the zone"}},
		"no keeper":           {from: `["127.0.0.1:8201"]`, to: `[]`, want: []string{"router.json:6", "keepers"}},
		"no secret":           {from: `"s"`, to: `""`, want: []string{"secret", "long random text"}},
		"unknown scheduling":  {from: `"pool"`, to: `"pools"`, want: []string{"router.json:8", "alone"}},
		"short suspect time":  {from: `"1s"`, to: `"300ms"`, want: []string{"router.json:10", "three heartbeats"}},
		"unspecified address": {from: `"control": "127.0.0.1:8101"`, to: `"control": "0.0.0.0:8101"`, want: []string{"control"}},
		"negative limit":      {from: `4096`, to: `-1`, want: []string{"limits"}},
		"duration as number":  {from: `"30s"`, to: `30`, want: []string{"router.json:9", "250ms"}},
	} {
		t.Run(name, func(t *testing.T) {
			var settings Settings
			err := loader.Decode("router.json", []byte(strings.Replace(validSettings, test.from, test.to, 1)), &settings)
			if len(test.want) == 0 {
				require.NoError(t, err)
				require.Len(t, settings.seeds(), 1, "a router is not its own peer")
				return
			}
			require.ErrorIs(t, err, loader.ErrSettings)
			for _, text := range test.want {
				require.ErrorContains(t, err, text)
			}
		})
	}
}
