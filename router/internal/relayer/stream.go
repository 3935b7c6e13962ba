package relayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// maxEventBytes is the maximum size of one event of a stream. A token's chunk takes a few hundred
// bytes; an endpoint that sends an endless line must not exhaust the memory.
const maxEventBytes = 256 << 10

// streamDone is the data of the last event of a stream.
const streamDone = "[DONE]"

// errStream is the kind of every error of an endpoint's stream. The attempt has failed, and the
// answer can be resumed at another endpoint.
var errStream = merry.Sentinel("stream of the endpoint is broken")

// eventReader reads server-sent events. Only their data fields are used.
type eventReader struct {
	reader *bufio.Reader
	data   bytes.Buffer // data of the current event
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(r)}
}

// next returns the data of the next event, valid until the next call. The error is io.EOF if the
// stream ended between two events, otherwise an errStream.
func (e *eventReader) next() ([]byte, error) {
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

// line reads one line and returns it without its terminator. An unterminated last line is an error,
// because its event may be incomplete. Size counts the bytes of the event.
func (e *eventReader) line(size *int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		*size += len(part)
		if *size > maxEventBytes {
			return nil, merry.Errorf("an event is larger than %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			line = append(line, part...)
			continue
		}
		if errors.Is(err, io.EOF) && len(part)+len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if line != nil {
			part = append(line, part...)
		}
		return bytes.TrimRight(part, "\r\n"), nil
	}
}

// chunk is one event of a model engine's answer in OpenAI's format, with the token's index.
type chunk struct {
	ID           string   `json:"id"`
	IndexOfToken *int     `json:"index_of_token"`
	Created      int64    `json:"created"`
	Choices      []choice `json:"choices"`
	Usage        *usage   `json:"usage"`
}

// choice is the single choice of a chunk.
type choice struct {
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// delta is the text that a chunk appends to the answer.
type delta struct {
	Content string `json:"content"`
}

// usage is the numbers of tokens that the model has counted.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Reasons for dropping an event: values of the metrics' label reason.
const (
	droppedForeign   = "foreign"   // it belongs to another request
	droppedRepeated  = "repeated"  // its token has been relayed already, or it came after the end
	droppedNameless  = "nameless"  // its request ID or the index of its token is missing
	droppedMalformed = "malformed" // its data is not a JSON chunk
)

// verdict is the decision on an event.
type verdict struct {
	relay    bool   // it is relayed
	token    bool   // it carries the next token
	finished bool   // it carries the finish reason
	dropped  string // reason for dropping it, empty if it is not dropped
	broken   string // why the stream is broken, empty if it is not
}

// sequence checks that the events of a stream belong to the request and that each token is relayed
// once and in order. It spans all attempts of the request, so that a resumed stream continues
// exactly after the last token of the broken one.
type sequence struct {
	id           string // the request's ID, which its answer has as well
	next         int    // index of the next token
	finished     bool
	finishReason string // of the answer, once it is finished
	usage        *usage
}

// judge decodes an event and decides on it.
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

// carriesToken reports whether the chunk carries a token. It is also true for tokens without text,
// such as those of a tool call.
func (c *chunk) carriesToken() bool {
	first := c.Choices[0]
	return first.Delta.Content != "" || c.IndexOfToken != nil && first.FinishReason == nil
}

// judgeToken decides on an event that carries a token.
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

// judgeFinish decides on an event with a choice but without a token.
func (s *sequence) judgeFinish(event chunk) verdict {
	if event.Choices[0].FinishReason == nil {
		return verdict{} // such as the event with the role at the start of a stream
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

// judgeUsage decides on an event without a choice, which carries the usage after the end.
func (s *sequence) judgeUsage(event chunk) verdict {
	if event.Usage == nil || !s.finished || s.usage != nil {
		return verdict{dropped: droppedRepeated}
	}
	s.usage = event.Usage
	return verdict{relay: true}
}

// finish marks the answer as complete.
func (s *sequence) finish(event chunk) {
	s.finished = true
	s.finishReason = *event.Choices[0].FinishReason
	s.usage = event.Usage
}
