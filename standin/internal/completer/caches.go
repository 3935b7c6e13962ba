package completer

import "sync"

// MaxCaches bounds the KV caches that can be exported or that wait for their
// request after an import. The oldest is dropped first.
const MaxCaches = 1024

// Cache is a request's KV cache as it is exported and imported. A stand-in's
// cache is only the proof that the prompt was computed.
type Cache struct {
	Request string `json:"request"`
	Prompt  string `json:"prompt"`
	Tokens  int    `json:"tokens"`
}

// Caches keeps the KV caches of recent requests.
type Caches struct {
	lock     sync.Mutex
	caches   map[string]Cache
	imported map[string]bool
	order    []string
}

// Note records how far a request's cache reaches.
func (c *Caches) Note(request, prompt string, tokens int) {
	c.put(Cache{Request: request, Prompt: prompt, Tokens: tokens}, false)
}

// Import takes a cache that another endpoint exported.
func (c *Caches) Import(cache Cache) {
	c.put(cache, true)
}

func (c *Caches) put(cache Cache, imported bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.caches == nil {
		c.caches, c.imported = make(map[string]Cache), make(map[string]bool)
	}
	if _, known := c.caches[cache.Request]; !known {
		c.order = append(c.order, cache.Request)
	}
	c.caches[cache.Request] = cache
	c.imported[cache.Request] = imported
	if len(c.order) > MaxCaches {
		delete(c.caches, c.order[0])
		delete(c.imported, c.order[0])
		c.order = c.order[1:]
	}
}

// Export returns a request's cache.
func (c *Caches) Export(request string) (Cache, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	cache, known := c.caches[request]
	return cache, known
}

// Take tells whether the request's cache was imported, for the same prompt.
func (c *Caches) Take(request, prompt string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.imported[request] && c.caches[request].Prompt == prompt
}
