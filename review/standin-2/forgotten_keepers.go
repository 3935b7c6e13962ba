package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// Bounds of the site scambio-nord.
const (
	contact     = 3 * time.Second // contact_ms
	configApply = 2 * time.Second // config_apply_ms
)

const (
	// cutLength is how long the router is cut off, unless the variable CUT says otherwise.
	cutLength = 40 * time.Second
	// rejoinTime is what the router has after the cut before the next change: more than recovery_s.
	rejoinTime = 13 * time.Second
)

// forgottenKeepers cuts one router off from all keepers, heals the cut, waits, and changes the configuration.
func forgottenKeepers(f *fleet, trouble bool) (bool, error) {
	const near, far = 1, 2 // the router behind the proxies, and one that is never cut off
	p, err := f.newPartition()
	if err != nil {
		return false, err
	}
	for number := 1; number <= 3; number++ {
		if err := f.startKeeper(number, true); err != nil {
			return false, err
		}
	}
	if err := f.startRouter(near, netProxy); err != nil {
		return false, err
	}
	if err := f.startRouter(far, netKeeper); err != nil {
		return false, err
	}
	for number := 1; number <= 3; number++ {
		if _, err := f.startWorker(number, "app", nil); err != nil {
			return false, err
		}
	}
	routeTo := func(name string) route {
		return route{name: name, prefix: "/" + name + "/", kind: "idempotent", service: "app", timeout: 1200 * time.Millisecond, attempts: 2}
	}
	first := configuration(1, []string{"app"}, []route{routeTo("kept"), routeTo("dropped")}, map[string][]string{"club": {"key-kept", "key-revoked"}})
	second := configuration(2, []string{"app"}, []route{routeTo("kept"), routeTo("added")}, map[string][]string{"club": {"key-kept"}})
	if err := f.apply(first, 10*time.Second); err != nil {
		return false, err
	}
	f.notef("configuration 1 is acknowledged: routes /kept/ and /dropped/, keys key-kept and key-revoked")
	for _, router := range []int{near, far} {
		if err := f.awaitServed(router, "/dropped/x", "key-revoked", 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contact)
	if trouble {
		p.set(true)
		f.notef("router %d is cut off from all keepers", near)
	}
	length := cutLength
	if text := os.Getenv("CUT"); text != "" {
		if length, err = time.ParseDuration(text); err != nil {
			return false, err
		}
	}
	time.Sleep(length)
	if trouble {
		p.set(false)
		f.notef("the cut has healed")
	}
	time.Sleep(rejoinTime)
	if err := f.apply(second, 5*time.Second); err != nil {
		return false, err
	}
	f.notef("configuration 2 is acknowledged: route /dropped/ is removed, /added/ is added, key-revoked is taken away")
	time.Sleep(configApply + 500*time.Millisecond)
	return f.judgeSecond(near, far), nil
}

// judgeSecond sends requests that show which configuration is in force, and reports whether a router handles any as
// only the first one allows.
func (f *fleet) judgeSecond(routers ...int) bool {
	broken := false
	for round := range 5 {
		for _, router := range routers {
			for _, probe := range []struct {
				path, key string
				want      int
			}{
				{"/kept/x", "key-kept", http.StatusOK},
				{"/dropped/x", "key-kept", http.StatusNotFound},
				{"/added/x", "key-kept", http.StatusOK},
				{"/kept/x", "key-revoked", http.StatusUnauthorized},
			} {
				id := fmt.Sprintf("judge-%d-%d-%s-%s", round, router, probe.path[1:len(probe.path)-2], probe.key)
				got := f.call(router, http.MethodGet, probe.path, id, probe.key, 2*time.Second)
				stale := got.status == http.StatusOK && probe.want != http.StatusOK ||
					probe.want == http.StatusOK && (got.status == http.StatusNotFound || got.status == http.StatusUnauthorized)
				verdict := "as configuration 2 says"
				if stale {
					broken, verdict = true, "as only configuration 1 allows"
				} else if got.status != probe.want {
					verdict = "not judged"
				}
				f.notef("router %d: %s with %s: %d %v, %s", router, probe.path, probe.key, got.status, got.err, verdict)
			}
		}
		time.Sleep(time.Second)
	}
	return broken
}
