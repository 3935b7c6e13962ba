package director

import (
	"context"
	"net"
	"time"

	"shallotkeel.example/router/internal/drainer"
	"shallotkeel.example/router/internal/proxier"
)

const (
	// drainTime is how long requests are still accepted after a planned stop has begun. New connections
	// arrive for up to two seconds after the answer "not ready", because the platform probes each second
	// and acts on the second such answer. A request accepted more than three seconds after the stop
	// began may take longer than the rest of the grace time, and would be cut.
	drainTime = 2600 * time.Millisecond
	// stopMargin is reserved at the end of the grace time for the process's own exit.
	stopMargin = 500 * time.Millisecond
	// minGrace is the shortest grace time in which a planned stop completes.
	minGrace = drainTime + 2*stopMargin
	// cutTime is the part of stopMargin in which requests that are ended at the end of the grace time answer
	// their clients and are logged.
	cutTime = 250 * time.Millisecond
	// reportTime is the part of stopMargin for which a router that ends waits until a keeper knows the
	// crashes that it has seen, and reportInterval how often it looks.
	reportTime     = 200 * time.Millisecond
	reportInterval = 10 * time.Millisecond
)

// isStopping reports whether the planned stop has begun.
func (d *Director) isStopping() bool {
	select {
	case <-d.stopping:
		return true
	default:
		return false
	}
}

// stop performs the planned stop: it reports not ready, accepts requests for drainTime longer, and
// then closes the listener and waits for the requests in flight within the grace time. Requests that
// are read later than that are refused.
func (d *Director) stop(clients net.Listener, endRequests context.CancelCauseFunc) {
	d.log.Info().Int("running", d.proxier.Running()).Msg("planned stop begins")
	left := d.settings.Grace.Duration - stopMargin
	end, over := d.clock.Now().Add(left), d.clock.After(left)
	close(d.stopping)
	d.proxier.Stop()
	<-d.clock.After(drainTime)
	d.proxier.Refuse(end)
	d.drainer.Begin()
	if err := clients.Close(); err != nil {
		d.log.Warn().Err(err).Msg("the listener for clients could not be closed")
	}
	if !drainer.Wait(d.drainer, d.clock, over) {
		d.cutRequests(endRequests)
	}
}

// awaitReports waits until a keeper knows the crashes that this router has seen, for reportTime at most:
// once the router has ended, nobody else may know them.
func (d *Director) awaitReports() {
	over := d.clock.After(reportTime)
	for !d.reader.CrashesReported() {
		select {
		case <-over:
			d.log.Warn().Msg("crashes of endpoints are not reported to any keeper; they are lost with this router")
			return
		case <-d.clock.After(reportInterval):
		}
	}
}

// cutRequests ends the requests in flight, and gives them cutTime to answer their clients.
func (d *Director) cutRequests(endRequests context.CancelCauseFunc) {
	open, _ := d.clientConnections.counts()
	d.log.Warn().Int("running", d.proxier.Running()).Int("open", open).Msg("requests cut because the grace time for the stop is over")
	endRequests(proxier.ErrStopped)
	d.drainer.Interrupt()
	select {
	case <-d.drainer.Done():
	case <-d.clock.After(cutTime):
	}
}
