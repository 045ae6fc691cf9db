package day

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// storeLost is the number of the event that a VM's knowledge of the store is too old.
const storeLost = "GS6106"

// larger returns the Welsh site with many VMs and few requests.
func larger(t *testing.T) *Site {
	site := small(t)
	site.VMsPerDomain = 12
	return site
}

// Guards against VMs that take a calm store for lost, and then call it themselves:
// after a change, when the pause after events, the wait of a watch and the time
// between beats together exceeded the age that is borne (2.2 s of 2.1 s); and after
// all VMs started together, before their relay's first watch had ended.
func TestACalmStoreIsNeverLost(t *testing.T) {
	for _, trouble := range []Disruption{
		{Kind: "target_release", At: seconds(3)},
		{Kind: "config_storm", At: seconds(3)},
		{Kind: "config_big", At: seconds(3)},
		{Kind: "vm_power_loss", At: seconds(3), Share: 1},
	} {
		t.Run(trouble.Kind, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.Equal(play(t, dayOf(larger(t), shortDay, trouble), Options{Seed: 1}).Events[storeLost], 0)
		})
	}
}

// Guards against calls that grow with VMs while the store does not answer: every VM
// tries a few times, and only relays and helpers go on.
func TestCallsInAnOutage(t *testing.T) {
	const (
		outage = 10 * time.Second
		// failedCall is the number of the event of a failed call.
		failedCall = "GS6108"
		tries      = 3                      // of each VM
		often      = 4 * 3                  // VMs that go on: in each of three domains a relay and helpers
		interval   = 900 * time.Millisecond // between two calls of these, at least
	)
	is := is.New(t)
	site := larger(t)
	r := play(t, dayOf(site, shortDay, Disruption{Kind: "store_down", At: seconds(3), For: Duration(outage)}), Options{Seed: 1})
	vms := site.VMsPerDomain * len(site.Domains)
	is.True(r.Events[failedCall] >= vms/2) // they do try
	is.True(r.Events[failedCall] <= tries*vms+often*int(outage/interval))
	is.Equal(r.ViolationCount, 0)
}
