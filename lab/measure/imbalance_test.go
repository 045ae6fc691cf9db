package measure

import "testing"

// Guards against targets that receive more or fewer flows than their share while flows are
// opened at a high rate, because the load reports of owners are up to a second old.
func TestFastFillKeepsTheShares(t *testing.T) {
	site := Wales()
	site.Services = site.Services[1:]
	site.Services[0].Weight = func(n int) uint32 { return uint32(1 + n%3) }
	for seed := range uint64(3) {
		tr := newTrial(site, seed, 6)
		tr.fill(1000)
		if worst := tr.worstDeviation(site.Services[0].Name); worst > maxShareDeviation {
			t.Errorf("seed %d: the worst target is %.1f%% off its share", seed, worst)
		}
	}
}

// Guards against targets that receive more or fewer flows than their share after a change of
// the table, because the load reports of owners are up to a second old while flows shift
// between the targets, or because a small target lacks the sum of the small excesses of all
// others.
func TestFastRenewalKeepsTheShares(t *testing.T) {
	cases := []struct {
		name   string
		site   Site
		seed   uint64
		change func(*trial)
	}{
		{"a target added, tasmania", Tasmania(), 1, addTargets},
		{"a target added, wales", Wales(), 1, addTargets},
		{"a weight edited, wales", Wales(), 2, editOneWeight},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.site.Services = c.site.Services[1:]
			c.site.Services[0].Weight = func(n int) uint32 { return uint32(1 + n%3) }
			tr := newTrial(c.site, c.seed, c.site.VMs)
			tr.fill(float64(c.site.FlowsPerTarget))
			c.change(tr)
			tr.renew()
			if worst := tr.worstDeviation(c.site.Services[0].Name); worst > maxShareDeviation {
				t.Errorf("the worst target is %.1f%% off its share", worst)
			}
		})
	}
}
