package controller

import (
	"net"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/scheduler"
)

// sendPlaces sends the changes of places since the last call to the placing peers. They are not sent
// again: a return whose place is unknown at its entry is served as a new request.
func (c *Controller) sendPlaces(socket net.PacketConn) {
	now := time.Now()
	c.config.Scheduler.Expire(now)
	messages := scheduler.Encode(now, c.config.Scheduler.TakeChanges())
	c.sendAlong(socket, messages, c.current.Load().placingPaths, dispatcher.RelayToPlacing, 1)
}

// decodePlaces decodes an update of places, and returns the function that applies it.
func (c *Controller) decodePlaces(now time.Time, message []byte) (apply func(), err error) {
	update, err := scheduler.Decode(now, message)
	return func() { c.config.Scheduler.Apply(now, update) }, err
}
