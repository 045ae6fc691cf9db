package ownership

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Fixes the seed of package rapid; -rapid.seed on the command line sets another.
var _ = flag.Set("rapid.seed", "1")

// member returns a VM of one of three failure domains.
func member(id int) message.Member {
	return message.Member{ID: message.VMID(id), Domain: message.DomainID(id%3 + 1)}
}

// Guards against a cached owner that differs from a recomputed one after any sequence
// of joins and leaves.
func TestOwnerFollowsMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cached := NewOwners(1)
		live := make(map[int]bool)
		now := EmptyDomainWait
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			// There may be more than maxCatchUpChanges changes between two lookups.
			for range rapid.SampledFrom([]int{1, 3, maxCatchUpChanges}).Draw(t, "burst") {
				id := rapid.IntRange(1, 30).Draw(t, "vm")
				live[id] = !live[id]
				cached.Update(now, members(live))
			}
			now += time.Second
			fresh := NewOwners(1)
			fresh.Update(0, members(live))
			target := message.TargetID(rapid.Uint64Range(1, 20).Draw(t, "target"))
			domain := message.DomainID(rapid.Uint32Range(1, 3).Draw(t, "domain"))
			want, ok := fresh.Owner(0, target, domain)
			if !ok {
				continue
			}
			got, _ := cached.Owner(now, target, domain)
			if got != want {
				t.Fatalf("owner of target %d in failure domain %d is %d, recomputed %d", target, domain, got, want)
			}
		}
	})
}

func members(live map[int]bool) []message.Member {
	var list []message.Member
	for id, ok := range live {
		if ok {
			list = append(list, member(id))
		}
	}
	return list
}

// Guards against two owners of a target on both sides of a short network partition,
// and against targets without an owner after the permanent loss of a failure domain.
func TestEmptyDomainIsTakenOverLate(t *testing.T) {
	is := is.New(t)
	o := NewOwners(1)
	o.Update(0, members(map[int]bool{1: true, 2: true}))
	o.Update(20*time.Second, members(map[int]bool{1: true}))
	_, ok := o.Owner(20*time.Second+EmptyDomainWait-1, 7, member(2).Domain)
	is.True(!ok)
	owner, ok := o.Owner(20*time.Second+EmptyDomainWait, 7, member(2).Domain)
	is.True(ok)
	is.Equal(owner, message.VMID(1))
	o.Update(40*time.Second, members(map[int]bool{1: true, 2: true}))
	owner, ok = o.Owner(40*time.Second, 7, member(2).Domain)
	is.True(ok)
	is.Equal(owner, message.VMID(2))
}

// Guards against a wrong standby: it must become the owner when the owner leaves.
func TestOwnerExcludingIsTheOwnerAfterALoss(t *testing.T) {
	is := is.New(t)
	o := NewOwners(1)
	live := map[int]bool{3: true, 6: true, 9: true, 12: true}
	o.Update(0, members(live))
	domain := member(3).Domain
	for target := message.TargetID(1); target < 50; target++ {
		owner, _ := o.Owner(0, target, domain)
		next, ok := o.OwnerExcluding(target, domain, owner)
		is.True(ok)
		without := NewOwners(1)
		rest := map[int]bool{3: true, 6: true, 9: true, 12: true}
		rest[int(owner)] = false
		without.Update(0, members(rest))
		want, _ := without.Owner(0, target, domain)
		is.Equal(next, want)
	}
}

// Guards against a result of HasOtherCandidate that contradicts OwnerExcluding.
func TestHasOtherCandidateAgreesWithOwnerExcluding(t *testing.T) {
	for _, live := range []map[int]bool{{}, {3: true}, {4: true}, {3: true, 4: true}, {3: true, 6: true}, {4: true, 7: true}} {
		o := NewOwners(1)
		o.Update(0, members(live))
		for _, excluded := range []message.VMID{3, 4, 9} {
			_, want := o.OwnerExcluding(1, member(3).Domain, excluded)
			if got := o.HasOtherCandidate(member(3).Domain, excluded); got != want {
				t.Errorf("live VMs %v without %d: %v, want %v", live, excluded, got, want)
			}
		}
	}
}

// Guards against a lost failure domain that stalls every VM: each lookup of the owner
// of one of its targets computed a hash for every VM of the fleet. Also guards against
// an uneven distribution of its targets over the other domains.
func TestTargetsOfAnEmptyDomainCostFewHashes(t *testing.T) {
	is := is.New(t)
	live := make(map[int]bool)
	for id := range 300 {
		live[id+1] = member(id+1).Domain != 1
	}
	o := NewOwners(1)
	o.Update(0, members(live))
	const targets = 2_000
	owned := make(map[message.DomainID]int)
	for range 2 {
		before := o.HashCount()
		for target := range message.TargetID(targets) {
			vm, ok := o.Owner(EmptyDomainWait, target+1, 1)
			is.True(ok)
			owned[member(int(vm)).Domain]++
		}
		is.True(o.HashCount()-before <= targets*(2+100))
	}
	is.True(owned[2] > targets*9/10)
	is.True(owned[3] > targets*9/10)
	before := o.HashCount()
	o.Owner(EmptyDomainWait, 1, 1)
	is.Equal(o.HashCount()-before, uint64(2))
}

// Guards against owners that are recomputed after many membership changes in other
// failure domains, such as the loss of one.
func TestChangesOfOtherDomainsCostNoHashes(t *testing.T) {
	is := is.New(t)
	live := map[int]bool{3: true, 6: true, 9: true}
	for id := range 300 {
		live[3*id+4] = true
	}
	o := NewOwners(1)
	o.Update(0, members(live))
	want, _ := o.Owner(0, 7, member(3).Domain)
	before := o.HashCount()
	for id := range 299 {
		live[3*id+4] = false
	}
	is.True(o.Update(0, members(live)))
	got, ok := o.Owner(0, 7, member(3).Domain)
	is.True(ok)
	is.Equal(got, want)
	is.Equal(o.HashCount(), before)
}

// Guards against a cache that grows with the whole table, and against one that evicts
// targets in regular use or of the home domain. After a network partition between
// regions the latter may exceed a generation, and each search would recompute their
// owners.
func TestCacheIsBoundedAndKeepsWhatIsUsed(t *testing.T) {
	is := is.New(t)
	o := NewOwners(1)
	o.Update(0, members(map[int]bool{3: true, 4: true, 6: true, 7: true}))
	lookUp := func(domain message.DomainID, first, n int) (hashes uint64) {
		before := o.HashCount()
		for target := first; target < first+n; target++ {
			o.Owner(0, message.TargetID(target+1), domain)
		}
		return o.HashCount() - before
	}
	const used, near, others = 1_000, 3 * generationSize, 4 * generationSize
	is.Equal(lookUp(1, others, near), uint64(2*near))
	is.Equal(lookUp(2, 0, used), uint64(2*used))
	for first := used; first < others; first += generationSize / 2 {
		lookUp(2, first, generationSize/2)
		is.Equal(lookUp(2, 0, used), uint64(0))
		is.True(o.cache.len() <= near+2*generationSize)
	}
	is.Equal(lookUp(1, others, near), uint64(0))
}

func BenchmarkOwnerCached(b *testing.B) {
	o := NewOwners(1)
	var list []message.Member
	for id := range 1900 {
		list = append(list, message.Member{ID: message.VMID(id + 1), Domain: 1})
	}
	o.Update(0, list)
	b.ReportAllocs()
	for i := range b.N {
		o.Owner(0, message.TargetID(i%1000+1), 1)
	}
}
