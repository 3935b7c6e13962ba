package pacer

import (
	"sync"
	"time"
)

// Part is the part of a process's time that one kind of work may take. It is a bucket of time:
// what is done fills it, and it drains as the part comes due. The zero value bounds nothing.
type Part struct {
	Share float64 // of all time, 0 to 1

	mutex    sync.Mutex
	over     time.Duration // spent beyond what was due, within an interval's part either way
	at       time.Time     // of the latest spending
	exceeded bool          // it was more than the part since the last look
}

// Spend counts work that has been done, by how long it took this process.
func (p *Part) Spend(now time.Time, took time.Duration) {
	if p.Share == 0 {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	most := p.due(interval)
	left := max(p.over-p.due(now.Sub(p.at)), -most)
	p.over, p.at = min(left+took, most), now
	p.exceeded = p.exceeded || p.over > 0
}

// due is what the part comes to in a time.
func (p *Part) due(elapsed time.Duration) time.Duration {
	return time.Duration(p.Share * float64(elapsed))
}

// takeExceeded tells whether more than the part was spent since it was asked last.
func (p *Part) takeExceeded() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	exceeded := p.exceeded
	p.exceeded = false
	return exceeded
}
