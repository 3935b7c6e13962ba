package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
)

// partition is a set of proxies between one router and the keepers. While it is cut, no byte passes in either
// direction, and nothing is reset or closed. Elsewhere in the fleet nothing changes.
//
// Keepers name one another by address in their answers. The proxies replace these addresses by their own, which have
// the same length, so that all calls of the router pass through them.
type partition struct {
	fleet *fleet
	mutex sync.Mutex
	cond  *sync.Cond
	isCut bool
}

// newPartition starts a proxy for each keeper.
func (f *fleet) newPartition() (*partition, error) {
	p := &partition{fleet: f}
	p.cond = sync.NewCond(&p.mutex)
	for number := 1; number <= 3; number++ {
		listener, err := net.Listen("tcp", f.address(netProxy, number, portInternal))
		if err != nil {
			return nil, err
		}
		go p.accept(listener, f.address(netKeeper, number, portInternal))
	}
	return p, nil
}

// set cuts or heals the partition.
func (p *partition) set(cut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isCut = cut
	p.cond.Broadcast()
}

// await returns once the partition is not cut.
func (p *partition) await() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.isCut {
		p.cond.Wait()
	}
}

func (p *partition) accept(listener net.Listener, keeper string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go p.connect(near, keeper)
	}
}

// connect connects a connection of the router with a keeper.
func (p *partition) connect(near net.Conn, keeper string) {
	p.await()
	far, err := net.Dial("tcp", keeper)
	if err != nil {
		_ = near.Close()
		return
	}
	go p.pass(near, far, nil, nil)
	p.pass(far, near, []byte(fmt.Sprintf("127.%d.%d.", p.fleet.octet, netKeeper)), []byte(fmt.Sprintf("127.%d.%d.", p.fleet.octet, netProxy)))
}

// pass passes bytes on, and the end of the connection, with one text replaced by another of the same length.
func (p *partition) pass(from, to net.Conn, before, after []byte) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	kept := 0 // bytes at the start of the buffer that may begin the text
	for {
		n, err := from.Read(buffer[kept:])
		p.await()
		text := buffer[:kept+n]
		if len(before) > 0 {
			copy(text, bytes.ReplaceAll(text, before, after))
		}
		kept = 0
		if err == nil {
			kept = overlap(text, before)
		}
		if _, failed := to.Write(text[:len(text)-kept]); failed != nil || err != nil {
			return
		}
		copy(buffer, text[len(text)-kept:])
	}
}

// overlap returns the length of the longest end of a text that is a beginning of another one, and not all of it.
func overlap(text, beginning []byte) int {
	for length := min(len(text), len(beginning)-1); length > 0; length-- {
		if bytes.HasSuffix(text, beginning[:length]) {
			return length
		}
	}
	return 0
}
