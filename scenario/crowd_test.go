package scenario

import (
	"io"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/standin/crowd"
)

const (
	// crowdMemory and crowdMaxDescriptors are the limits of the entry in TestCrowd, in bytes and descriptors. They are the
	// bounds too.
	crowdMemory, crowdMaxDescriptors = 96 << 20, 300
	// crowdSize is the number of clients that send bytes, silentSize that of those that send none.
	crowdSize, silentSize = 150, 400
	// crowdTime is the time for which a crowd is there, servedWithin bounds the time in which one request of an ordinary
	// caller has to be served afterwards; the caller tries until then.
	crowdTime, servedWithin = 3 * time.Second, 30 * time.Second
)

// crowdCase is a crowd at one of the two addresses of an entry.
type crowdCase struct {
	isAtPeers bool
	count     int
	sender    crowd.Sender
}

// crowdCases are the cases of TestCrowd by name.
var crowdCases = map[string]crowdCase{
	"callers/fields":           {false, crowdSize, crowd.Fields(api.PathCompletions, false)},
	"callers/completed fields": {false, crowdSize, crowd.Fields(api.PathReady, true)},
	"callers/long value":       {false, crowdSize, crowd.LongValue(api.PathCompletions)},
	"callers/long line":        {false, crowdSize, crowd.LongLine},
	"callers/empty lines":      {false, crowdSize, crowd.EmptyLines},
	"callers/chunks":           {false, crowdSize, crowd.Chunks(api.PathCompletions)},
	"callers/silent":           {false, silentSize, crowd.Silent},
	"peers/noise":              {true, crowdSize, crowd.Noise},
	"peers/open frame":         {true, crowdSize, crowd.OpenFrame},
	"peers/long frame":         {true, crowdSize, crowd.LongFrame},
	"peers/type definitions":   {true, crowdSize, crowd.TypeDefinitions},
	"peers/silent":             {true, silentSize, crowd.Silent},
}

// Guards against clients of the product's own interface that end an entry with what they send: heads and other bytes
// without an end, and connections without a byte took all memory and all descriptors.
func TestCrowd(t *testing.T) {
	for name, c := range crowdCases {
		t.Run(name, func(t *testing.T) { runCrowd(t, c) })
	}
}

func runCrowd(t *testing.T, c crowdCase) {
	f := newFleet(t.TempDir())
	t.Cleanup(f.stopAll)
	f.options["entries"], f.options["engines"] = "1", "1"
	f.options["process-memory"], f.options["max-descriptors"] = strconv.Itoa(crowdMemory), strconv.Itoa(crowdMaxDescriptors)
	if err := f.startAll(); err != nil {
		t.Fatal(err)
	}
	e := f.processes["entry-1"]
	_ = c.sender(io.Discard) // what is sent is prepared before the clients begin
	watch := crowd.NewWatch(e.cmd.Process.Pid, e.listenAddress.Addr())
	address := e.listenAddress
	if c.isAtPeers {
		address = e.peerListenAddress
	}
	clients := crowd.Start(address, c.count, c.sender)
	time.Sleep(crowdTime)
	clients.Stop()
	f.awaitServed(t, e.listenAddress)
	most, err := watch.End()
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d connections: %d MiB resident and %d unread; %d descriptors", clients.Connected(), most.Resident>>20, most.Unread>>20, most.Descriptors)
	if most.Memory() > crowdMemory {
		t.Errorf("%d MiB in use: must be at most %d", most.Memory()>>20, crowdMemory>>20)
	}
	if most.Descriptors > crowdMaxDescriptors {
		t.Errorf("%d descriptors in use: must be at most %d", most.Descriptors, crowdMaxDescriptors)
	}
}

// awaitServed calls a service through the entry at an address until a call is served, and fails the test if none is.
func (f *fleet) awaitServed(t *testing.T, entry netip.AddrPort) {
	t.Helper()
	var answer string
	var err error
	for deadline := time.Now().Add(servedWithin); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		answer, err = httpPost("http://"+entry.String()+api.PathServices+"dispatch/lookup", "{}", nil)
		if err == nil && strings.HasPrefix(answer, "status=200") {
			return
		}
	}
	t.Errorf("no call was served within %s: %s: %v", servedWithin, answer, err)
}
