package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// crashingWorkers is the number of workers of the service.
	crashingWorkers = 10
	// returnTime is how long the request stays away after its second crash.
	returnTime = 35 * time.Second
	// restartPause is how long each keeper has after its start before the next one stops: more than catch_up_s.
	restartPause = 5 * time.Second
	// maxLateRetries is what the rule allows.
	maxLateRetries = 3
)

// forgottenCrashes sends a request that crashes each worker: twice, and again after a planned restart of the keepers, one
// after the other.
func forgottenCrashes(f *fleet, trouble bool) (bool, error) {
	const routers = 3
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
	if err := f.apply(configuration(1, []string{"app"}, routes, map[string][]string{"club": {"key"}}), 10*time.Second); err != nil {
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
		sent++
		id := fmt.Sprintf("%s-%d", poison, sent)
		got := f.call(1+sent%routers, http.MethodPost, "/once/"+poison, id, "key", 1200*time.Millisecond)
		f.notef("%s at router %d: %d %v", id, 1+sent%routers, got.status, got.err)
	}
	for crashed.count() < 2 && sent < 20 {
		send()
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(returnTime)
	if trouble {
		if err := f.restartKeepers(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	for crashed.count() < 3 && sent < 40 {
		send()
	}
	if crashed.count() != 3 {
		return false, fmt.Errorf("%d crashes instead of three", crashed.count())
	}
	time.Sleep(contact + 300*time.Millisecond)
	for range 15 {
		send()
		time.Sleep(300 * time.Millisecond)
	}
	late := crashed.lateAfter(contact)
	f.notef("%d retries reached workers later than %s after the third crash; %d are allowed", late, contact, maxLateRetries)
	return late > maxLateRetries, nil
}

// restartKeepers stops and starts the keepers in turn.
func (f *fleet) restartKeepers() error {
	for number := 1; number <= 3; number++ {
		name := "core-" + zoneOf(number) + "-1"
		f.signal(name, syscall.SIGTERM)
		f.mutex.Lock()
		ended := f.processes[name].ended
		f.mutex.Unlock()
		<-ended
		if err := f.startKeeper(number, false); err != nil {
			return err
		}
		time.Sleep(restartPause)
	}
	return nil
}

// sendSound sends requests that crash nothing, as the service has them all the time.
func (f *fleet) sendSound(routers int) {
	for n := 0; ; n++ {
		go f.call(1+n%routers, http.MethodGet, "/sound/x", fmt.Sprintf("sound-%d", n), "key", 1200*time.Millisecond)
		time.Sleep(30 * time.Millisecond)
	}
}
