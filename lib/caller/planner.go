package caller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Mix is what a workspace sends. The parts are relative to one another.
type Mix struct {
	Stream float64 `json:"stream"`
	Whole  float64 `json:"whole"`
	Plain  float64 `json:"plain"` // repeatable plain calls
	Once   float64 `json:"once"`  // plain calls that may not be repeated
	Models []string
	// Service is the plain service.
	Service string
	// Bound is the largest max_tokens; each request draws its own between a
	// quarter of it and all of it.
	Bound int
	// Prompt is the length of prompts in bytes. Half of them share their first
	// part with the workspace's other prompts.
	Prompt int
}

// Planner draws a workspace's requests and the pauses between them. It is
// pure but for its seeded random source, so a run can be repeated.
type Planner struct {
	Workspace string
	Token     string
	Mix       Mix
	random    *rand.Rand
	number    int
	shared    string
}

// NewPlanner returns a planner whose draws depend on the seed and the
// workspace only.
func NewPlanner(workspace, token string, mix Mix, seed uint64) *Planner {
	random := rand.New(rand.NewPCG(seed, uint64(len(workspace))<<32^sum(workspace)))
	p := &Planner{Workspace: workspace, Token: token, Mix: mix, random: random}
	p.shared = p.words(mix.Prompt / 2)
	return p
}

func sum(text string) uint64 {
	var total uint64
	for _, r := range text {
		total = total*31 + uint64(r)
	}
	return total
}

// Pause draws the time until the next request of a Poisson process.
func (p *Planner) Pause(perSecond float64) time.Duration {
	return time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
}

// Next draws a request.
func (p *Planner) Next() Request {
	p.number++
	request := Request{Workspace: p.Workspace, Token: p.Token}
	switch at := p.random.Float64() * (p.Mix.Stream + p.Mix.Whole + p.Mix.Plain + p.Mix.Once); {
	case at < p.Mix.Stream:
		return p.chat(request, Stream)
	case at < p.Mix.Stream+p.Mix.Whole:
		return p.chat(request, Whole)
	case at < p.Mix.Stream+p.Mix.Whole+p.Mix.Plain:
		return p.plain(request, http.MethodGet)
	default:
		request = p.plain(request, http.MethodPost)
		request.Once = true
		request.Key = p.key()
		return request
	}
}

func (p *Planner) chat(request Request, kind Kind) Request {
	request.Kind = kind
	request.Model = p.Mix.Models[p.random.IntN(len(p.Mix.Models))]
	request.Bound = p.Mix.Bound/4 + 1 + p.random.IntN(max(1, p.Mix.Bound*3/4))
	front := p.shared
	if p.random.IntN(2) == 0 {
		front = p.words(len(p.shared))
	}
	request.Prompt = front + fmt.Sprintf("%s %d ", p.Workspace, p.number) + p.words(p.Mix.Prompt/2)
	return request
}

func (p *Planner) plain(request Request, method string) Request {
	request.Kind, request.Service, request.Method = Plain, p.Mix.Service, method
	request.Path = fmt.Sprintf("/swaps/%s/%d", p.Workspace, p.number)
	if method != http.MethodGet {
		request.Body = fmt.Sprintf(`{"confirm":%d,"by":"%s"}`, p.number, p.Workspace)
	}
	return request
}

// key draws an idempotency key from the planner's own random source.
func (p *Planner) key() string {
	var id uuid.UUID
	for i := range id {
		id[i] = byte(p.random.IntN(256))
	}
	return id.String()
}

var vocabulary = []string{"cottage", "lake", "august", "swap", "keys", "garden", "valley", "summer", "family", "terrace"}

func (p *Planner) words(bytes int) string {
	var text strings.Builder
	for text.Len() < bytes {
		text.WriteString(vocabulary[p.random.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()
}
