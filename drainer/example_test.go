package drainer_test

import (
	"fmt"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/drainer"
)

func Example() {
	list := []api.Instance{{Name: "engine-1", Kind: api.KindEngine, State: api.InstanceLive}}
	d := drainer.New()
	fmt.Println(d.IsUsable("engine-1"))
	d.UpdateList(list)
	d.ObserveIncarnation("engine-1", 7)
	fmt.Println(d.IsUsable("engine-1"))
	// A peer reports that engine-1 is leaving; an outdated list still shows it as live.
	fmt.Println(d.MarkLeaving("engine-1", 7), d.MarkLeaving("engine-1", 7))
	d.UpdateList(list)
	fmt.Println(d.IsUsable("engine-1"))
	d.ObserveIncarnation("engine-1", 8)
	fmt.Println(d.IsUsable("engine-1"))
	// Output:
	// false
	// true
	// true false
	// false
	// true
}
