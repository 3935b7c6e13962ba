package passer

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

// Guards against a workspace that gets nothing, and logs that do not say whether a change
// took its key.
func TestRefusedKeyIsExplained(t *testing.T) {
	holding := func(version uint64, keys ...string) *resolver.Table {
		plan := resolver.Plan{Version: version, Workspaces: []resolver.Workspace{{Name: "club", Keys: keys}, {Name: "house", Keys: []string{"other"}}}}
		compiled, err := resolver.Compile(plan)
		require.NoError(t, err)
		return compiled
	}
	after := holding(9)
	after.InheritRemovedKeys(holding(7, "gone"))
	tests := map[string]struct {
		key       string
		has, lack []string
	}{
		"it went":     {key: "gone", has: []string{`"plan":9`, `"held_by":"club"`, `"until":9`}},
		"never known": {key: "strange", has: []string{`"plan":9`}, lack: []string{"held_by"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written bytes.Buffer
			p := Passer{options: Options{Log: zerolog.New(&written)}, keys: damper.Damper{LinesPerSecond: mostKeyLines}}
			q := &request{table: after, route: &resolver.Route{Name: "draft"}, received: time.Unix(1000, 0)}
			q.in.Key = test.key
			for range 100 {
				p.tellKey(q)
			}
			lines := bytes.Count(written.Bytes(), []byte("\n"))
			require.Equal(t, mostKeyLines, lines, "a flood's lines are bounded")
			for _, text := range test.has {
				require.Contains(t, written.String(), text)
			}
			for _, text := range test.lack {
				require.NotContains(t, written.String(), text)
			}
		})
	}
}

// Guards against causes of refusals that metrics do not tell apart.
func TestRefusalsAreCountedByCause(t *testing.T) {
	tests := map[string]struct {
		path, key string
		spoil     func(b *bed)
		want      verdict
	}{
		"no configuration": {path: "/book/", spoil: func(b *bed) { b.news.table.Store(nil) }, want: byConfiguration},
		"no key":           {path: "/draft/", key: "none", want: byKey},
		"no route":         {path: "/nowhere/", want: byRule},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			if test.spoil != nil {
				test.spoil(b)
			}
			h := httptest.NewRequest(http.MethodPost, "http://h"+test.path, nil)
			h.Header.Set("Authorization", "Bearer "+test.key)
			q := &request{http: h, writer: httptest.NewRecorder(), received: time.Now(), in: b.passer.options.Dialect.Read(h.Header)}
			require.False(t, b.passer.admit(q))
			require.Equal(t, test.want, q.refused)
		})
	}
}
