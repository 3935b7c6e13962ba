package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// poison marks the request that crashes each worker that begins to run it.
const poison = "poison"

// downTime is how long a worker is down after a crash. Then it starts at its address under a new id.
const downTime = 3 * time.Second

// crashes records when the poisoned request began to run.
type crashes struct {
	mutex sync.Mutex
	at    []time.Time
}

// count returns the number of crashes.
func (c *crashes) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.at)
}

// lateAfter returns how many crashes happened later than a time after the third.
func (c *crashes) lateAfter(length time.Duration) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	late := 0
	for n, at := range c.at {
		if n >= 3 && at.Sub(c.at[2]) > length {
			late++
		}
	}
	return late
}

// add records a crash.
func (c *crashes) add() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.at = append(c.at, time.Now())
	return len(c.at)
}

// runCrashing runs the incarnations of a worker, one after the other, until the case ends.
func (f *fleet) runCrashing(number int, service string, c *crashes) {
	address := f.address(netWorker, number, 0)
	for life := 1; ; life++ {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return
		}
		address = listener.Addr().String()
		w := &worker{fleet: f, id: fmt.Sprintf("i-%s-%d-%d", service, number, life), service: service, number: number, listener: listener, ending: make(chan struct{})}
		w.state.Store("ready")
		go w.beat()
		w.serveUntilCrash(c)
		time.Sleep(downTime)
	}
}

// serveUntilCrash serves connections until a poisoned request begins to run. Then the listener and all connections
// end at once, as those of a process do.
func (w *worker) serveUntilCrash(c *crashes) {
	crashed := make(chan struct{})
	var once sync.Once
	var open sync.Map
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			open.Store(conn, true)
			go w.serveConnection(conn, c, func() { once.Do(func() { close(crashed) }) })
		}
	}()
	<-crashed
	_ = w.listener.Close()
	close(w.ending)
	open.Range(func(conn, _ any) bool {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.(*net.TCPConn).Close()
		return true
	})
}

// serveConnection answers the requests on a connection, one after the other.
func (w *worker) serveConnection(conn net.Conn, c *crashes, crash func()) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Shallotkeel-Request-Id")
		if expected := request.Header.Get("X-Shallotkeel-Expect-Instance"); expected != "" && expected != w.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Shallotkeel-Not-Executed: 1\r\nX-Shallotkeel-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if strings.Contains(request.URL.Path, poison) {
			w.fleet.notef("crash %d: worker %s begins to run %s", c.add(), w.id, id)
			crash()
			return
		}
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Shallotkeel-Response-Stamp: %s.%s\r\nX-Shallotkeel-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", w.id, id, id)
	}
}
