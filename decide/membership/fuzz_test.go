package membership

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// setRapidDefaults sets a fixed seed, so that runs are repeatable, and enough steps for
// members to die and be removed. Flags on the command line take precedence.
func setRapidDefaults(t *testing.T) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.steps": "120", "rapid.checks": "400"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// viewFuzzer drives a view with random input and compares its incrementally updated
// state with values computed from its records.
type viewFuzzer struct {
	v              *View
	now            time.Duration
	version        uint64
	live           map[message.VMID]message.Member
	incarnations   map[message.VMID]uint64
	ownIncarnation uint64
}

func newViewFuzzer() *viewFuzzer {
	f := &viewFuzzer{v: newView(5), incarnations: make(map[message.VMID]uint64)}
	f.saveLive()
	return f
}

func (f *viewFuzzer) saveLive() {
	f.version = f.v.Version()
	f.live = make(map[message.VMID]message.Member)
	for _, m := range f.v.Live() {
		m.Incarnation = 0
		m.State = 0
		f.live[m.ID] = m
	}
}

func drawMember(t *rapid.T) message.Member {
	m := memberWith(rapid.IntRange(0, 7).Draw(t, "vm"), rapid.Uint64Range(0, 3).Draw(t, "plus"),
		message.MemberState(rapid.IntRange(0, 5).Draw(t, "state")))
	switch rapid.IntRange(0, 9).Draw(t, "form") {
	case 0, 1, 2:
		return short(m)
	case 3:
		m.Control = simMember(100, 3).Control
	case 4:
		m.Domain = message.DomainIDOf("domain-7")
	}
	return m
}

func (f *viewFuzzer) actions() map[string]func(*rapid.T) {
	members := rapid.Custom(drawMember)
	some := rapid.SliceOfN(members, 0, 3)
	return map[string]func(*rapid.T){
		"heartbeat": func(t *rapid.T) {
			f.receive(&message.Heartbeat{Self: members.Draw(t, "self"), Updates: some.Draw(t, "updates")})
		},
		"ack": func(t *rapid.T) {
			f.receive(&message.HeartbeatAck{Self: members.Draw(t, "self"), Updates: some.Draw(t, "updates")})
		},
		"members": func(t *rapid.T) { f.receive(&message.Members{All: some.Draw(t, "all")}) },
		"list":    func(t *rapid.T) { f.receive(&message.VMList{Members: some.Draw(t, "all")}) },
		"domain pull": func(t *rapid.T) {
			buckets := rapid.SliceOfN(rapid.Uint32Range(0, 1), 0, 3).Draw(t, "buckets")
			f.receive(&message.DomainPull{Domain: simMember(1, 3).Domain, Buckets: buckets})
		},
		"domain members": func(t *rapid.T) {
			f.receive(&message.DomainMembers{
				Domain: simMember(1, 3).Domain, Buckets: rapid.Uint32Range(0, 2).Draw(t, "buckets"),
				Differing: rapid.SliceOfN(rapid.Uint32Range(0, 1), 0, 2).Draw(t, "differing"),
				Listed:    rapid.Uint32Range(0, 3).Draw(t, "listed"), Members: some.Draw(t, "members"),
			})
		},
		"pull": func(t *rapid.T) { f.receive(&message.MembersPull{}) },
		"leave": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
				f.v.Leave(f.now)
			}
		},
		"tick": func(t *rapid.T) {
			steps := []time.Duration{10 * ms, 100 * ms, 600 * ms, 1400 * ms, 2 * time.Second, 2 * time.Hour}
			f.now += rapid.SampledFrom(steps).Draw(t, "step")
			f.v.Tick(f.now)
		},
		"": f.check,
	}
}

func (f *viewFuzzer) receive(body message.Body) {
	f.v.Receive(f.now, message.Message{Body: body})
}

func (f *viewFuzzer) check(t *rapid.T) {
	f.checkCounts(t)
	f.checkLists(t)
	f.checkVersion(t)
	f.checkIncarnations(t)
}

func (f *viewFuzzer) checkCounts(t *rapid.T) {
	reachableCount, leavingCount, otherCount, candidates := 0, 0, 0, 0
	for _, r := range f.v.order {
		s := r.member.State
		if isReachable(s) && r != f.v.self {
			reachableCount++
		}
		if s == message.MemberLeaving {
			leavingCount++
		}
		otherCount += f.v.countsAsOther(r)
		if f.v.isCandidate(r) != (r.candidate >= 0) {
			t.Fatalf("%s in state %d has candidate index %d", r.member.Name, s, r.candidate)
		}
		if r.candidate >= 0 {
			candidates++
		}
	}
	if reachableCount != f.v.reachableCount || leavingCount != f.v.leavingCount || otherCount != f.v.otherCount || candidates != len(f.v.candidates) {
		t.Fatalf("counts differ: %d %d %d %d", reachableCount, leavingCount, otherCount, candidates)
	}
	if len(f.v.order) != len(f.v.records) {
		t.Fatalf("%d ordered and %d indexed records", len(f.v.order), len(f.v.records))
	}
}

func (f *viewFuzzer) checkLists(t *rapid.T) {
	live, reach := f.v.Live(), f.v.Reachable()
	i, k := 0, 0
	var last message.VMID
	for _, r := range f.v.order {
		if r.member.ID <= last && last != 0 {
			t.Fatal("records are not in order of ids")
		}
		last = r.member.ID
		if isLive(r.member.State) {
			if i >= len(live) || live[i] != r.member {
				t.Fatalf("live list differs at %d", i)
			}
			i++
		}
		if isReachable(r.member.State) {
			if k >= len(reach) || reach[k] != r.member {
				t.Fatalf("list of reachable members differs at %d", k)
			}
			k++
		}
	}
	inDomains := 0
	for id, d := range f.v.domains {
		members := f.v.InDomain(id)
		inDomains += len(members)
		suspects, diedWithDomain, digest := 0, 0, uint64(0)
		for _, r := range f.v.order {
			if r.member.Domain != id {
				continue
			}
			if r.diedWithDomain {
				diedWithDomain++
			}
			if r.member.State == message.MemberSuspect {
				suspects++
			}
			if isLive(r.member.State) {
				digest += memberDigest(&r.member)
			}
		}
		if suspects != d.suspects || diedWithDomain != d.diedWithDomain || digest != d.digest {
			t.Fatalf("domain counts differ: %d %d", suspects, diedWithDomain)
		}
		if len(members) != d.liveCount {
			t.Fatalf("%d members in domain, counted %d", len(members), d.liveCount)
		}
		for _, m := range members {
			if f.v.records[m.ID].member != m {
				t.Fatalf("domain list has an old record of %s", m.Name)
			}
		}
	}
	if i != len(live) || k != len(reach) || inDomains != i {
		t.Fatalf("lists have %d, %d and %d members, want %d and %d", len(live), len(reach), inDomains, i, k)
	}
}

// checkVersion compares the live set with that of the last version.
func (f *viewFuzzer) checkVersion(t *rapid.T) {
	old, version := f.live, f.version
	f.saveLive()
	same := len(old) == len(f.live)
	for id, m := range f.live {
		same = same && old[id] == m
	}
	if !same && version == f.version {
		t.Fatal("the live set changed without a new version")
	}
}

func (f *viewFuzzer) checkIncarnations(t *rapid.T) {
	self := f.v.Self()
	if self.State != message.MemberAlive && self.State != message.MemberLeaving {
		t.Fatalf("this VM's own record has state %d", self.State)
	}
	if self.Incarnation < f.ownIncarnation {
		t.Fatal("this VM's own incarnation decreased")
	}
	f.ownIncarnation = self.Incarnation
	for id, r := range f.v.records {
		if r.member.Incarnation < f.incarnations[id] {
			t.Fatalf("incarnation of %s decreased", r.member.Name)
		}
		f.incarnations[id] = r.member.Incarnation
	}
	for id := range f.incarnations {
		if _, known := f.v.records[id]; !known {
			delete(f.incarnations, id) // removed after DeadRetention
		}
	}
}

// Guards against counters and cached lists that differ from the records, and against
// versions, states and incarnations that change in ways they must not.
func TestViewInvariants(t *testing.T) {
	setRapidDefaults(t)
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newViewFuzzer().actions())
	})
}
