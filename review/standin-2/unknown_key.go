package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unknownKey sends requests with a key that no configuration ever held, to a route that needs a key and to one that
// needs none. Without the trouble the client has the key that the first route needs, and sends none on the second.
func unknownKey(f *fleet, trouble bool) (bool, error) {
	const router = 1
	for number := 1; number <= 3; number++ {
		if err := f.startKeeper(number, true); err != nil {
			return false, err
		}
	}
	if err := f.startRouter(router, netKeeper); err != nil {
		return false, err
	}
	ran := &runs{ids: make(map[string]bool)}
	for number := 1; number <= 3; number++ {
		if _, err := f.startWorker(number, "app", ran.serve); err != nil {
			return false, err
		}
	}
	routes := []route{
		{name: "closed", prefix: "/closed/", kind: "non_idempotent", service: "app", timeout: 1200 * time.Millisecond},
		{name: "open", prefix: "/open/", kind: "non_idempotent", service: "app", timeout: 1200 * time.Millisecond, anonymous: true},
	}
	if err := f.apply(configuration(1, []string{"app"}, routes, map[string][]string{"club": {"key"}}), 10*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitServed(router, "/closed/x", "key", 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact)
	broken := 0
	for n := range 20 {
		for _, path := range []string{"/closed/x", "/open/x"} {
			key := map[string]string{"/closed/x": "key"}[path]
			if trouble {
				key = "key-never-held"
			}
			id := fmt.Sprintf("request-%d%s", n, path[:strings.LastIndex(path, "/")])
			got := f.call(router, http.MethodPost, path, id, key, 2*time.Second)
			time.Sleep(20 * time.Millisecond)
			f.notef("%s with key %q: %d %v, run: %v", id, key, got.status, got.err, ran.has(id))
			if key == "key-never-held" && ran.has(id) {
				broken++
			}
			if !trouble && got.status != http.StatusOK {
				return false, fmt.Errorf("a proper request was answered %d", got.status)
			}
		}
	}
	f.notef("%d requests ran whose key no configuration ever held", broken)
	return broken > 0, nil
}

// runs records the requests that workers ran.
type runs struct {
	mutex sync.Mutex
	ids   map[string]bool
}

func (r *runs) has(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ids[id]
}

// serve runs a request.
func (r *runs) serve(answer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("X-Shallotkeel-Request-Id")
	r.mutex.Lock()
	r.ids[id] = true
	r.mutex.Unlock()
	answer.Header().Set("X-Shallotkeel-Response-Stamp", "stamp."+id)
	_, _ = io.WriteString(answer, strings.Repeat("x", 800))
}
