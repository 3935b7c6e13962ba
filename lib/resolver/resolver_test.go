package resolver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func route(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, Kind: Repeatable, Attempts: 1,
		Timeout: time.Second, Shares: []Share{{Service: "desk", Weight: 1}},
	}
}

func plan(routes ...Route) Plan {
	return Plan{
		Version: 7, Routes: routes, Services: []Service{{Name: "desk"}, {Name: "engines"}},
		Workspaces: []Workspace{{Name: "club", Keys: []string{"k1", "k2"}}, {Name: "house", Keys: []string{"k3"}}},
	}
}

func TestCheck(t *testing.T) {
	modified := func(modify func(*Plan)) Plan {
		p := plan(route("a", "h", "/a/"), route("b", "h", "/b/"))
		modify(&p)
		return p
	}
	tests := map[string]struct {
		modify func(*Plan)
		err    string
	}{
		"fine":                               {modify: func(*Plan) {}},
		"unknown service":                    {modify: func(p *Plan) { p.Routes[0].Shares[0].Service = "desks" }, err: "unknown service desks"},
		"same host and path":                 {modify: func(p *Plan) { p.Routes[1].Prefix = "/a/" }, err: "share a host and a path"},
		"same host and path, in capitals":    {modify: func(p *Plan) { p.Routes[1].Host, p.Routes[1].Prefix = "H", "/a/" }, err: "share a host and a path"},
		"no weight":                          {modify: func(p *Plan) { p.Routes[0].Shares[0].Weight = 0 }, err: "add up to 0"},
		"negative weight":                    {modify: func(p *Plan) { p.Routes[0].Shares[0].Weight = -1 }, err: "negative weight"},
		"no service":                         {modify: func(p *Plan) { p.Routes[0].Shares = nil }, err: "add up to 0"},
		"no timeout":                         {modify: func(p *Plan) { p.Routes[0].Timeout = 0 }, err: "no timeout"},
		"no kind":                            {modify: func(p *Plan) { p.Routes[0].Kind = 0 }, err: "no kind"},
		"no attempt":                         {modify: func(p *Plan) { p.Routes[0].Attempts = 0 }, err: "no attempt"},
		"no final slash":                     {modify: func(p *Plan) { p.Routes[0].Prefix = "/a" }, err: "ends with a slash"},
		"shared key":                         {modify: func(p *Plan) { p.Workspaces[1].Keys[0] = "k2" }, err: "share a key"},
		"service twice":                      {modify: func(p *Plan) { p.Services[1].Name = "desk" }, err: "stands twice"},
		"a workspace's key twice is its own": {modify: func(p *Plan) { p.Workspaces[0].Keys[1] = "k1" }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Compile(modified(test.modify))
			if test.err == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrPlan)
			require.ErrorContains(t, err, test.err)
		})
	}
}

func TestLongestPathWins(t *testing.T) {
	table, err := Compile(plan(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("other", "i", "/a/b/c/")))
	require.NoError(t, err)
	tests := map[string]struct {
		host, path, want string
	}{
		"short":            {host: "h", path: "/a/x", want: "short"},
		"long":             {host: "h", path: "/a/b/x", want: "long"},
		"its own path":     {host: "h", path: "/a/b/", want: "long"},
		"with a port":      {host: "h:8080", path: "/a/b/c/", want: "long"},
		"in capitals":      {host: "H", path: "/a/", want: "short"},
		"another host":     {host: "j", path: "/a/"},
		"without a slash":  {host: "h", path: "/a"},
		"doubled slashes":  {host: "h", path: "//a/"},
		"path in capitals": {host: "h", path: "/A/"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found, ok := table.Route(test.host, test.path)
			require.Equal(t, test.want != "", ok)
			if ok {
				require.Equal(t, test.want, found.Name)
			}
		})
	}
}

func TestKeysLeadToTheirWorkspace(t *testing.T) {
	table, err := Compile(plan(route("a", "h", "/")))
	require.NoError(t, err)
	require.True(t, table.RequiresKey())
	for key, want := range map[string]string{"k1": "club", "k2": "club", "k3": "house"} {
		workspace, found := table.Workspace(key)
		require.True(t, found)
		require.Equal(t, want, workspace.Name)
		require.Empty(t, workspace.Keys, "keys are kept as digests only")
	}
	for _, key := range []string{"", "k4", "K1", "k1 "} {
		_, found := table.Workspace(key)
		require.False(t, found, key)
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
}
