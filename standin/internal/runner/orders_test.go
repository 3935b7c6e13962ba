package runner

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/loader"
	"shallotkeel.example/standin/internal/controller"
)

func TestLoadsTakeTimeAndRoom(t *testing.T) {
	url, s, _ := serve(t, TypeModel)
	clock := clockwork.NewFakeClock()
	s.control.Loading = controller.Loading{Clock: clock, Time: time.Minute, Room: 2}
	order := func(kind, model string) int {
		return send(t, http.MethodPost, url+"/control/orders", `{"fence":1,"order":"`+kind+`","model":"`+model+`"}`, nil).status
	}
	serves := func(models ...string) {
		t.Helper()
		require.Eventually(t, func() bool { return len(s.completer.Models()) == len(models) }, 10*time.Second, time.Millisecond)
		require.Equal(t, models, s.describe().Loaded)
	}
	require.Equal(t, http.StatusNoContent, order("load", "m"))
	require.Equal(t, http.StatusNoContent, order("load", "m"), "a load of the model is already in progress")
	require.Equal(t, http.StatusInsufficientStorage, order("load", "n"))
	require.Equal(t, http.StatusBadRequest, order("dance", "n"))
	serves("draft-7b")
	clock.Advance(time.Minute)
	serves("draft-7b", "m")

	require.Equal(t, http.StatusNoContent, order("unload", "m"))
	serves("draft-7b")
	require.Equal(t, http.StatusNoContent, order("load", "n"), "the unloaded model freed its place")
}

func TestRoomIsAnnounced(t *testing.T) {
	_, s, _ := serve(t, TypeModel)
	require.NotContains(t, s.describe().Labels, "room")
	s.settings.Room = 3
	s.settings.Labels = map[string]string{"rack": "r1"}
	require.Equal(t, map[string]string{"room": "3", "rack": "r1"}, s.describe().Labels)
	s.settings.Models = []string{"a", "b", "c", "d"}
	s.settings.TTL = loader.Duration{Duration: time.Second}
	require.Contains(t, s.settings.Check(), loader.Problem{Key: "room", Message: "is smaller than the number of models", Remedy: "raise it, or name fewer models"})
}
