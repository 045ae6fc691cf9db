package day

import (
	"testing"
	"time"
)

// largeConfigurationDay returns a day on which configurations of some hundred kilobytes follow each
// other at an interval while some VMs are cut off, and targets leave when these have just come back.
func largeConfigurationDay(t *testing.T, interval time.Duration) *Day {
	t.Helper()
	site, err := LoadSite(daysDir + "gastro.site.toml")
	if err != nil {
		t.Fatal(err)
	}
	site.VMsPerDomain, site.LinkMbps = 40, 10
	for i := range site.Kinds {
		site.Kinds[i].Rate /= 2
	}
	return newDay(site, 22*time.Second,
		Disruption{Kind: "config_big", At: seconds(2), Count: 1400},
		Disruption{Kind: "vm_cut", At: seconds(2), For: seconds(6), Share: 0.17},
		Disruption{Kind: "config_storm", At: seconds(4), For: seconds(9), Interval: Duration(interval)},
		Disruption{Kind: "target_leave", At: seconds(11), For: seconds(6), Share: 0.3})
}

// Guards against configurations, and news of targets that leave, that VMs have late behind large
// configurations: on slow links these took longer than the time-outs of pulls and calls.
func TestChangesAreInTimeBehindLargeConfigurations(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 400 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			t.Parallel()
			for _, v := range playDay(t, largeConfigurationDay(t, interval), Options{Seed: 2}).Violations {
				t.Errorf("%s at %s: %s", v.Promise, v.At, v.Text)
			}
		})
	}
}

// Guards against a change that was acknowledged last and is not in force after a loss of power of all
// VMs, which then have nothing but the store and each other: available at once, later, slow, without
// its history, or as an older copy.
func TestLastChangeIsInForceAfterALossOfPower(t *testing.T) {
	stores := []Disruption{
		{Kind: "vm_add", At: seconds(6)},
		{Kind: "store_down", At: seconds(5), For: seconds(6)},
		{Kind: "store_slow", At: seconds(5), For: seconds(6), Magnitude: 100},
		{Kind: "history_dropped", At: seconds(6)},
		{Kind: "store_rewind", At: seconds(6), For: seconds(3), Magnitude: 4},
		{Kind: "store_refuses", At: seconds(5), For: seconds(6), Share: 0.5},
	}
	for _, store := range stores {
		t.Run(store.Kind, func(t *testing.T) {
			t.Parallel()
			site := largeSite(t)
			site.LinkMbps = 10
			d := newDay(site, 22*time.Second,
				Disruption{Kind: "config_big", At: seconds(2), Count: 1400},
				Disruption{Kind: "config_change", At: Duration(4990 * time.Millisecond)},
				Disruption{Kind: "vm_power_loss", At: seconds(5), For: seconds(3), Share: 1}, store)
			for _, v := range playDay(t, d, Options{Seed: 1}).Violations {
				t.Errorf("%s at %s: %s", v.Promise, v.At, v.Text)
			}
		})
	}
}
