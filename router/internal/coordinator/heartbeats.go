package coordinator

import (
	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/messenger"
)

// settleHeartbeats is how many heartbeats a router waits for an answer before it
// assumes to be the only router of its fleet.
const settleHeartbeats = 4

// sendHeartbeats sends heartbeats. An answer may ask for further heartbeats.
func (c *Coordinator) sendHeartbeats(beats []detector.Heartbeat) {
	self := c.detector.Self()
	if c.detector.Contacts() > 0 || self.Beat >= settleHeartbeats {
		c.settled.Store(true)
	}
	for _, beat := range beats {
		if beat.To == c.options.Address {
			continue
		}
		method := c.peers.get(beat.To).membership.Heartbeat
		call(c, kindHeartbeat, method, beat.Request, func(answer *messenger.HeartbeatResponse, err error) {
			if err == nil {
				c.sendHeartbeats(c.detector.HandleResponse(c.clock.Now(), beat, answer))
			}
		})
	}
}
