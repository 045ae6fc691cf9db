package day

import (
	"fmt"
	"testing"
	"time"
)

// playUnbroken plays a day of 20 s on the wales site with several seeds, and fails if a promise or a flow
// is broken.
func playUnbroken(t *testing.T, disruptions ...Disruption) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			site, err := LoadSite(daysDir + "wales.site.toml")
			if err != nil {
				t.Fatal(err)
			}
			r := playDay(t, newDay(site, seconds(20).D(), disruptions...), Options{Seed: seed})
			for _, v := range r.Violations {
				t.Errorf("%s at %s: %s", v.Promise, v.At, v.Text)
			}
			if r.BrokenFlows > 0 {
				t.Errorf("%d flows were reset or sent to another target", r.BrokenFlows)
			}
		})
	}
}

// Guards against flows that opened at their second target and are sent to the first one by a VM
// without a record of them, after a planned stop: most answers to SYNs are lost for some seconds, and
// the first target repeats its answers.
func TestFlowsThatTriedTwoTargetsOutliveAPlannedStop(t *testing.T) {
	playUnbroken(t,
		Disruption{Kind: "answer_loss", At: seconds(2), For: seconds(3), Magnitude: 0.6},
		Disruption{Kind: "vm_roll", At: seconds(4), Share: 0.6})
}

// Guards against review/13: flows are opened while the VMs of a failure domain come back, so that a copy
// of a SYN goes to a VM of another domain than the SYN, whose answer is lost. The first target repeats
// its answer for 9.4 s, and after a planned stop a VM without a record of the flow believes its cookie.
func TestFlowsOpenedWhileADomainReturnsOutliveAPlannedStop(t *testing.T) {
	playUnbroken(t,
		Disruption{Kind: "vm_power_loss", At: seconds(1), For: seconds(2), Share: 1, Domain: "west-a"},
		Disruption{Kind: "answer_loss", At: seconds(2), For: seconds(4), Magnitude: 0.2},
		Disruption{Kind: "flows_rest", At: Duration(2500 * time.Millisecond), For: Duration(9600 * time.Millisecond), Count: 600, Domain: "west-a"},
		Disruption{Kind: "vm_roll", At: seconds(11), Interval: Duration(100 * time.Millisecond), Share: 0.6, Domain: "west-a"})
}
