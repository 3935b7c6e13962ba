package proxier

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/resolver"
)

// Guards against logs that do not show whether a configuration change removed the key of a workspace
// whose requests are refused.
func TestRefusedKeyIsExplained(t *testing.T) {
	tableWith := func(version uint64, keys ...string) *resolver.Table {
		plan := resolver.Plan{Version: version, Workspaces: []resolver.Workspace{{Name: "club", Keys: keys}, {Name: "house", Keys: []string{"other"}}}}
		compiled, err := resolver.Compile(plan)
		require.NoError(t, err)
		return compiled
	}
	after := tableWith(9)
	after.InheritRemovedKeys(tableWith(7, "gone"))
	tests := map[string]struct {
		key       string
		has, lack []string
	}{
		"removed by a change": {key: "gone", has: []string{`"plan":9`, `"held_by":"club"`, `"until":9`}},
		"never held":          {key: "strange", has: []string{`"plan":9`}, lack: []string{"held_by"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written bytes.Buffer
			p := Proxier{options: Options{Log: zerolog.New(&written)}, keyLogDamper: damper.Damper{LinesPerSecond: maxKeyLogLines}}
			q := &request{table: after, route: &resolver.Route{Name: "draft"}, received: time.Unix(1000, 0)}
			q.in.Key = test.key
			for range 100 {
				p.logRefusedKey(q)
			}
			lines := bytes.Count(written.Bytes(), []byte("\n"))
			require.Equal(t, maxKeyLogLines, lines, "the log lines of a flood are limited")
			for _, text := range test.has {
				require.Contains(t, written.String(), text)
			}
			for _, text := range test.lack {
				require.NotContains(t, written.String(), text)
			}
		})
	}
}

// Guards against causes of refusals that metrics do not distinguish.
func TestRefusalsAreCountedByCause(t *testing.T) {
	tests := map[string]struct {
		path, key string
		setUp     func(f *fixture)
		want      refusalCause
	}{
		"no configuration": {path: "/book/", setUp: func(f *fixture) { f.fleetState.table.Store(nil) }, want: byConfiguration},
		"no key":           {path: "/draft/", key: "none", want: byKey},
		"no route":         {path: "/nowhere/", want: byRule},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if test.setUp != nil {
				test.setUp(f)
			}
			h := httptest.NewRequest(http.MethodPost, "http://h"+test.path, nil)
			h.Header.Set("Authorization", "Bearer "+test.key)
			q := &request{http: h, writer: httptest.NewRecorder(), received: time.Now(), in: f.proxier.options.Dialect.Read(h.Header)}
			require.False(t, f.proxier.admit(q))
			require.Equal(t, test.want, q.refusedBy)
		})
	}
}
