package director

const (
	// idlePerMB and connectionsPerMB bound the number of client connections by the instance's memory:
	// a connection with its buffers and its goroutine takes about 25 KB. Above idlePerMB connections
	// are closed after their answers; above connectionsPerMB new connections are closed unread.
	idlePerMB        = 4
	connectionsPerMB = 10
	// runningPerCore bounds the requests in flight by processor time: with many more, a small instance
	// is late by seconds in a flood.
	runningPerCore = 800
	// startsPerCore is the number of requests per second that a core may start until its lateness is
	// known; minStartsPerCore is the lower bound, however late the process is.
	startsPerCore    = 800
	minStartsPerCore = 100
	// refusalsPerCore is the number of requests that a core refuses per second. While requests are
	// refused, no more new connections than that are read; minEntriesPerCore is the lower bound,
	// however late the process is.
	refusalsPerCore   = 20_000
	minEntriesPerCore = 2000
	// waitingPerCore bounds, by processor time, the client connections whose requests have not been
	// read yet while the process lags: they are refused within about 20 ms.
	waitingPerCore = 300
	// closingsPerCore bounds, by processor time, the connections per second that are closed behind answers
	// to a flood. One whose client connects here again costs 60 us more than one that is kept, so that
	// this takes 3% of the processor time at most.
	closingsPerCore = 500
	// minRunning is the lower bound of maxRunning, for the smallest instance.
	minRunning = 32
	// descriptorShare is the share of the file descriptors that clients may use. The rest is for
	// endpoints, keepers and files.
	descriptorShare = 0.6
	// minWaiting is the lower bound of maxWaiting, for the smallest instance.
	minWaiting = 16
)

// admitConnection reports whether one more client may connect. While requests are screened, an
// admitted connection takes one of the permitted entries.
func (d *Director) admitConnection() bool {
	return d.hasCapacity() && (!d.proxier.ScreeningActive() || d.takeEntry())
}

// hasCapacity reports whether one more client connection fits. While the process lags, the number
// of busy connections beyond the running requests is limited to maxWaiting: each further connection
// would delay all others, until no request is served in time.
func (d *Director) hasCapacity() bool {
	open, busy := d.clientConnections.counts()
	if d.pacer.Lags() && busy-d.proxier.Running() >= d.maxWaiting() {
		return false
	}
	byMemory := d.settings.Memory * connectionsPerMB
	byDescriptors := int(descriptorShare * float64(d.settings.Descriptors))
	return open < min(byMemory, byDescriptors)
}

// takeEntry reports whether one more connection may be read while requests are refused, and counts
// it if so.
func (d *Director) takeEntry() bool {
	now := d.clock.Now()
	if !d.pacer.Entries.Available(now) {
		return false
	}
	d.pacer.Entries.Take(now, "")
	return true
}

// disablesKeepAlive reports whether client connections are closed after their answers.
func (d *Director) disablesKeepAlive() bool {
	open, _ := d.clientConnections.counts()
	return open > d.settings.Memory*idlePerMB
}

// maxRunning returns the maximum number of requests in flight.
func (d *Director) maxRunning() int {
	return max(int(d.settings.Processors*runningPerCore), minRunning)
}

// maxWaiting returns the maximum number of connections whose requests may wait to be read while the
// process lags.
func (d *Director) maxWaiting() int {
	return max(int(d.settings.Processors*waitingPerCore), minWaiting)
}
