package measure

import "testing"

// Guards against targets that get more or fewer flows than their share while flows
// are opened fast, because what owners know of each other is up to a second old.
func TestFastFillKeepsTheShares(t *testing.T) {
	site := Wales()
	site.Services = site.Services[1:]
	site.Services[0].Weight = func(n int) uint32 { return uint32(1 + n%3) }
	for seed := range uint64(3) {
		tr := newTrial(site, seed, 6)
		tr.fill(1000)
		if worst := tr.worstDeviation(site.Services[0].Name); worst > shareBound {
			t.Errorf("seed %d: the worst target is %.1f%% off its share", seed, worst)
		}
	}
}
