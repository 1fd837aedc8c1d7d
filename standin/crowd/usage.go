package crowd

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process takes at one time.
type Usage struct {
	// Resident is its resident memory, Unread what the kernel holds for its connections that it has not read, in bytes.
	Resident, Unread int64
	// Descriptors is the number of its open descriptors.
	Descriptors int
}

// Memory returns the memory in bytes that counts for the process.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

// Measure returns what a process takes that listens on a host of its own. It returns an error if the process has ended.
func Measure(processID int, host netip.Addr) (Usage, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", processID))
	if err != nil {
		return Usage{}, fmt.Errorf("measure memory: %w", err)
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 || fields[1] == "0" {
		return Usage{}, fmt.Errorf("process %d has ended", processID)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return Usage{}, fmt.Errorf("measure memory: %w", err)
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", processID))
	if err != nil {
		return Usage{}, fmt.Errorf("count descriptors: %w", err)
	}
	unread, err := unreadBytes(host)
	return Usage{Resident: pages * int64(os.Getpagesize()), Unread: unread, Descriptors: len(descriptors)}, err
}

// stateListen is the state of a listening socket in /proc/net/tcp, whose queue holds connections and not bytes.
const stateListen = "0A"

// unreadBytes returns the number of bytes in the receive queues of all connections of a local address.
func unreadBytes(host netip.Addr) (int64, error) {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("read connections: %w", err)
	}
	defer func() { _ = table.Close() }()
	ip := host.As4()
	local := strings.ToUpper(hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, binary.BigEndian.Uint32(ip[:])))) + ":"
	total := int64(0)
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			total += n
		}
	}
	return total, lines.Err()
}

// measurePeriod is the interval at which a Watch measures.
const measurePeriod = 20 * time.Millisecond

// Watch measures what a process takes until it is ended. It is safe for concurrent use.
type Watch struct {
	lock sync.Mutex
	most Usage
	err  error
	stop chan struct{}
	done chan struct{}
}

// NewWatch starts a Watch of a process; see Measure.
func NewWatch(processID int, host netip.Addr) *Watch {
	w := &Watch{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			w.add(Measure(processID, host))
			select {
			case <-w.stop:
				return
			case <-time.After(measurePeriod):
			}
		}
	}()
	return w
}

func (w *Watch) add(u Usage, err error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if err != nil {
		w.err = err
		return
	}
	if u.Memory() > w.most.Memory() {
		w.most.Resident, w.most.Unread = u.Resident, u.Unread
	}
	w.most.Descriptors = max(w.most.Descriptors, u.Descriptors)
}

// End ends the watch. It returns the most memory and the most descriptors that the process took, perhaps at different
// times, and an error if the process has ended.
func (w *Watch) End() (Usage, error) {
	close(w.stop)
	<-w.done
	return w.most, w.err
}
