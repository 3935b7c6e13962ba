package relayer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeChat checks that any body is either refused with a reason, or converted to a body with
// streaming enabled, the same fields and the same meaning.
func FuzzDecodeChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"seed":1}`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"a"},{"type":"image"}]}],"stream":true}`,
		`{"model":"m","messages":[{"content":null}],"max_completion_tokens":99999999999}`,
		`{"model":"m","messages":[{"content":7}]}`, `{"model":"m","messages":[]}`, `[]`, `null`, `{`, ``, `{"n":2}`,
		`{"Model":"m","MESSAGES":[{}],"Stream":false,"stream":null}`, strings.Repeat(`[`, 20000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		body, problem := decodeChat(text)
		if problem != nil {
			require.NotEmpty(t, problem.reason)
			return
		}
		require.NotEmpty(t, body.Model)
		var forwarded, original map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(body.Body, &forwarded))
		require.NoError(t, json.Unmarshal(text, &original))
		require.Equal(t, "true", string(forwarded["stream"]))
		for key := range original {
			require.Contains(t, forwarded, key)
		}
		again, problem := decodeChat(body.Body)
		require.Nil(t, problem)
		require.Equal(t, body.Model, again.Model)
		require.Equal(t, body.Prefix, again.Prefix)
	})
}

// FuzzEvents checks that reading any stream ends, uses bounded memory, and yields each token of the
// request once and in order, and no token of another request.
func FuzzEvents(f *testing.F) {
	token := "data: {\"id\":\"a\",\"index_of_token\":%d,\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	for _, seed := range []string{
		fmt.Sprintf(token, 0) + fmt.Sprintf(token, 1), fmt.Sprintf(token, 0) + fmt.Sprintf(token, 0), fmt.Sprintf(token, 5),
		"data: {\"id\":\"a\",\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":0}}\r\n\r\ndata: [DONE]\n\n",
		": comment\nevent: x\ndata: 1\ndata: 2\n\n", "data: cut", "data:", "\n\n\n", "data: {\"id\":\"a\",\"choices\":[]}\n\n",
		"data: " + strings.Repeat("x", maxEventBytes) + "\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		events := newEventReader(bytes.NewReader(text))
		sequence := sequence{id: "a"}
		tokens := 0
		for {
			data, err := events.next()
			if err != nil {
				require.True(t, errors.Is(err, io.EOF) || errors.Is(err, errStream))
				break
			}
			require.LessOrEqual(t, len(data), maxEventBytes)
			event, verdict := sequence.judge(data)
			if verdict.token {
				require.Equal(t, "a", event.ID)
				require.Equal(t, tokens, *event.IndexOfToken)
				tokens++
			}
			require.Equal(t, tokens, sequence.next)
			require.False(t, verdict.relay && (verdict.dropped != "" || verdict.broken != ""))
			require.False(t, sequence.finished && verdict.token && !verdict.finished, "a token follows the end")
		}
	})
}

// Guards against wrongly split events, and against truncated events that are taken for complete ones.
func TestEvents(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []string
		err  error
	}{
		"one":             {"data: a\n\n", []string{"a"}, io.EOF},
		"two lines":       {"data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		"carriage":        {"data: a\r\n\r\n", []string{"a"}, io.EOF},
		"comment":         {": c\n\nid: 1\ndata:a\n\n", []string{"a"}, io.EOF},
		"truncated line":  {"data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF},
		"truncated event": {"data: a\n\ndata: b\n", []string{"a"}, errStream},
		"endless line":    {"data: " + strings.Repeat("x", maxEventBytes), nil, errStream},
	} {
		t.Run(name, func(t *testing.T) {
			events := newEventReader(strings.NewReader(test.text))
			var got []string
			for {
				data, err := events.next()
				if err != nil {
					require.ErrorIs(t, err, test.err)
					break
				}
				got = append(got, string(data))
			}
			require.Equal(t, test.want, got)
		})
	}
}
