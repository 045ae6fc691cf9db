package vm

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// newCostVM returns a VM in a failure domain of n VMs that owns some of the targets, and
// all VMs. Time does not advance, so that no neighbour is suspected.
func newCostVM(t *testing.T, n, targets int) (*VM, []message.Member) {
	is := is.New(t)
	var all []message.Member
	for i := range n {
		name := fmt.Sprintf("vm%d", i)
		all = append(all, message.Member{
			ID: message.VMIDOf(name), Name: name, Domain: message.DomainIDOf("d"),
			Control: callerAddr, Data: callerAddr, Incarnation: 1, State: message.MemberAlive,
		})
	}
	v := New(Config{Self: all[0], Seed: 1, ExpectPeers: true}, 0)
	v.Receive(0, message.Message{From: message.VMAddress(all[1].ID, callerAddr), Body: &message.Members{All: all}})
	s := &table.Service{Name: "a", Address: "a", Kinds: []table.Kind{{Name: "k", Urgency: table.Normal, Share: 1}}}
	for i := range targets {
		s.Targets = append(s.Targets, table.Target{
			Name: fmt.Sprintf("t%d", i), Domain: "d", Addr: targetAddrs[0], Weight: 1, Limit: 1, State: table.Active,
		})
	}
	entries, err := table.EncodeService(s, 1)
	is.NoErr(err)
	for i := range entries {
		entries[i].Revision = 1
	}
	v.Receive(0, platformMessage(&message.TableDelta{Entries: entries}))
	v.Tick(0)
	is.True(len(v.sortedTargets) > 0)
	return v, all
}

// Guards against ticks that compute the owner of each owned target anew among all VMs of
// the failure domain, which took 6% of a core at 1,875 VMs.
func TestQuietTicksComputeNoOwners(t *testing.T) {
	is := is.New(t)
	v, _ := newCostVM(t, 50, 200)
	v.started = -time.Minute // longer ago than ownership.JoinWait
	v.Tick(0)
	before := v.owners.HashCount()
	for range 100 {
		v.Tick(0)
	}
	is.Equal(v.owners.HashCount(), before)
}

// Guards against searches that decode the whole table after each membership change and
// every 10 s, and against lists by domain that miss a change of the rows.
func TestTargetsByDomainFollowsTheTable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	own := message.DomainIDOf("d")
	ids := []message.TargetID{message.TargetIDOf("a", "t"), message.TargetIDOf("b", "t")}
	is.Equal(sortedIDs(h.targetsByDomain[own]), sortedIDs(ids))
	rows := []table.Target{{ID: ids[0], DomainID: own}, {ID: 7, DomainID: own}}
	moved := []table.Target{{ID: ids[0], DomainID: 5}, {ID: 8, DomainID: own}}
	byDomain := make(targetsByDomain)
	byDomain.replaceRows(nil, rows)
	is.Equal(sortedIDs(byDomain[own]), sortedIDs([]message.TargetID{ids[0], 7}))
	byDomain.replaceRows(rows, moved)
	is.Equal(byDomain[own], []message.TargetID{8})
	is.Equal(byDomain[5], []message.TargetID{ids[0]})
	byDomain.replaceRows(moved, nil)
	is.Equal(len(byDomain[own])+len(byDomain[5]), 0)
}

// sortedIDs returns a sorted copy.
func sortedIDs(ids []message.TargetID) []message.TargetID {
	return slices.Sorted(slices.Values(ids))
}

// Guards against a search of all targets when only another failure domain changed, and
// against a missing search when the VM's own domain changed.
func TestSearchFollowsTheOwnDomain(t *testing.T) {
	is := is.New(t)
	v, all := newCostVM(t, 10, 100)
	v.Tick(0)
	gossip := func(domain string, i int) {
		m := message.Member{
			ID: message.VMID(i), Name: fmt.Sprint(i), Domain: message.DomainIDOf(domain),
			Control: callerAddr, Data: callerAddr, Incarnation: 1, State: message.MemberAlive,
		}
		v.Receive(0, message.Message{Body: &message.Heartbeat{Self: all[1], Updates: []message.Member{m}}})
	}
	gossip("other", 900)
	is.True(v.nextFullSearch > 0)
	gossip("d", 901)
	is.Equal(v.nextFullSearch, minSearchInterval)
}

// Guards against a search for each batch of membership changes. While a failure domain is
// empty, they took up to 38% of a core at the design size of 15,000 VMs and 160,000 targets.
func TestSearchesOfABurstAreBounded(t *testing.T) {
	is := is.New(t)
	v, all := newCostVM(t, 50, 100)
	searches := 0
	for i := range 20 { // one leave every 10 ms for 200 ms
		now := time.Second + time.Duration(i)*10*time.Millisecond
		leaving := all[20+i]
		leaving.State = message.MemberLeaving
		v.Receive(now, message.Message{Body: &message.Heartbeat{Self: all[1], Updates: []message.Member{leaving}}})
		v.Tick(now)
		if v.lastFullSearch == now {
			searches++
		}
	}
	is.Equal(searches, 2)
	is.True(v.nextFullSearch <= time.Second+200*time.Millisecond)
}

// Guards against an answer to a pull that contains a whole large table, and against one
// that ends within a revision, after which the receiver would never request the remaining
// entries of it.
func TestAnswersToPullsAreBounded(t *testing.T) {
	is := is.New(t)
	v, all := newCostVM(t, 2, 20)
	big := &table.Service{Address: "a", Kinds: []table.Kind{{Name: "k", Urgency: table.Normal, Share: 1}}}
	padding := strings.Repeat("x", 50)
	for i := range 1_000 {
		big.Targets = append(big.Targets, table.Target{
			Name: fmt.Sprintf("t%d%s", i, padding), Domain: "d", Addr: targetAddrs[0], Weight: 1, Limit: 1, State: table.Active,
		})
	}
	const services, shards = 26, 4
	for n := range services {
		big.Name = fmt.Sprintf("big%d", n)
		entries, err := table.EncodeService(big, shards)
		is.NoErr(err)
		for i := range entries {
			entries[i].Revision = int64(2 + n)
		}
		v.Receive(0, platformMessage(&message.TableDelta{Entries: entries}))
	}
	other := table.NewReplica()
	pulls := 0
	for other.Version() < v.TableVersion() {
		pulls++
		from := message.VMAddress(all[1].ID, callerAddr)
		out := v.Receive(0, message.Message{From: from, Body: &message.TablePull{Since: int64(other.Version())}})
		is.True(len(out) > 0 && len(out) <= maxPullAnswerBytes/deltaBytes+shards+1)
		for _, m := range out {
			other.Merge(m.Body.(*message.TableDelta).Entries)
		}
	}
	is.True(pulls > 1)
	is.Equal(other.Hash(), v.replica.Hash())
}
