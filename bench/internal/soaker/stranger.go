package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"shallotkeel.example/platform"
)

// stranger is a call to keepers of a process that is no endpoint, or of one with a fault.
type stranger struct {
	method string
	id     string // as it stands in the path
	body   string
}

// strangers are the calls that no process should make. Keepers may refuse them, and must not suffer by them.
var strangers = makeStrangers()

func makeStrangers() []stranger {
	heartbeat := func(state string) string {
		return fmt.Sprintf(`{"service":%q,"address":"127.0.0.9:8080","zone":%q,"version":"v1","slots":4,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
			serviceDrafts, zones[0], state)
	}
	ids := []string{"b%FF", "%ED%A0%80", "b%C3", "%00", "b%0A", "..%2Fconfig", strings.Repeat("b", 300), "%F0%9F%90%9A"}
	var all []stranger
	for _, id := range ids {
		all = append(all,
			stranger{http.MethodPut, id, heartbeat("ready")}, stranger{http.MethodPut, id, heartbeat("draining")},
			stranger{http.MethodDelete, id, ""}, stranger{http.MethodDelete, id, `{"born":"x"}`},
		)
	}
	for _, body := range []string{"", "{", `"b"`, "\xff", `{"service":1}`, strings.Replace(heartbeat("ready"), "127.0.0.9:8080", "0.0.0.0:0", 1),
		strings.Replace(heartbeat("ready"), `"127.0.0.9:8080"`, "7", 1), strings.Replace(heartbeat("ready"), serviceDrafts, "nobody's", 1)} {
		all = append(all, stranger{http.MethodPut, "i-stranger", body})
	}
	return all
}

// call calls one keeper after the other until one answers without an error of its own, as endpoints do.
func (s stranger) call(ctx context.Context, p *play, node int) {
	client := &http.Client{Timeout: callTimeout}
	controls := p.fleet.controls()
	for i := range controls {
		address := controls[(node+i)%len(controls)]
		request, err := http.NewRequestWithContext(ctx, s.method, "http://"+address+platform.PathInstances+s.id, strings.NewReader(s.body))
		if err != nil {
			p.record.add("stranger: %v", err)
			return
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		p.record.add("stranger: %s of %.20s at %s is answered %d", s.method, s.id, address, response.StatusCode)
		if response.StatusCode < http.StatusInternalServerError {
			return
		}
	}
}
