package day

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeStaleEvent is the number of the event that a VM's state from the store is too old.
const storeStaleEvent = "GS6106"

// largeSite returns the Welsh site with 12 VMs per failure domain and few requests.
func largeSite(t *testing.T) *Site {
	site := smallSite(t)
	site.VMsPerDomain = 12
	return site
}

// Guards against VMs that consider their state stale although the store is available, and
// then call the store themselves. This happened after a change, when the batch pause, the
// watch timeout and the heartbeat interval added up to more than the maximum age (2.2 s
// against 2.1 s), and after a start of all VMs, before their relay's first watch ended.
func TestACalmStoreIsNeverLost(t *testing.T) {
	for _, disruption := range []Disruption{
		{Kind: "target_release", At: seconds(3)},
		{Kind: "config_storm", At: seconds(3)},
		{Kind: "config_big", At: seconds(3)},
		{Kind: "vm_power_loss", At: seconds(3), Share: 1},
	} {
		t.Run(disruption.Kind, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(playDay(t, newDay(largeSite(t), shortDay, disruption), Options{Seed: 1}).Events[storeStaleEvent], 0)
		})
	}
}

// Guards against store calls in proportion to the number of VMs during a long outage:
// every VM tries a few times, and then only relays and helpers continue.
func TestCallsInAnOutage(t *testing.T) {
	const (
		outage = 10 * time.Second
		// failedCallEvent is the number of the event of a failed call.
		failedCallEvent = "GS6108"
		triesPerVM      = 3                      // calls of each VM
		persistentVMs   = 4 * 3                  // that continue: a relay and three helpers per domain
		interval        = 900 * time.Millisecond // minimum time between two calls of these
	)
	is := is.New(t)
	site := largeSite(t)
	r := playDay(t, newDay(site, shortDay, Disruption{Kind: "store_down", At: seconds(3), For: Duration(outage)}), Options{Seed: 1})
	vms := site.VMsPerDomain * len(site.Domains)
	is.True(r.Events[failedCallEvent] >= vms/2) // VMs do call the store
	is.True(r.Events[failedCallEvent] <= triesPerVM*vms+persistentVMs*int(outage/interval))
	is.Equal(r.ViolationCount, 0)
}
