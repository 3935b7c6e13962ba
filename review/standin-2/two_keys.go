package main

import (
	"fmt"
	"net/http"
	"time"
)

// twoKeys sends a request that crashes each worker, of a caller that holds two keys and uses them by turns. Without the
// trouble the caller uses one of them only.
func twoKeys(f *fleet, trouble bool) (bool, error) {
	const routers = 3
	keys := []string{"key-old", "key-new"}
	for number := 1; number <= 3; number++ {
		if err := f.startKeeper(number, true); err != nil {
			return false, err
		}
	}
	for number := 1; number <= routers; number++ {
		if err := f.startRouter(number, netKeeper); err != nil {
			return false, err
		}
	}
	var crashed crashes
	for number := 1; number <= crashingWorkers; number++ {
		go f.runCrashing(number, "app", &crashed)
	}
	routes := []route{
		{name: "sound", prefix: "/sound/", kind: "idempotent", service: "app", timeout: 1200 * time.Millisecond, attempts: 2},
		{name: "once", prefix: "/once/", kind: "non_idempotent", service: "app", timeout: 1200 * time.Millisecond},
	}
	if err := f.apply(configuration(1, []string{"app"}, routes, map[string][]string{"club": keys, "house": {"key"}}), 10*time.Second); err != nil {
		return false, err
	}
	for number := 1; number <= routers; number++ {
		if err := f.awaitServed(number, "/sound/x", "key", 10*time.Second); err != nil {
			return false, err
		}
	}
	go f.sendSound(routers)
	time.Sleep(contact)

	sent := 0
	send := func() {
		key := keys[0]
		if trouble {
			key = keys[sent%len(keys)]
		}
		sent++
		id := fmt.Sprintf("%s-%d", poison, sent)
		got := f.call(1+sent%routers, http.MethodPost, "/once/"+poison, id, key, 1200*time.Millisecond)
		f.notef("%s with %s at router %d: %d %v", id, key, 1+sent%routers, got.status, got.err)
	}
	for crashed.count() < 3 && sent < 20 {
		send()
		time.Sleep(300 * time.Millisecond)
	}
	if crashed.count() != 3 {
		return false, fmt.Errorf("%d crashes instead of three", crashed.count())
	}
	time.Sleep(contact)
	for range 20 {
		send()
		time.Sleep(300 * time.Millisecond)
	}
	late := crashed.lateAfter(contact)
	f.notef("%d retries reached workers later than %s after the third crash; %d are allowed", late, contact, maxLateRetries)
	return late > maxLateRetries, nil
}
