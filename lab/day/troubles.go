package day

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	troublesName = "troubles"
	// Ways of config_change.
	changeRoute   = "route"
	changeTimeout = "timeout"
	// Ways of target_grey.
	greyErrors = "errors"
	greyHang   = "hang"
	greyReset  = "reset"
	greySlow   = "slow"
	// slowCycle is the time in which a slow VM runs for a part.
	slowCycle = 50 * time.Millisecond
)

// Disruption is one fault or planned change of a day. Fields that are 0 have the
// defaults of the kind.
type Disruption struct {
	Kind      string   `toml:"kind" json:"kind"`
	At        Duration `toml:"at" json:"at_ns"`
	For       Duration `toml:"for" json:"for_ns,omitempty"`
	Interval  Duration `toml:"gap" json:"gap_ns,omitempty"`    // between steps
	Share     float64  `toml:"share" json:"share,omitempty"`   // of the VMs or targets
	Count     int      `toml:"count" json:"count,omitempty"`   // of them, instead of share
	Magnitude float64  `toml:"x" json:"x,omitempty"`           // how strong
	Variant   string   `toml:"how" json:"how,omitempty"`       // the way
	Domain    string   `toml:"domain" json:"domain,omitempty"` // failure domain; empty: any
	Scope     string   `toml:"of" json:"of,omitempty"`         // service or kind of request; empty: any
}

// troubleKind is what a kind of trouble does.
type troubleKind struct {
	text     string
	defaults Disruption // values of fields that are 0
	run      func(*troubles, Disruption)
}

// troubleKinds holds every kind of trouble by its name.
var troubleKinds = map[string]troubleKind{
	"vm_kill":         {"VMs' processes are killed", Disruption{Share: 0.1}, (*troubles).killVMs},
	"vm_power_loss":   {"VMs have no power for a time", Disruption{Share: 0.1, For: seconds(3)}, (*troubles).powerVMs},
	"vm_pause":        {"VMs stand still for a time", Disruption{Share: 0.1, For: seconds(3)}, (*troubles).pauseVMs},
	"vm_slow":         {"VMs run x times slower", Disruption{Share: 0.1, For: seconds(5), Magnitude: 5}, (*troubles).slowVMs},
	"vm_roll":         {"VMs are stopped and started in turn", Disruption{Share: 1, Interval: seconds(1)}, (*troubles).rollVMs},
	"vm_replace":      {"VMs go for good, others come", Disruption{Share: 0.1}, (*troubles).replaceVMs},
	"vm_add":          {"VMs are added", Disruption{Count: 3}, (*troubles).addVMs},
	"vm_cut":          {"VMs are cut off from VMs, targets and the store", Disruption{Share: 0.1, For: seconds(5)}, (*troubles).cutVMs},
	"domain_cut":      {"a failure domain is cut off from the others and the store", Disruption{For: seconds(6)}, (*troubles).cutDomain},
	"packet_loss":     {"a part x of the packets between domains is lost", Disruption{For: seconds(8), Magnitude: 0.03}, (*troubles).losePackets},
	"store_down":      {"the store does not answer", Disruption{For: seconds(8)}, (*troubles).storeDown},
	"store_refuses":   {"the store answers a share of the VMs no more", Disruption{Share: 0.35, For: seconds(8)}, (*troubles).storeRefuses},
	"store_slow":      {"the store takes x times as long", Disruption{For: seconds(8), Magnitude: 50}, (*troubles).storeSlow},
	"history_dropped": {"the store forgets its history", Disruption{}, (*troubles).dropHistory},
	"target_crash":    {"targets end without a word", Disruption{Share: 0.15}, (*troubles).crashTargets},
	"target_release":  {"targets are replaced in turn, as planned", Disruption{Share: 0.5, Interval: seconds(1)}, (*troubles).releaseTargets},
	"target_leave":    {"targets leave as planned", Disruption{Share: 0.15}, (*troubles).drainTargets},
	"target_add":      {"targets are added", Disruption{Count: 2}, (*troubles).addTargets},
	"target_reuse":    {"targets crash, and others of another service get their addresses", Disruption{Share: 0.1}, (*troubles).reuseAddresses},
	"target_slow":     {"targets work x times as long", Disruption{Share: 0.15, For: seconds(8), Magnitude: 4}, (*troubles).slowTargets},
	"target_grey":     {"targets fail a part x of their requests; how: errors, hang, reset, slow", Disruption{Share: 0.15, For: seconds(8), Magnitude: 0.4, Variant: greyErrors}, (*troubles).greyTargets},
	"target_flap":     {"targets go down and up by turns", Disruption{Share: 0.15, For: seconds(8), Interval: seconds(1)}, (*troubles).flapTargets},
	"target_cut":      {"targets are cut off from VMs and the store", Disruption{Share: 0.15, For: seconds(5)}, (*troubles).cutTargets},
	"burst":           {"x times the requests of a kind come", Disruption{For: seconds(5), Magnitude: 2}, (*troubles).burst},
	"config_change":   {"the configuration changes; how: route, timeout", Disruption{Variant: changeRoute}, (*troubles).changeConfig},
	"config_storm":    {"configurations follow each other", Disruption{For: seconds(4), Interval: Duration(200 * time.Millisecond), Variant: changeRoute}, (*troubles).stormConfig},
	"config_big":      {"count routes are added at once", Disruption{Count: 200}, (*troubles).growConfig},
}

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }

// DisruptionKinds returns the kinds of disruption with a line on each, by name.
func DisruptionKinds() (names []string, text func(name string) string) {
	return slices.Sorted(maps.Keys(troubleKinds)), func(name string) string { return troubleKinds[name].text }
}

func (t *Disruption) faults(d *Day) (faults []error) {
	add := func(format string, values ...any) {
		faults = append(faults, fmt.Errorf("trouble %q at %s: "+format, append([]any{t.Kind, t.At.D()}, values...)...))
	}
	if _, ok := troubleKinds[t.Kind]; !ok {
		add("unknown kind")
	}
	if t.At < 0 || t.At > d.Length {
		add("it lies outside the day")
	}
	if t.Share < 0 || t.Share > 1 || t.Count < 0 || t.For < 0 || t.Interval < 0 || t.Magnitude < 0 {
		add("share must be 0 to 1; count, for, gap and x must not be negative")
	}
	if t.Domain != "" && !slices.Contains(d.Site.Domains, t.Domain) {
		add("unknown failure domain %q", t.Domain)
	}
	return faults
}

// withDefaults returns the trouble with the values of its kind where it has none.
func (t Disruption) withDefaults() Disruption {
	d := troubleKinds[t.Kind].defaults
	t.For = cmp.Or(t.For, d.For)
	t.Interval = cmp.Or(t.Interval, d.Interval)
	t.Magnitude = cmp.Or(t.Magnitude, d.Magnitude)
	t.Variant = cmp.Or(t.Variant, d.Variant)
	if t.Count == 0 && t.Share == 0 {
		t.Count, t.Share = d.Count, d.Share
	}
	return t
}

// troubles is the service "troubles": it disturbs the other parts.
type troubles struct {
	part
	site     *Site
	timeline *timeline
	network  *network
	store    *store
	targets  *targets
	fleet    *fleet
	callers  *callers
	operator *operator
	oracle   *oracle
	rng      *rand.Rand
}

func newTroubles(site *Site) *troubles { return &troubles{part: part{troublesName}, site: site} }

// Connect implements kernel.Service.
func (s *troubles) Connect(k *kernel.Kernel) error {
	if err := connect(k, &s.timeline, &s.network, &s.store, &s.targets, &s.fleet, &s.callers, &s.operator, &s.oracle); err != nil {
		return err
	}
	s.rng = s.timeline.stream(troublesName)
	return nil
}

// plan has every trouble begin at its time after the start of the load.
func (s *troubles) plan(load time.Duration, list []Disruption) {
	for _, t := range list {
		t = t.withDefaults()
		s.timeline.at(load+t.At.D(), func() { troubleKinds[t.Kind].run(s, t) })
	}
}

// amount returns how many of n things a trouble is about.
func (t Disruption) amount(n int) int {
	if t.Count > 0 {
		return min(t.Count, n)
	}
	return min(max(int(t.Share*float64(n)+0.5), 1), n)
}

// chooseVMs returns random running VMs.
func (s *troubles) chooseVMs(t Disruption) []*vm {
	var list []*vm
	for _, v := range s.fleet.vms {
		if v.up && !v.leaving && (t.Domain == "" || s.site.Domains[v.end.domain] == t.Domain) {
			list = append(list, v)
		}
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:t.amount(len(list))]
}

// chooseTargets returns random targets of a service, all of which but one may go.
func (s *troubles) chooseTargets(t Disruption) []*target {
	service := t.Scope
	if service == "" {
		service = s.site.Services[s.rng.IntN(len(s.site.Services))].Name
	}
	list := s.targets.ofService(service)
	if t.Domain != "" {
		list = slices.DeleteFunc(list, func(x *target) bool { return s.site.Domains[x.end.domain] != t.Domain })
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(t.amount(len(list)), max(len(list)-1, 0))]
}

// during disturbs something for a time.
func (s *troubles) during(d *disturbance, t time.Duration, end func()) {
	d.begin()
	s.timeline.after(t, func() {
		d.end(s.timeline.now())
		end()
	})
}

func (s *troubles) killVMs(t Disruption) {
	for _, v := range s.chooseVMs(t) {
		s.during(&v.trouble, s.site.Bounds.RestartDelay.D(), func() {})
		v.kill()
		v.restart()
	}
}

func (s *troubles) powerVMs(t Disruption) {
	for _, v := range s.chooseVMs(t) {
		v.kill()
		v.dark = s.timeline.now() + t.For.D()
		s.during(&v.trouble, t.For.D(), v.start)
	}
}

func (s *troubles) pauseVMs(t Disruption) {
	for _, v := range s.chooseVMs(t) {
		boot := v.boots
		v.setPaused(true)
		s.during(&v.trouble, t.For.D(), func() {
			if v.boots == boot && v.up {
				v.setPaused(false)
			}
		})
	}
}

func (s *troubles) slowVMs(t Disruption) {
	runs := time.Duration(float64(slowCycle) / max(t.Magnitude, 1))
	for _, v := range s.chooseVMs(t) {
		till := s.timeline.now() + t.For.D()
		s.during(&v.trouble, t.For.D(), func() {})
		s.timeline.every(slowCycle, func() bool {
			if !v.up {
				return s.timeline.now() < till
			}
			v.setPaused(false)
			if s.timeline.now() >= till {
				return false
			}
			s.timeline.after(runs, func() {
				if v.up {
					v.setPaused(true)
				}
			})
			return true
		})
	}
}

func (s *troubles) rollVMs(t Disruption) {
	for i, v := range s.chooseVMs(t) {
		s.timeline.after(time.Duration(i)*t.Interval.D(), func() {
			if !v.up || v.leaving {
				return
			}
			s.during(&v.trouble, leaveTime+s.site.Bounds.RestartDelay.D(), func() {})
			v.stop(v.restart)
		})
	}
}

func (s *troubles) replaceVMs(t Disruption) {
	for _, v := range s.chooseVMs(t) {
		v.trouble.begin()
		v.kill()
		v.removed = true
		other := s.fleet.add(v.end.domain)
		s.timeline.after(s.site.Bounds.RestartDelay.D(), other.start)
	}
}

func (s *troubles) addVMs(t Disruption) {
	for i := range t.Count {
		s.fleet.add(i % len(s.site.Domains)).start()
	}
}

func (s *troubles) cutVMs(t Disruption) {
	for _, v := range s.chooseVMs(t) {
		v.end.cut = true
		s.during(&v.trouble, t.For.D(), func() { v.end.cut = false })
	}
}

func (s *troubles) cutDomain(t Disruption) {
	d := s.rng.IntN(len(s.site.Domains))
	if t.Domain != "" {
		d = slices.Index(s.site.Domains, t.Domain)
	}
	if s.network.cut[d] {
		return
	}
	s.network.cut[d] = true
	s.during(&s.oracle.domainCuts[d], t.For.D(), func() { s.network.cut[d] = false })
}

func (s *troubles) losePackets(t Disruption) {
	s.network.loss = t.Magnitude
	s.timeline.after(t.For.D(), func() { s.network.loss = 0 })
}

func (s *troubles) storeDown(t Disruption) {
	s.store.down = true
	s.during(&s.oracle.storeTrouble, t.For.D(), func() { s.store.down = false })
}

func (s *troubles) storeRefuses(t Disruption) {
	chosen := s.chooseVMs(t)
	for _, v := range chosen {
		v.refused = true
	}
	s.during(&s.oracle.storeTrouble, t.For.D(), func() {
		for _, v := range chosen {
			v.refused = false
		}
	})
}

func (s *troubles) storeSlow(t Disruption) {
	s.store.slow = t.Magnitude
	s.during(&s.oracle.storeTrouble, t.For.D(), func() { s.store.slow = 1 })
}

func (s *troubles) dropHistory(Disruption) {
	s.store.dropHistory()
	s.during(&s.oracle.storeTrouble, 0, func() {})
}

func (s *troubles) crashTargets(t Disruption) {
	for _, x := range s.chooseTargets(t) {
		x.crash()
	}
}

// releaseTargets replaces targets in turn: the new one starts first.
func (s *troubles) releaseTargets(t Disruption) {
	for i, x := range s.chooseTargets(t) {
		s.timeline.after(time.Duration(i)*t.Interval.D(), func() {
			if x.up {
				s.newTarget(x.service, x.end.domain)
				x.drain()
			}
		})
	}
}

func (s *troubles) newTarget(service *Service, domain int) {
	s.targets.add(service, domain, netip.AddrPort{}).announce()
}

func (s *troubles) drainTargets(t Disruption) {
	for _, x := range s.chooseTargets(t) {
		x.drain()
	}
}

func (s *troubles) addTargets(t Disruption) {
	service := s.site.service(cmp.Or(t.Scope, s.site.Services[0].Name))
	for i := range t.Count {
		s.newTarget(service, i%len(s.site.Domains))
	}
}

// reuseAddresses has targets crash, and gives their addresses to another service.
func (s *troubles) reuseAddresses(t Disruption) {
	for _, x := range s.chooseTargets(t) {
		x.crash()
		s.timeline.after(s.site.Bounds.ReuseDelay.D(), func() {
			i := slices.IndexFunc(s.site.Services, func(o Service) bool { return o.Name == x.service.Name })
			other := &s.site.Services[(i+1)%len(s.site.Services)]
			s.targets.add(other, x.end.domain, x.address).announce()
		})
	}
}

func (s *troubles) slowTargets(t Disruption) {
	for _, x := range s.chooseTargets(t) {
		x.slow = t.Magnitude
		s.during(&x.trouble, t.For.D(), func() { x.slow = 0 })
	}
}

func (s *troubles) greyTargets(t Disruption) {
	for _, x := range s.chooseTargets(t) {
		x.grey = grey{rate: t.Magnitude, how: t.Variant}
		s.during(&x.trouble, t.For.D(), func() { x.grey = grey{} })
	}
}

func (s *troubles) flapTargets(t Disruption) {
	till := s.timeline.now() + t.For.D()
	for _, x := range s.chooseTargets(t) {
		s.during(&x.trouble, t.For.D(), func() { x.restart() })
		s.timeline.every(t.Interval.D(), func() bool {
			if s.timeline.now() >= till {
				return false
			}
			if x.up {
				x.halt()
			} else {
				x.restart()
			}
			return true
		})
	}
}

func (s *troubles) cutTargets(t Disruption) {
	for _, x := range s.chooseTargets(t) {
		x.end.cut = true
		s.during(&x.trouble, t.For.D(), func() { x.end.cut = false })
	}
}

func (s *troubles) burst(t Disruption) {
	i := s.rng.IntN(len(s.site.Kinds))
	if t.Scope != "" {
		i = max(slices.IndexFunc(s.site.Kinds, func(k Kind) bool { return k.Name == t.Scope }), 0)
	}
	k := &s.site.Kinds[i]
	s.callers.factors[k] = t.Magnitude
	s.timeline.after(t.For.D(), func() { delete(s.callers.factors, k) })
}

func (s *troubles) changeConfig(t Disruption) { s.operator.change(t.Variant) }

func (s *troubles) stormConfig(t Disruption) {
	till := s.timeline.now() + t.For.D()
	s.timeline.every(t.Interval.D(), func() bool {
		s.operator.change(t.Variant)
		return s.timeline.now() < till
	})
}

func (s *troubles) growConfig(t Disruption) { s.operator.grow(t.Count) }
