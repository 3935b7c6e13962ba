package conductor

import (
	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/messenger"
)

// settleTicks is how many heartbeats a router waits for an answer before it
// takes itself for the only one of its fleet.
const settleTicks = 4

// sendBeats sends heartbeats; an answer may ask for further ones.
func (c *Conductor) sendBeats(beats []detector.Beat) {
	self := c.detector.Self()
	if c.detector.Contacts() > 0 || self.Beat >= settleTicks {
		c.contact.Store(true)
	}
	for _, beat := range beats {
		if beat.To == c.options.Address {
			continue
		}
		method := c.peers.get(beat.To).membership.Heartbeat
		call(c, kindHeartbeat, method, beat.Request, func(answer *messenger.HeartbeatResponse, err error) {
			if err == nil {
				c.sendBeats(c.detector.Answer(c.clock.Now(), beat, answer))
			}
		})
	}
}
