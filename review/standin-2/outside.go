package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
	attempts                    int
	anonymous, resume           bool
}

const host = "ficu95.example"

// configuration returns a complete configuration. Tenants maps names to keys.
func configuration(version int, services []string, routes []route, tenants map[string][]string) []byte {
	var listed, offered, holders []map[string]any
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeout.Milliseconds(),
			"target_latency_ms": 150, "priority": 2, "service": r.service, "max_attempts": max(r.attempts, 1),
			"allow_anonymous": r.anonymous, "sticky": false, "stream_resume": r.resume,
		})
	}
	for _, s := range services {
		offered = append(offered, map[string]any{"name": s, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	for name, keys := range tenants {
		holders = append(holders, map[string]any{"name": name, "api_keys": keys, "priority": 1})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": listed, "services": offered, "tenants": holders,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return text
}

var errNotAcknowledged = errors.New("no keeper acknowledged the configuration")

// apply sends a configuration as the operator does: again, to the next keeper, until it is acknowledged.
func (f *fleet) apply(text []byte, within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for try := 0; time.Now().Before(end); try++ {
		keeper := f.address(netKeeper, 1+try%3, portControl)
		request, err := http.NewRequest(http.MethodPut, "http://"+keeper+"/api/config", bytes.NewReader(text))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errNotAcknowledged
}

// outcome is what a client got: a status, 0 if it got no answer.
type outcome struct {
	status  int
	stamped bool
	body    int
	err     error
}

// call sends one request on a new connection, as a client does, and returns the whole answer.
func (f *fleet) call(router int, method, path, id, key string, deadline time.Duration) outcome {
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(bytes.Repeat([]byte("b"), 600))
	}
	request, err := http.NewRequest(method, "http://"+f.address(netRouter, router, portFront)+path, body)
	if err != nil {
		return outcome{err: err}
	}
	request.Host = host
	request.Header.Set("X-Shallotkeel-Request-Id", id)
	request.Header.Set("X-Shallotkeel-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return outcome{status: response.StatusCode, stamped: response.Header.Get("X-Shallotkeel-Response-Stamp") != "", body: len(text), err: err}
}

// awaitServed waits until a router serves a path.
func (f *fleet) awaitServed(router int, path, key string, within time.Duration) error {
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		if got := f.call(router, http.MethodGet, path, fmt.Sprintf("probe-%d-%d", router, n), key, time.Second); got.status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("router %d does not serve %s", router, path)
}
