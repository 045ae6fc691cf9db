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
	disruptorName = "troubles"
	// Variants of config_change and config_storm.
	changeRoute   = "route"
	changeTimeout = "timeout"
	// Variants of target_grey.
	greyErrors = "errors"
	greyHang   = "hang"
	greyReset  = "reset"
	greySlow   = "slow"
	// Variants of store_down.
	outageKeep  = "keep"
	outageLapse = "lapse"
	// slowCycle is the period in which a slow VM runs for a part of the time.
	slowCycle = 50 * time.Millisecond
)

// Disruption is one fault or planned change of a day. Fields that are 0 have the
// defaults of the kind.
type Disruption struct {
	Kind      string   `toml:"kind" json:"kind"`
	At        Duration `toml:"at" json:"at_ns"`
	For       Duration `toml:"for" json:"for_ns,omitempty"`
	Interval  Duration `toml:"gap" json:"gap_ns,omitempty"`    // between steps
	Share     float64  `toml:"share" json:"share,omitempty"`   // of the VMs or targets, 0 to 1
	Count     int      `toml:"count" json:"count,omitempty"`   // of the VMs or targets, instead of share
	Magnitude float64  `toml:"x" json:"x,omitempty"`           // a factor or a probability, by kind
	Variant   string   `toml:"how" json:"how,omitempty"`       // of the kinds that have several
	Domain    string   `toml:"domain" json:"domain,omitempty"` // failure domain; empty: any
	Scope     string   `toml:"of" json:"of,omitempty"`         // service or kind of request; empty: any
}

// disruptionKind describes and implements a kind of disruption.
type disruptionKind struct {
	text     string
	defaults Disruption // for fields that are 0
	run      func(*disruptor, Disruption)
}

// disruptionKinds holds every kind of disruption by name.
var disruptionKinds = map[string]disruptionKind{
	"vm_kill":         {"VMs' processes are killed", Disruption{Share: 0.1}, (*disruptor).killVMs},
	"vm_power_loss":   {"VMs have no power for a time", Disruption{Share: 0.1, For: seconds(3)}, (*disruptor).cutPower},
	"vm_pause":        {"VMs stand still for a time", Disruption{Share: 0.1, For: seconds(3)}, (*disruptor).pauseVMs},
	"vm_slow":         {"VMs run x times slower", Disruption{Share: 0.1, For: seconds(5), Magnitude: 5}, (*disruptor).slowVMs},
	"vm_roll":         {"VMs are stopped and started in turn", Disruption{Share: 1, Interval: seconds(1)}, (*disruptor).rollVMs},
	"vm_replace":      {"VMs go for good, others come", Disruption{Share: 0.1}, (*disruptor).replaceVMs},
	"vm_add":          {"VMs are added", Disruption{Count: 3}, (*disruptor).addVMs},
	"vm_cut":          {"VMs are cut off from VMs, targets and the store", Disruption{Share: 0.1, For: seconds(5)}, (*disruptor).isolateVMs},
	"domain_cut":      {"a failure domain is cut off from the others and the store", Disruption{For: seconds(6)}, (*disruptor).partitionDomain},
	"answer_loss":     {"a part x of the targets' answers to SYNs is lost on the way to the callers", Disruption{For: seconds(5), Magnitude: 0.05}, (*disruptor).loseAnswers},
	"flows_rest":      {"callers of a failure domain or of all open flows, which rest for a time before their first request", Disruption{Count: 50, For: seconds(5)}, (*disruptor).restFlows},
	"packet_loss":     {"a part x of the packets between domains is lost", Disruption{For: seconds(8), Magnitude: 0.03}, (*disruptor).losePackets},
	"store_down":      {"the store does not answer; how: keep, lapse (targets' entries expire meanwhile)", Disruption{For: seconds(8), Variant: outageKeep}, (*disruptor).storeDown},
	"store_refuses":   {"the store answers a share of the VMs no more", Disruption{Share: 0.35, For: seconds(8)}, (*disruptor).storeRefuses},
	"store_slow":      {"the store takes x times as long", Disruption{For: seconds(8), Magnitude: 50}, (*disruptor).storeSlow},
	"history_dropped": {"the store forgets its history", Disruption{}, (*disruptor).dropHistory},
	"store_rewind":    {"the store goes away and returns from a copy x seconds old, without the VMs' keys; operators and targets write again", Disruption{For: seconds(2), Magnitude: 5}, (*disruptor).storeRewind},
	"domain_evacuate": {"the targets of a failure domain are to get nothing new for a time; how: cold (they are cold at the end), warm", Disruption{For: seconds(8), Variant: evacuateCold}, (*disruptor).evacuateDomain},
	"target_crash":    {"targets end without a word", Disruption{Share: 0.15}, (*disruptor).crashTargets},
	"target_release":  {"targets are replaced in turn, as planned", Disruption{Share: 0.5, Interval: seconds(1)}, (*disruptor).releaseTargets},
	"target_leave":    {"targets leave as planned, and serve on for some time beyond the bound", Disruption{Share: 0.15}, (*disruptor).drainTargets},
	"target_add":      {"targets are added", Disruption{Count: 2}, (*disruptor).addTargets},
	"target_reuse":    {"targets crash, and others of another service get their addresses", Disruption{Share: 0.1}, (*disruptor).reuseAddresses},
	"target_slow":     {"targets work x times as long", Disruption{Share: 0.15, For: seconds(8), Magnitude: 4}, (*disruptor).slowTargets},
	"target_grey":     {"targets fail a part x of their requests; how: errors, hang, reset, slow", Disruption{Share: 0.15, For: seconds(8), Magnitude: 0.4, Variant: greyErrors}, (*disruptor).greyTargets},
	"target_flap":     {"targets go down and up by turns", Disruption{Share: 0.15, For: seconds(8), Interval: seconds(1)}, (*disruptor).flapTargets},
	"target_restart":  {"targets of a failure domain end and start again under their ids, together, after a time", Disruption{Share: 1, For: Duration(150 * time.Millisecond)}, (*disruptor).restartTargets},
	"target_cut":      {"targets are cut off from VMs and the store", Disruption{Share: 0.15, For: seconds(5)}, (*disruptor).isolateTargets},
	"burst":           {"x times the requests of a kind come, from one failure domain or all", Disruption{For: seconds(5), Magnitude: 2}, (*disruptor).burst},
	"config_change":   {"the configuration changes; how: route, timeout", Disruption{Variant: changeRoute}, (*disruptor).changeConfig},
	"config_storm":    {"configurations follow each other", Disruption{For: seconds(4), Interval: Duration(200 * time.Millisecond), Variant: changeRoute}, (*disruptor).stormConfig},
	"config_big":      {"count routes are added at once", Disruption{Count: 200}, (*disruptor).growConfig},
}

func seconds(n int) Duration { return Duration(time.Duration(n) * time.Second) }

// DisruptionKinds returns the sorted names of the kinds of disruption, and a function
// that returns the one-line description of a kind.
func DisruptionKinds() (names []string, text func(name string) string) {
	return slices.Sorted(maps.Keys(disruptionKinds)), func(name string) string { return disruptionKinds[name].text }
}

func (d *Disruption) validate(day *Day) (errs []error) {
	add := func(format string, values ...any) {
		errs = append(errs, fmt.Errorf("trouble %q at %s: "+format, append([]any{d.Kind, d.At.D()}, values...)...))
	}
	if _, ok := disruptionKinds[d.Kind]; !ok {
		add("unknown kind")
	}
	if d.At < 0 || d.At > day.Length {
		add("at must be within the day")
	}
	if d.Share < 0 || d.Share > 1 || d.Count < 0 || d.For < 0 || d.Interval < 0 || d.Magnitude < 0 {
		add("share must be 0 to 1; count, for, gap and x must not be negative")
	}
	if d.Domain != "" && !slices.Contains(day.Site.Domains, d.Domain) {
		add("unknown failure domain %q", d.Domain)
	}
	return errs
}

// withDefaults returns d with the defaults of its kind for fields that are 0.
func (d Disruption) withDefaults() Disruption {
	defaults := disruptionKinds[d.Kind].defaults
	d.For = cmp.Or(d.For, defaults.For)
	d.Interval = cmp.Or(d.Interval, defaults.Interval)
	d.Magnitude = cmp.Or(d.Magnitude, defaults.Magnitude)
	d.Variant = cmp.Or(d.Variant, defaults.Variant)
	if d.Count == 0 && d.Share == 0 {
		d.Count, d.Share = defaults.Count, defaults.Share
	}
	return d
}

// disruptor is the service "troubles": it injects disruptions into the other services.
type disruptor struct {
	baseService
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

func newDisruptor(site *Site) *disruptor {
	return &disruptor{baseService: baseService{disruptorName}, site: site}
}

// Connect implements kernel.Service.
func (s *disruptor) Connect(k *kernel.Kernel) error {
	if err := connect(k, &s.timeline, &s.network, &s.store, &s.targets, &s.fleet, &s.callers, &s.operator, &s.oracle); err != nil {
		return err
	}
	s.rng = s.timeline.stream(disruptorName)
	return nil
}

// schedule schedules disruptions; load is the time at which the load starts.
func (s *disruptor) schedule(load time.Duration, list []Disruption) {
	for _, d := range list {
		d = d.withDefaults()
		s.timeline.at(load+d.At.D(), func() { disruptionKinds[d.Kind].run(s, d) })
	}
}

// countOf returns how many of n VMs or targets the disruption affects: at least one if it
// is given as a share.
func (d Disruption) countOf(n int) int {
	if d.Count > 0 {
		return min(d.Count, n)
	}
	return min(max(int(d.Share*float64(n)+0.5), 1), n)
}

// chooseVMs returns a random selection of the running VMs.
func (s *disruptor) chooseVMs(d Disruption) []*vm {
	var list []*vm
	for _, v := range s.fleet.vms {
		if v.up && !v.leaving && (d.Domain == "" || s.site.Domains[v.node.domain] == d.Domain) {
			list = append(list, v)
		}
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:d.countOf(len(list))]
}

// chooseTargets returns a random selection of the targets of a service. It leaves out at
// least one.
func (s *disruptor) chooseTargets(d Disruption) []*target {
	service := d.Scope
	if service == "" {
		service = s.site.Services[s.rng.IntN(len(s.site.Services))].Name
	}
	list := s.targets.runningOf(service)
	if d.Domain != "" {
		list = slices.DeleteFunc(list, func(t *target) bool { return s.site.Domains[t.node.domain] != d.Domain })
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(d.countOf(len(list)), max(len(list)-1, 0))]
}

// disruptFor records a disruption of the given duration in state, and calls end after it.
func (s *disruptor) disruptFor(state *disruptionState, duration time.Duration, end func()) {
	state.begin()
	s.timeline.after(duration, func() {
		state.end(s.timeline.now())
		end()
	})
}

func (s *disruptor) killVMs(d Disruption) {
	for _, v := range s.chooseVMs(d) {
		s.disruptFor(&v.disruption, s.site.Bounds.RestartDelay.D(), func() {})
		v.kill()
		v.restart()
	}
}

func (s *disruptor) cutPower(d Disruption) {
	for _, v := range s.chooseVMs(d) {
		v.kill()
		v.powerOffUntil = s.timeline.now() + d.For.D()
		s.disruptFor(&v.disruption, d.For.D(), v.start)
	}
}

func (s *disruptor) pauseVMs(d Disruption) {
	for _, v := range s.chooseVMs(d) {
		generation := v.generation
		v.setPaused(true)
		s.disruptFor(&v.disruption, d.For.D(), func() {
			if v.generation == generation && v.up {
				v.setPaused(false)
			}
		})
	}
}

func (s *disruptor) slowVMs(d Disruption) {
	runTime := time.Duration(float64(slowCycle) / max(d.Magnitude, 1))
	for _, v := range s.chooseVMs(d) {
		until := s.timeline.now() + d.For.D()
		s.disruptFor(&v.disruption, d.For.D(), func() {})
		s.timeline.every(slowCycle, func() bool {
			if !v.up {
				return s.timeline.now() < until
			}
			v.setPaused(false)
			if s.timeline.now() >= until {
				return false
			}
			s.timeline.after(runTime, func() {
				if v.up {
					v.setPaused(true)
				}
			})
			return true
		})
	}
}

func (s *disruptor) rollVMs(d Disruption) {
	for i, v := range s.chooseVMs(d) {
		s.timeline.after(time.Duration(i)*d.Interval.D(), func() {
			if !v.up || v.leaving {
				return
			}
			s.disruptFor(&v.disruption, shutdownTime+s.site.Bounds.RestartDelay.D(), func() {})
			v.stop(v.restart)
		})
	}
}

func (s *disruptor) replaceVMs(d Disruption) {
	for _, v := range s.chooseVMs(d) {
		v.disruption.begin()
		v.kill()
		v.removed = true
		other := s.fleet.add(v.node.domain)
		s.timeline.after(s.site.Bounds.RestartDelay.D(), other.start)
	}
}

func (s *disruptor) addVMs(d Disruption) {
	for i := range d.Count {
		s.fleet.add(i % len(s.site.Domains)).start()
	}
}

func (s *disruptor) isolateVMs(d Disruption) {
	for _, v := range s.chooseVMs(d) {
		v.node.isolated = true
		s.disruptFor(&v.disruption, d.For.D(), func() { v.node.isolated = false })
	}
}

func (s *disruptor) partitionDomain(d Disruption) {
	domain := s.domainIndex(d)
	if s.network.partitioned[domain] {
		return
	}
	s.network.partitioned[domain] = true
	s.disruptFor(&s.oracle.domainPartitions[domain], d.For.D(), func() { s.network.partitioned[domain] = false })
}

// domainIndex returns the failure domain of a disruption, a random one if it names none.
func (s *disruptor) domainIndex(d Disruption) int {
	if d.Domain != "" {
		return slices.Index(s.site.Domains, d.Domain)
	}
	return s.rng.IntN(len(s.site.Domains))
}

func (s *disruptor) losePackets(d Disruption) {
	s.network.lossRate = d.Magnitude
	s.timeline.after(d.For.D(), func() { s.network.lossRate = 0 })
}

func (s *disruptor) storeDown(d Disruption) {
	s.outage(d.For.D(), func() {
		if d.Variant == outageLapse {
			s.store.expireTargets()
			s.targets.delayEntries()
		}
	})
}

// outage makes the store unavailable for a time, and calls then once it is back. While outages
// overlap, it stays unavailable until the last one ends.
func (s *disruptor) outage(duration time.Duration, then func()) {
	if s.store.outages == 0 {
		s.store.lostAt = s.timeline.now()
	}
	s.store.outages++
	s.store.down = true
	s.store.onReturn = append(s.store.onReturn, then)
	s.disruptFor(&s.oracle.storeDisruption, duration, func() {
		s.store.outages--
		if s.store.outages > 0 {
			return
		}
		s.store.down = false
		for _, then := range s.store.onReturn {
			then()
		}
		s.store.onReturn = nil
	})
}

func (s *disruptor) storeRefuses(d Disruption) {
	chosen := s.chooseVMs(d)
	for _, v := range chosen {
		v.storeRefuses = true
	}
	s.disruptFor(&s.oracle.storeDisruption, d.For.D(), func() {
		for _, v := range chosen {
			v.storeRefuses = false
		}
	})
}

func (s *disruptor) storeSlow(d Disruption) {
	s.store.slowFactor = d.Magnitude
	s.disruptFor(&s.oracle.storeDisruption, d.For.D(), func() { s.store.slowFactor = 1 })
}

func (s *disruptor) dropHistory(Disruption) {
	s.store.compact()
	s.disruptFor(&s.oracle.storeDisruption, 0, func() {})
}

func (s *disruptor) crashTargets(d Disruption) {
	for _, t := range s.chooseTargets(d) {
		t.crash()
	}
}

// releaseTargets replaces targets one after another. Each replacement starts before the
// old target drains.
func (s *disruptor) releaseTargets(d Disruption) {
	for i, t := range s.chooseTargets(d) {
		s.timeline.after(time.Duration(i)*d.Interval.D(), func() {
			if t.up {
				s.newTarget(t.service, t.node.domain)
				t.drain(0)
			}
		})
	}
}

func (s *disruptor) newTarget(service *Service, domain int) {
	s.targets.add(service, domain, netip.AddrPort{}).writeEntry()
}

func (s *disruptor) drainTargets(d Disruption) {
	for _, t := range s.chooseTargets(d) {
		t.drain(d.For.D())
	}
}

func (s *disruptor) addTargets(d Disruption) {
	service := s.site.service(cmp.Or(d.Scope, s.site.Services[0].Name))
	for i := range d.Count {
		s.newTarget(service, i%len(s.site.Domains))
	}
}

// reuseAddresses crashes targets, and starts targets of another service at their
// addresses after the reuse delay.
func (s *disruptor) reuseAddresses(d Disruption) {
	for _, t := range s.chooseTargets(d) {
		t.crash()
		s.timeline.after(s.site.Bounds.ReuseDelay.D(), func() {
			i := slices.IndexFunc(s.site.Services, func(o Service) bool { return o.Name == t.service.Name })
			other := &s.site.Services[(i+1)%len(s.site.Services)]
			s.targets.add(other, t.node.domain, t.address).writeEntry()
		})
	}
}

func (s *disruptor) slowTargets(d Disruption) {
	for _, t := range s.chooseTargets(d) {
		t.slowFactor = d.Magnitude
		s.disruptFor(&t.disruption, d.For.D(), func() { t.slowFactor = 0 })
	}
}

func (s *disruptor) greyTargets(d Disruption) {
	for _, t := range s.chooseTargets(d) {
		t.greyFailure = greyFailure{rate: d.Magnitude, mode: d.Variant}
		s.disruptFor(&t.disruption, d.For.D(), func() { t.greyFailure = greyFailure{} })
	}
}

func (s *disruptor) flapTargets(d Disruption) {
	until := s.timeline.now() + d.For.D()
	for _, t := range s.chooseTargets(d) {
		s.disruptFor(&t.disruption, d.For.D(), func() { t.restart() })
		s.timeline.every(d.Interval.D(), func() bool {
			if s.timeline.now() >= until {
				return false
			}
			if t.up {
				t.stopProcess()
			} else {
				t.restart()
			}
			return true
		})
	}
}

func (s *disruptor) isolateTargets(d Disruption) {
	for _, t := range s.chooseTargets(d) {
		t.node.isolated = true
		s.oracle.targetDied(t)
		s.disruptFor(&t.disruption, d.For.D(), func() {
			t.node.isolated = false
			s.oracle.targetReachable(t)
		})
	}
}

func (s *disruptor) burst(d Disruption) {
	i := s.rng.IntN(len(s.site.Kinds))
	if d.Scope != "" {
		i = max(slices.IndexFunc(s.site.Kinds, func(k Kind) bool { return k.Name == d.Scope }), 0)
	}
	k := &s.site.Kinds[i]
	for domain, name := range s.site.Domains {
		if d.Domain != "" && d.Domain != name {
			continue
		}
		pool := flowPool{k, domain}
		s.callers.rateFactors[pool] = d.Magnitude
		s.timeline.after(d.For.D(), func() { delete(s.callers.rateFactors, pool) })
	}
}

func (s *disruptor) changeConfig(d Disruption) { s.operator.change(d.Variant) }

func (s *disruptor) stormConfig(d Disruption) {
	until := s.timeline.now() + d.For.D()
	s.timeline.every(d.Interval.D(), func() bool {
		s.operator.change(d.Variant)
		return s.timeline.now() < until
	})
}

func (s *disruptor) growConfig(d Disruption) { s.operator.addRoutes(d.Count) }
