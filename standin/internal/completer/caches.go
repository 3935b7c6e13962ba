package completer

import "sync"

// MaxCaches bounds the KV caches of recent requests and of imports that wait for
// their request. The oldest is evicted first.
const MaxCaches = 1024

// Cache is a request's KV cache in the format of export and import. The cache of
// a stand-in holds no tensors; it only records that the prompt was computed.
type Cache struct {
	Request string `json:"request"`
	Prompt  string `json:"prompt"`
	Tokens  int    `json:"tokens"`
}

// Caches stores the KV caches of recent requests. Its zero value is ready to use.
type Caches struct {
	lock     sync.Mutex
	caches   map[string]Cache
	imported map[string]bool
	order    []string
}

// Record stores the number of tokens that a request's cache covers.
func (c *Caches) Record(request, prompt string, tokens int) {
	c.put(Cache{Request: request, Prompt: prompt, Tokens: tokens}, false)
}

// Import stores a cache that another endpoint exported.
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

// Export returns a request's cache, and whether there is one.
func (c *Caches) Export(request string) (Cache, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	cache, known := c.caches[request]
	return cache, known
}

// HasImported reports whether the request's cache was imported and is for the
// same prompt.
func (c *Caches) HasImported(request, prompt string) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.imported[request] && c.caches[request].Prompt == prompt
}
