package director

import (
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// limited closes connections beyond a number at once. A process that takes
// whatever comes runs out of memory or descriptors in a flood, and then cannot
// even reach an endpoint; a client whose connection is closed unread tries
// another router.
type limited struct {
	net.Listener
	most int64
	open *atomic.Int64
	log  zerolog.Logger
	full atomic.Bool
}

// Accept returns the next connection for which there is room.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		room := l.open.Load() < l.most
		if l.full.Swap(!room) == room {
			l.log.Warn().Int64("open", l.open.Load()).Int64("most", l.most).Bool("full", !room).Msg("room for clients' connections changed")
		}
		if room {
			return conn, nil
		}
		conn.Close()
	}
}
