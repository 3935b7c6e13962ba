package director

const (
	// idlePerMB and connectionsPerMB bound clients' connections by memory: one with
	// its buffers and its goroutine takes some 25 KB. From the first on connections are
	// closed behind their answers, beyond the second new ones are closed unread.
	idlePerMB        = 4
	connectionsPerMB = 10
	// runningPerCore bounds the requests under way by processor time: with many more a small
	// instance is late by seconds in a flood.
	runningPerCore = 800
	// startsPerCore is how many requests a second a core may start until its lateness is
	// known, and leastStartsPerCore however late it is.
	startsPerCore      = 800
	leastStartsPerCore = 100
	// refusalsPerCore is how many requests a core refuses in a second: more new connections are
	// not read while requests are refused, and leastEntriesPerCore are however late the process is.
	refusalsPerCore     = 20_000
	leastEntriesPerCore = 2000
	// waitingPerCore bounds the connections of clients whose requests have not been read
	// yet while the process lags, by processor time: they are refused within some 20 ms.
	waitingPerCore = 300
	// leastRunning is the bound of the smallest instance.
	leastRunning = 32
	// descriptorShare is the part of the descriptors that clients may use. The rest
	// is for endpoints, keepers and files.
	descriptorShare = 0.6
	// leastWaiting is the bound of mostWaiting for the smallest instance.
	leastWaiting = 16
)

// room tells whether one more client may connect, and counts it.
func (d *Director) room() bool {
	return d.holds() && (!d.passer.ScreeningActive() || d.enters())
}

// holds tells whether one more client may be connected. While the process lags
// only so many connections may be busy as requests may be under way: each that is taken
// beyond that makes all others later, until nobody is served in time.
func (d *Director) holds() bool {
	open, busy := d.connected.counts()
	if d.pacer.Lags() && busy-d.passer.Running() >= d.mostWaiting() {
		return false
	}
	byMemory := d.settings.Memory * connectionsPerMB
	byDescriptors := int(descriptorShare * float64(d.settings.Descriptors))
	return open < min(byMemory, byDescriptors)
}

// enters tells whether one more connection may be read while requests are refused, and takes it.
func (d *Director) enters() bool {
	now := d.clock.Now()
	if !d.pacer.Entries.Available(now) {
		return false
	}
	d.pacer.Entries.Take(now, "")
	return true
}

// crowded tells whether connections are closed behind their answers.
func (d *Director) crowded() bool {
	open, _ := d.connected.counts()
	return open > d.settings.Memory*idlePerMB
}

// mostRunning is how many requests may be under way.
func (d *Director) mostRunning() int {
	return max(int(d.settings.Processors*runningPerCore), leastRunning)
}

// mostWaiting is how many requests may wait to be read while the process lags.
func (d *Director) mostWaiting() int {
	return max(int(d.settings.Processors*waitingPerCore), leastWaiting)
}
