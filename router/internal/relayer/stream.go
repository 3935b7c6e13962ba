package relayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes bounds one event of a stream. A token's chunk is a few hundred
// bytes; an endpoint that sends a line without end must not fill the memory.
const maxEventBytes = 256 << 10

// streamDone is the data of a stream's last event.
const streamDone = "[DONE]"

// errStream is the kind of every error about an endpoint's stream: the attempt
// broke, and the request can be resumed elsewhere.
var errStream = merry.Sentinel("stream of the endpoint is broken")

// events reads server-sent events.
type events struct {
	reader *bufio.Reader
	data   bytes.Buffer
}

func newEvents(r io.Reader) *events {
	return &events{reader: bufio.NewReader(r)}
}

// next returns the data of the next event, valid until the call after. The
// error is io.EOF when the stream ended between events, or an errStream.
func (e *events) next() ([]byte, error) {
	e.data.Reset()
	found := false
	size := 0
	for {
		line, err := e.line(&size)
		if err != nil {
			if errors.Is(err, io.EOF) && !found {
				return nil, io.EOF
			}
			return nil, merry.Errorf("%w: %w", errStream, err)
		}
		if len(line) == 0 {
			if found {
				return e.data.Bytes(), nil
			}
			size = 0
			continue
		}
		if data, isData := bytes.CutPrefix(line, []byte("data:")); isData {
			if found {
				e.data.WriteByte('\n')
			}
			found = true
			e.data.Write(bytes.TrimPrefix(data, []byte(" ")))
		}
	}
}

// line reads one line without its end. A last line without an end is cut short
// and so no line: its event may lack its rest.
func (e *events) line(size *int) ([]byte, error) {
	var whole []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		*size += len(part)
		if *size > maxEventBytes {
			return nil, merry.Errorf("an event is larger than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			whole = append(whole, part...)
			continue
		}
		if errors.Is(err, io.EOF) && len(part)+len(whole) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if whole != nil {
			part = append(whole, part...)
		}
		return bytes.TrimRight(part, "\r\n"), nil
	}
}

// chunk is one event of a model engine's answer.
type chunk struct {
	ID           string   `json:"id"`
	IndexOfToken *int     `json:"index_of_token"`
	Created      int64    `json:"created"`
	Choices      []choice `json:"choices"`
	Usage        *usage   `json:"usage"`
}

type choice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// usage is what a model counted.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Reasons for which an event is dropped, and counted.
const (
	droppedForeign   = "foreign"   // it belongs to another request
	droppedRepeated  = "repeated"  // its token has been relayed already, or it came after the end
	droppedNameless  = "nameless"  // it says neither its request nor its token
	droppedMalformed = "malformed" // it is no chunk
)

// verdict is what becomes of an event.
type verdict struct {
	relay    bool
	token    bool   // it carries the next token
	finished bool   // it carries the finish reason
	dropped  string // why it is not relayed
	broken   string // why the stream cannot go on
}

// sequence checks that the events of a stream are the request's own, each
// token once and in order. It outlives attempts, so that a resumed stream joins
// exactly where the broken one stopped.
type sequence struct {
	id       string
	next     int // index of the token that is expected
	finished bool
	reason   string
	usage    *usage
}

// judge decides on one event.
func (s *sequence) judge(data []byte) (chunk, verdict) {
	var event chunk
	if json.Unmarshal(data, &event) != nil {
		return event, verdict{dropped: droppedMalformed}
	}
	switch {
	case event.ID == "":
		return event, verdict{dropped: droppedNameless}
	case event.ID != s.id:
		return event, verdict{dropped: droppedForeign}
	}
	if len(event.Choices) == 0 {
		return event, s.judgeUsage(event)
	}
	if event.carriesToken() {
		return event, s.judgeToken(event)
	}
	return event, s.judgeFinish(event)
}

// carriesToken is also true for tokens without a text, such as a tool call's.
func (c *chunk) carriesToken() bool {
	first := c.Choices[0]
	return first.Delta.Content != "" || c.IndexOfToken != nil && first.FinishReason == nil
}

func (s *sequence) judgeToken(event chunk) verdict {
	switch {
	case event.IndexOfToken == nil:
		return verdict{dropped: droppedNameless}
	case *event.IndexOfToken < s.next, s.finished:
		return verdict{dropped: droppedRepeated}
	case *event.IndexOfToken > s.next:
		return verdict{broken: "a token is missing"}
	}
	s.next++
	result := verdict{relay: true, token: true}
	if event.Choices[0].FinishReason != nil {
		s.finish(event)
		result.finished = true
	}
	return result
}

func (s *sequence) judgeFinish(event chunk) verdict {
	if event.Choices[0].FinishReason == nil {
		return verdict{} // such as the role that opens a stream
	}
	if s.finished {
		return verdict{dropped: droppedRepeated}
	}
	if event.Usage != nil && event.Usage.CompletionTokens != s.next {
		return verdict{broken: "the answer ended before its last token"}
	}
	s.finish(event)
	return verdict{relay: true, finished: true}
}

func (s *sequence) judgeUsage(event chunk) verdict {
	if event.Usage == nil || !s.finished || s.usage != nil {
		return verdict{dropped: droppedRepeated}
	}
	s.usage = event.Usage
	return verdict{relay: true}
}

func (s *sequence) finish(event chunk) {
	s.finished = true
	s.reason = *event.Choices[0].FinishReason
	s.usage = event.Usage
}
