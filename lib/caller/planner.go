package caller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Mix is the composition of a workspace's requests. Stream, Whole, Plain and Once
// are relative weights.
type Mix struct {
	Stream float64 `json:"stream"`
	Whole  float64 `json:"whole"`
	Plain  float64 `json:"plain"` // repeatable calls of the plain service
	Once   float64 `json:"once"`  // calls of the plain service that must not be repeated
	Models []string
	// Service is the name of the plain service.
	Service string
	// Bound is the maximum of max_tokens. Each request draws its max_tokens
	// between a quarter of Bound and Bound.
	Bound int
	// Prompt is the approximate length of prompts in bytes. One half of the
	// prompts begin with the same prefix, half of the length.
	Prompt int
}

// Planner draws a workspace's requests and the pauses between them. Its only
// state is a seeded random source and a counter, so a run can be repeated.
type Planner struct {
	Workspace    string
	Token        string
	Mix          Mix
	random       *rand.Rand
	number       int
	sharedPrefix string
}

// NewPlanner returns a planner whose draws depend only on the workspace, the mix
// and the seed.
func NewPlanner(workspace, token string, mix Mix, seed uint64) *Planner {
	random := rand.New(rand.NewPCG(seed, uint64(len(workspace))<<32^nameHash(workspace)))
	p := &Planner{Workspace: workspace, Token: token, Mix: mix, random: random}
	p.sharedPrefix = p.words(mix.Prompt / 2)
	return p
}

// nameHash returns a hash of a workspace name, for seeds that differ by workspace.
func nameHash(name string) uint64 {
	var hash uint64
	for _, r := range name {
		hash = hash*31 + uint64(r)
	}
	return hash
}

// Pause draws the time until the next arrival of a Poisson process.
func (p *Planner) Pause(perSecond float64) time.Duration {
	return time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))
}

// Next draws the next request.
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
	prefix := p.sharedPrefix
	if p.random.IntN(2) == 0 {
		prefix = p.words(len(p.sharedPrefix))
	}
	request.Prompt = prefix + fmt.Sprintf("%s %d ", p.Workspace, p.number) + p.words(p.Mix.Prompt/2)
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

// words draws a text of at least the given number of bytes.
func (p *Planner) words(bytes int) string {
	var text strings.Builder
	for text.Len() < bytes {
		text.WriteString(vocabulary[p.random.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()
}
