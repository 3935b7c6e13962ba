package attributor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/platform"
)

const target = 400 * time.Millisecond

// Guards against a request being attributed to the wrong cause where several apply.
func TestCauseOfALine(t *testing.T) {
	tests := map[string]struct {
		line Line
		want Cause
	}{
		"in time":             {Line{Target: target, FirstToken: target}, ""},
		"no target":           {Line{FirstToken: time.Hour}, ""},
		"retried too late":    {Line{Target: target, FirstToken: 200 * time.Millisecond, SinceFirstAttempt: 300 * time.Millisecond}, RetriedTooLate},
		"a long prompt":       {Line{Target: target, FirstToken: time.Second, ExpectedWait: 900 * time.Millisecond, ExpectedQueue: 100 * time.Millisecond}, OwnPrefill},
		"a known queue":       {Line{Target: target, FirstToken: time.Second, ExpectedWait: 900 * time.Millisecond, ExpectedQueue: 700 * time.Millisecond}, KnownQueue},
		"unforeseen":          {Line{Target: target, FirstToken: time.Second, ExpectedWait: 100 * time.Millisecond}, Unforeseen},
		"late, router starts": {Line{Target: target, FirstToken: time.Second, Starting: true}, RouterStart},
		"refused, starting":   {Line{Refused: true, Starting: true}, RouterStart},
		"refused, idle":       {Line{Refused: true, Backlog: apportioner.IdleBacklog}, RefusedIdle},
		"refused, busy":       {Line{Refused: true, Backlog: time.Second}, RefusedBusy},
		"its endpoint failed": {Line{Failed: true, FailedByEndpoint: true}, EndpointFailed},
		"no answer":           {Line{Failed: true}, Unanswered},
		"in time, starting":   {Line{Target: target, FirstToken: target, Starting: true}, ""},
		"failed, starting":    {Line{Failed: true, Starting: true}, Unanswered},
		"refused, not late":   {Line{Refused: true, Target: target, FirstToken: time.Hour, Backlog: time.Second}, RefusedBusy},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, test.line.cause())
		})
	}
}

// Guards against losses that are negative or that do not add up to the missing credit,
// when log lines are missing or explain more than is missing.
func TestCausesAddUpToMissingCredit(t *testing.T) {
	served := Line{Tokens: 600, Target: target, FirstToken: target}
	late := Line{Tokens: 200, Target: target, FirstToken: time.Second}
	failed := Line{Tokens: 200, Failed: true}
	refused := Line{Tokens: 5000, Refused: true, Backlog: time.Second}
	at := func(second int, line Line) Line {
		line.Arrival = time.Duration(second) * time.Second
		return line
	}
	windows := []platform.Window{{Credit: 0.6}, {Begin: 2 * time.Second, Credit: 1}, {Begin: 4 * time.Second, Credit: 0.5}}
	tests := map[string]struct {
		lines  []Line
		credit float64
		want   map[Cause]float64
	}{
		"one window": {
			lines: []Line{at(0, served), at(1, late), at(1, failed), at(0, refused)}, credit: 0.6,
			want: map[Cause]float64{Unforeseen: 0.1, Unanswered: 0.2, RefusedBusy: 0.1},
		},
		"nothing is missing": {
			lines: []Line{at(2, served), at(3, late), at(2, refused)}, credit: 1, want: map[Cause]float64{},
		},
		"no line explains it": {
			lines: []Line{at(4, served)}, credit: 0.5, want: map[Cause]float64{Unattributed: 0.5},
		},
		"before the first window": {
			lines: []Line{at(-1, served)}, credit: 0.9, want: map[Cause]float64{Unattributed: 0.1},
		},
		"more explained than missing": {
			lines: []Line{at(0, failed)}, credit: 0.9, want: map[Cause]float64{Unanswered: 0.1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sum := 0.0
			for _, loss := range Attribute(windows, test.credit, test.lines) {
				require.InDelta(t, test.want[loss.Cause], loss.Fraction, 1e-9, loss.Cause)
				require.GreaterOrEqual(t, loss.Fraction, -1e-9)
				sum += loss.Fraction
			}
			require.InDelta(t, 1-test.credit, sum, 1e-9)
		})
	}
}

// Guards against lines that are misread, and against a log without requests that passes
// for a day without losses.
func TestReadLog(t *testing.T) {
	line := func(seconds float64, text string) string { return fmt.Sprintf("%10.4f router-1 {%s}\n", seconds, text) }
	log := "some words\n" +
		line(-5, `"message":"configuration in force","before":0`) +
		line(1.5, `"message":"request","workspace":"club","tokens":100,"status":200,"target_ms":400,"first_ms":300,"took_ms":500`) +
		line(9, `"message":"share used up","workspace":"club","tokens":50,"backlog_ms":70`) +
		line(9, `"message":"request","workspace":"club","tokens":50,"status":429,"queue_ms":80`) +
		line(9, `"message":"request","workspace":"club","tokens":50,"status":502,"sends":1`) +
		line(9, `"message":"request","workspace":"","tokens":0,"status":200`) +
		line(9, `"message":"endpoint changed","workspace":"club","tokens":50`) +
		line(9, `"message":"request", cut`)
	lines, err := ReadLog(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, []Line{
		{Arrival: time.Second, Tokens: 100, Target: target, FirstToken: 300 * time.Millisecond, Starting: true},
		{Arrival: 9 * time.Second, Tokens: 50, Backlog: 70 * time.Millisecond, Refused: true},
		{Arrival: 9 * time.Second, Tokens: 50, Backlog: 80 * time.Millisecond, ExpectedQueue: 80 * time.Millisecond, Refused: true},
		{Arrival: 9 * time.Second, Tokens: 50, Failed: true, FailedByEndpoint: true},
	}, lines)
	_, err = ReadLog(strings.NewReader("nothing of the kind\n"))
	require.ErrorIs(t, err, ErrLog)
}
