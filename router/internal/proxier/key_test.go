package proxier

import (
	"bytes"
	"net"
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

// tableWithKeys returns a table with one open route, and a workspace that holds the keys if there are any.
func tableWithKeys(t *testing.T, keys ...string) *resolver.Table {
	t.Helper()
	plan := resolver.Plan{
		Version: 1, Services: []resolver.Service{{Name: "desk"}},
		Routes: []resolver.Route{{
			Name: "read", Host: "h", Prefix: "/read/", Kind: resolver.Repeatable, Attempts: 1, Timeout: waitTimeout, Anonymous: true,
			Shares: []resolver.Share{{Service: "desk", Weight: 1}},
		}},
	}
	if len(keys) > 0 {
		plan.Workspaces = []resolver.Workspace{{Name: "club", Keys: keys}}
	}
	compiled, err := resolver.Compile(plan)
	require.NoError(t, err)
	return compiled
}

// Guards against requests that run with a key that no configuration holds, because their route needs none.
func TestUnknownKeysAreRefusedOnEveryRoute(t *testing.T) {
	const open, closed = "/read/", "/draft/"
	tests := map[string]struct {
		path, authorization string
		outOfTouch, noKeys  bool
		status              int
		workspace           string // as the endpoint is told
	}{
		"no key, open":                           {path: open, status: http.StatusOK},
		"no key, closed":                         {path: closed, status: http.StatusUnauthorized},
		"a held key, open":                       {path: open, authorization: "Bearer key", status: http.StatusOK, workspace: "club"},
		"a held key, closed":                     {path: closed, authorization: "Bearer key", status: http.StatusOK, workspace: "club"},
		"the scheme in another case":             {path: open, authorization: "bearer key", status: http.StatusOK, workspace: "club"},
		"an unknown key, open":                   {path: open, authorization: "Bearer none", status: http.StatusUnauthorized},
		"an unknown key, scheme in another case": {path: open, authorization: "BEARER  none", status: http.StatusUnauthorized},
		"an unknown key, closed":                 {path: closed, authorization: "Bearer none", status: http.StatusUnauthorized},
		"a key that was taken away, open":        {path: open, authorization: "Bearer former", status: http.StatusUnauthorized},
		"another scheme, open":                   {path: open, authorization: "Basic bm9uZQ==", status: http.StatusOK},
		"an empty key, open":                     {path: open, authorization: "Bearer ", status: http.StatusOK},
		"an unknown key, open, out of touch":     {path: open, authorization: "Bearer none", outOfTouch: true, status: http.StatusOK},
		"an unknown key, closed, out of touch":   {path: closed, authorization: "Bearer none", outOfTouch: true, status: http.StatusUnauthorized},
		"a held key, open, out of touch":         {path: open, authorization: "Bearer key", outOfTouch: true, status: http.StatusOK, workspace: "club"},
		"no workspaces":                          {path: open, authorization: "Bearer none", noKeys: true, status: http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.fleetState.outOfTouch = test.outOfTouch
			workspaces := make(chan string, 1)
			f.endpoint(func(conn net.Conn, r *http.Request) {
				workspaces <- r.Header.Get(tenantHeader)
				if test.path == open {
					reply(conn, r, http.StatusOK, "served")
					return
				}
				beginStream(conn, r, 1, 1)
				endStream(conn)
			})
			f.fleetState.table.Load().InheritRemovedKeys(tableWithKeys(t, "key", "former"))
			if test.noKeys {
				f.fleetState.table.Store(tableWithKeys(t))
			}
			response := f.do(http.MethodPost, test.path, "", "Authorization", test.authorization)
			_, err := readText(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			if test.status != http.StatusOK {
				require.Empty(t, workspaces, "it has run")
				return
			}
			require.Equal(t, test.workspace, <-workspaces)
		})
	}
}
