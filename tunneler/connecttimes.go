package tunneler

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of one observation in the moving averages of
	// connectTimes, deviationFactor the number of deviations above the mean up to which a connection is not
	// late: as TCP estimates its retransmission timeout.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
	// minPatience and maxPatience bound the time after which a connection is late. Below the first a pause
	// of this process would make many connections late.
	minPatience, maxPatience = 20 * time.Millisecond, 60 * time.Millisecond
)

// connectTimes estimates from when on a connection takes longer than usual. It is safe for concurrent use.
type connectTimes struct {
	lock sync.Mutex
	// mean is the moving average of the times that direct connections took, deviation that of their distance
	// to it. Both are 0 before the first.
	mean, deviation time.Duration
}

// add adds the time that a direct connection took.
func (c *connectTimes) add(took time.Duration) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.mean == 0 {
		c.mean, c.deviation = took, took/2
		return
	}
	distance := took - c.mean
	c.mean += time.Duration(meanWeight * float64(distance))
	c.deviation += time.Duration(deviationWeight * float64(max(distance, -distance)-c.deviation))
}

// patience returns the time after which a connection is late.
func (c *connectTimes) patience() time.Duration {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.mean == 0 {
		return maxPatience
	}
	return min(maxPatience, max(minPatience, c.mean+deviationFactor*c.deviation))
}
