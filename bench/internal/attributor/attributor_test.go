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

func TestCauseOfALine(t *testing.T) {
	tests := map[string]struct {
		line Line
		want Cause
	}{
		"in time":              {Line{Target: target, First: target}, ""},
		"no target":            {Line{First: time.Hour}, ""},
		"came back":            {Line{Target: target, First: 200 * time.Millisecond, Since: 300 * time.Millisecond}, Back},
		"a long prompt":        {Line{Target: target, First: time.Second, Wait: 900 * time.Millisecond, Queue: 100 * time.Millisecond}, Reading},
		"a known queue":        {Line{Target: target, First: time.Second, Wait: 900 * time.Millisecond, Queue: 700 * time.Millisecond}, Queue},
		"unforeseen":           {Line{Target: target, First: time.Second, Wait: 100 * time.Millisecond}, Unforeseen},
		"late at a start":      {Line{Target: target, First: time.Second, Starting: true}, Start},
		"refused at a start":   {Line{Refused: true, Starting: true}, Start},
		"refused, idle":        {Line{Refused: true, Backlog: apportioner.IdleBacklog}, Idle},
		"refused, busy":        {Line{Refused: true, Backlog: time.Second}, Busy},
		"its endpoint failed":  {Line{Failed: true, Answered: true}, Endpoint},
		"nobody answered":      {Line{Failed: true}, Unanswered},
		"in time, at a start":  {Line{Target: target, First: target, Starting: true}, ""},
		"failed, at a start":   {Line{Failed: true, Starting: true}, Unanswered},
		"refused is no answer": {Line{Refused: true, Target: target, First: time.Hour, Backlog: time.Second}, Busy},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, test.line.cause())
		})
	}
}

func TestCausesAddUpToWhatIsMissing(t *testing.T) {
	served := Line{Tokens: 600, Target: target, First: target}
	late := Line{Tokens: 200, Target: target, First: time.Second}
	failed := Line{Tokens: 200, Failed: true}
	refused := Line{Tokens: 5000, Refused: true, Backlog: time.Second}
	at := func(second int, line Line) Line {
		line.Came = time.Duration(second) * time.Second
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
			want: map[Cause]float64{Unforeseen: 0.1, Unanswered: 0.2, Busy: 0.1},
		},
		"nothing is missing": {
			lines: []Line{at(2, served), at(3, late), at(2, refused)}, credit: 1, want: map[Cause]float64{},
		},
		"without any line": {
			lines: []Line{at(4, served)}, credit: 0.5, want: map[Cause]float64{Rest: 0.5},
		},
		"before the first window": {
			lines: []Line{at(-1, served)}, credit: 0.9, want: map[Cause]float64{Rest: 0.1},
		},
		"more is explained than missing": {
			lines: []Line{at(0, failed)}, credit: 0.9, want: map[Cause]float64{Unanswered: 0.1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sum := 0.0
			for _, loss := range Attribute(windows, test.credit, test.lines) {
				require.InDelta(t, test.want[loss.Cause], loss.Part, 1e-9, loss.Cause)
				require.GreaterOrEqual(t, loss.Part, -1e-9)
				sum += loss.Part
			}
			require.InDelta(t, 1-test.credit, sum, 1e-9)
		})
	}
}

func TestLogIsRead(t *testing.T) {
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
		{Came: time.Second, Tokens: 100, Target: target, First: 300 * time.Millisecond, Starting: true},
		{Came: 9 * time.Second, Tokens: 50, Backlog: 70 * time.Millisecond, Refused: true},
		{Came: 9 * time.Second, Tokens: 50, Backlog: 80 * time.Millisecond, Queue: 80 * time.Millisecond, Refused: true},
		{Came: 9 * time.Second, Tokens: 50, Failed: true, Answered: true},
	}, lines)
	_, err = ReadLog(strings.NewReader("nothing of the kind\n"))
	require.ErrorIs(t, err, ErrLog)
}
