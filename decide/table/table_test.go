package table

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Fixes the seed of package rapid; -rapid.seed on the command line sets another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// makeService returns a service with n targets whose names start with prefix.
func makeService(name, prefix string, n int) *Service {
	s := &Service{
		ID:      message.ServiceIDOf(name),
		Name:    name,
		Address: "192.0.2.1:7000",
		Kinds:   []Kind{{"check-in", Urgent, 8}, {"map", Bulk, 1}},
	}
	for i := range n {
		addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		t := Target{
			Name: fmt.Sprintf("%s-%06d", prefix, i), Domain: fmt.Sprintf("domain-%d", i%3),
			Addr: netip.AddrPortFrom(addr, 7300), Health: netip.AddrPortFrom(addr, 7301),
			Weight: uint32(1 + i%3), Limit: 3, State: Active,
		}
		t.ID = message.TargetIDOf(name, t.Name)
		t.DomainID = message.DomainIDOf(t.Domain)
		s.Targets = append(s.Targets, t)
	}
	return s
}

// entriesOf returns the service's entries at one revision.
func entriesOf(t interface{ Fatal(...any) }, s *Service, count int, revision int64) []message.TableEntry {
	entries, err := EncodeService(s, count)
	if err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		entries[i].Revision = revision
	}
	return entries
}

// Guards against values that change in encoding, decoding or a replica.
func TestEntriesSurviveAReplica(t *testing.T) {
	is := is.New(t)
	want := makeService("track", "t", 2500)
	want.Targets[7].Addr = netip.MustParseAddrPort("[2001:db8::7]:9")
	want.Targets[8].Health = netip.AddrPort{}
	want.Targets[9].Health = netip.MustParseAddrPort("192.0.2.9:80")
	entries := entriesOf(t, want, 4, 5)
	r := NewReplica()
	changed, rejected := r.Merge(entries)
	is.Equal(len(rejected), 0)
	is.Equal(changed, []message.ServiceID{want.ID})
	is.Equal(r.Table().Service(want.ID), want)
	is.Equal(len(r.LiveKeys()), 5)
	r.Merge([]message.TableEntry{{Key: ShardKey("track", 3), Revision: 6}})
	is.Equal(len(r.LiveKeys()), 4)
	is.Equal(r.Table().Service(want.ID), want)
	entries[4] = message.TableEntry{Key: ShardKey("track", 3), Revision: 6}
	var got []message.TableEntry
	r.Since(0, func(e message.TableEntry) bool { got = append(got, e); return true })
	is.Equal(got, entries)
	for i := range want.Targets {
		target, service := r.Table().Target(want.Targets[i].ID)
		is.Equal(*target, want.Targets[i])
		is.Equal(service.Name, "track")
	}
}

// Guards against a malformed entry that is accepted or replaces a valid one.
func TestMalformedEntriesAreRejected(t *testing.T) {
	const row = `["a","d","10.0.0.1:1","",1,1,"active"]`
	meta, shard := MetaKey("s"), ShardKey("s", 0)
	cases := []struct {
		key, value string
		want       error
	}{
		{"other/s/meta", `{}`, ErrBadKey},
		{Prefix + "s", `{}`, ErrBadKey},
		{Prefix + "s/01", `{}`, ErrBadKey},
		{Prefix + "s/256", `{}`, ErrBadKey},
		{Prefix + "a b/meta", `{}`, ErrBadName},
		{meta, ``, ErrMalformed},
		{meta, `{"v":2,"address":"","shards":1,"kinds":[]}`, ErrMalformed},
		{meta, `{"v":1,"more":1}`, ErrMalformed},
		{meta, `{"v":1,"shards":0,"kinds":[{"name":"k","urgency":"bulk","share":1}]}`, ErrOutOfRange},
		{meta, `{"v":1,"shards":1,"kinds":[]}`, ErrOutOfRange},
		{meta, `{"v":1,"shards":1,"kinds":[{"name":"k","urgency":"soon","share":1}]}`, ErrUnknownValue},
		{meta, `{"v":1,"shards":1,"kinds":[{"name":"k","urgency":"bulk","share":0}]}`, ErrOutOfRange},
		{shard, `{"v":1,"of":0,"targets":[]}`, ErrOutOfRange},
		{shard, `{"v":1,"of":1,"targets":[` + row + `]} x`, ErrMalformed},
		{shard, `{"v":1,"of":1,"targets":[` + row + `,` + row + `]}`, ErrDuplicate},
		{shard, `{"v":1,"of":1,"targets":[` + strings.Replace(row, `1,1,`, `1,`, 1) + `]}`, ErrMalformed},
		{shard, `{"v":1,"of":1,"targets":[` + strings.Replace(row, `1,1,`, `1,1,1,`, 1) + `]}`, ErrMalformed},
		{shard, `{"v":1,"of":1,"targets":[` + strings.Replace(row, `1,1,`, `1,null,`, 1) + `]}`, ErrMalformed},
		{shard, `{"v":1,"of":1,"targets":[null]}`, ErrMalformed},
		{ShardKey("s", 1-ShardOf("a", 2)), `{"v":1,"of":2,"targets":[` + row + `]}`, ErrWrongShard},
		{shard, `{"v":1,"of":1,"targets":[` + strings.Replace(row, `1,1,`, `0,1,`, 1) + `]}`, ErrOutOfRange},
		{shard, `{"v":1,"of":1,"targets":[` + strings.Replace(row, `10.0.0.1:1`, ``, 1) + `]}`, ErrOutOfRange},
		{shard, `{"v":1,"of":1,"targets":[` + strings.Replace(row, `active`, `on`, 1) + `]}`, ErrUnknownValue},
	}
	r := NewReplica()
	r.Merge(entriesOf(t, makeService("s", "t", 3), 1, 1))
	hash := r.Hash()
	for _, c := range cases {
		t.Run(c.key+c.value, func(t *testing.T) {
			is := is.New(t)
			_, rejected := r.Merge([]message.TableEntry{{Key: c.key, Value: []byte(c.value), Revision: 9}})
			is.Equal(len(rejected), 1)
			is.True(errors.Is(rejected[0], c.want))
			is.Equal(r.Hash(), hash)
			is.Equal(r.Version(), uint64(1))
			is.Equal(len(r.Table().Service(message.ServiceIDOf("s")).Targets), 3)
		})
	}
}

// Guards against values that crash the decoder, and against accepted values that
// change when a replica encodes them again.
func TestDamagedEntries(t *testing.T) {
	good := entriesOf(t, makeService("s", "t", 5), 2, 1)
	rapid.Check(t, func(t *rapid.T) {
		e := rapid.SampledFrom(good).Draw(t, "entry")
		e.Value = slices.Clone(e.Value)
		for range rapid.IntRange(1, 3).Draw(t, "damages") {
			e.Value[rapid.IntRange(0, len(e.Value)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		r := NewReplica()
		if _, rejected := r.Merge([]message.TableEntry{e}); len(rejected) > 0 {
			return
		}
		want, _ := DecodeEntry(e)
		r.Since(0, func(again message.TableEntry) bool {
			got, err := DecodeEntry(again)
			is := is.New(t)
			is.NoErr(err)
			is.Equal(got, want)
			return true
		})
	})
}

// Guards against a time without targets while a service is resharded.
func TestOldContentStaysInForceUntilAllShardsAreKnown(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	id := message.ServiceIDOf("s")
	r.Merge(entriesOf(t, makeService("s", "old", 20), 2, 1))
	next := entriesOf(t, makeService("s", "new", 30), 3, 2)
	for i, e := range next {
		is.Equal(len(r.Table().Service(id).Targets), 20)
		changed, _ := r.Merge([]message.TableEntry{e})
		is.Equal(len(changed) == 1, i == len(next)-1)
	}
	is.Equal(len(r.Table().Service(id).Targets), 30)
	less := entriesOf(t, makeService("s", "less", 10), 2, 3)
	for _, e := range slices.Insert(less, 1, message.TableEntry{Key: ShardKey("s", 2), Revision: 3}) {
		is.Equal(len(r.Table().Service(id).Targets), 30)
		r.Merge([]message.TableEntry{e})
	}
	is.Equal(len(r.Table().Service(id).Targets), 10)
	changed, _ := r.Merge([]message.TableEntry{{Key: MetaKey("s"), Revision: 4}})
	is.Equal(changed, []message.ServiceID{id})
	is.True(r.Table().Service(id) == nil)
	target, _ := r.Table().Target(message.TargetIDOf("s", "less-000001"))
	is.True(target == nil)
}

// Guards against a shard count that overflows a shard or changes without need.
func TestShardCount(t *testing.T) {
	is := is.New(t)
	cases := []struct{ targets, current, want int }{
		{0, 0, 1}, {1, 0, 1}, {1000, 0, 1}, {1000, 1, 1}, {1001, 1, 3}, {1001, 3, 3}, {1000, 3, 3}, {1000, 4, 1},
		{10_000, 0, 20}, {18_000, 20, 20}, {21_000, 20, 42}, {10_000, 79, 79}, {10_000, 80, 20},
	}
	for _, c := range cases {
		targets := makeService("s", "t", c.targets).Targets
		count, err := ShardCount(targets, c.current)
		is.NoErr(err)
		is.Equal(count, c.want)
		is.True(fits(targets, count))
	}
	_, err := ShardCount(makeService("s", "t", MaxShards*MaxShardRows).Targets, 0)
	is.True(errors.Is(err, ErrOutOfRange))
}

// drawHistory draws entries of successive revisions of a few services, including
// deletions and resharding.
func drawHistory(t *rapid.T) []message.TableEntry {
	var all []message.TableEntry
	counts := map[string]int{}
	for revision := int64(1); revision <= int64(rapid.IntRange(1, 12).Draw(t, "revisions")); revision++ {
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
		count := rapid.IntRange(0, 3).Draw(t, "shards")
		if count > 0 {
			s := makeService(name, "t", rapid.IntRange(0, 9).Draw(t, "targets"))
			all = append(all, entriesOf(t, s, count, revision)...)
		} else if counts[name] > 0 {
			all = append(all, message.TableEntry{Key: MetaKey(name), Revision: revision})
		}
		for n := count; n < counts[name]; n++ {
			all = append(all, message.TableEntry{Key: ShardKey(name, n), Revision: revision})
		}
		counts[name] = count
	}
	return all
}

// content returns a replica's entries and its services in force.
func content(r *Replica) ([]message.TableEntry, []*Service) {
	var entries []message.TableEntry
	r.Since(0, func(e message.TableEntry) bool { entries = append(entries, e); return true })
	var services []*Service
	r.Table().Services(func(s *Service) bool { services = append(services, s); return true })
	slices.SortFunc(services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return entries, services
}

// Guards against replicas that differ after the same entries, and against a revision
// that decreases.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawHistory(t)
		first, second := NewReplica(), NewReplica()
		first.Merge(all)
		mixed := rapid.Permutation(append(slices.Clone(all), all...)).Draw(t, "order")
		highest := map[string]int64{}
		for len(mixed) > 0 {
			n := rapid.IntRange(1, len(mixed)).Draw(t, "batch")
			second.Merge(mixed[:n])
			mixed = mixed[n:]
			second.Since(0, func(e message.TableEntry) bool {
				if e.Revision < highest[e.Key] {
					t.Fatalf("%s fell from revision %d to %d", e.Key, highest[e.Key], e.Revision)
				}
				highest[e.Key] = e.Revision
				return true
			})
		}
		entries1, services1 := content(first)
		entries2, services2 := content(second)
		is := is.New(t)
		is.Equal(entries1, entries2)
		is.Equal(services1, services2)
		is.Equal(first.Hash(), second.Hash())
		is.Equal(first.Version(), second.Version())
		third := NewReplica()
		third.Merge(entries1)
		is.Equal(third.Hash(), first.Hash())
	})
}

// Guards against an index that loses targets or keeps removed ones when services change,
// in tables below maxExpandedSize, where no service is evicted.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, p := New(), newPool()
		model := map[message.TargetID]string{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "service"))
			s := makeService(name, "t", rapid.IntRange(0, 40).Draw(t, "targets"))
			if old := table.Service(s.ID); old != nil {
				for i := range old.Targets {
					delete(model, old.Targets[i].ID)
				}
			}
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				table.RemoveService(s.ID)
				continue
			case 1:
				table.SetService(s)
			case 2:
				table.setPacked(s.ID, &packed{name: name, kinds: s.Kinds, shards: []string{p.pack(s.Targets)}, pool: p})
			}
			for i := range s.Targets {
				model[s.Targets[i].ID] = name
			}
		}
		if table.targets.count != len(model) {
			t.Fatalf("%d targets, want %d", table.targets.count, len(model))
		}
		for id, name := range model {
			if target, s := table.Target(id); target == nil || target.ID != id || s.Name != name {
				t.Fatalf("target of %s is missing", name)
			}
		}
	})
}

// newFilledReplica returns a replica of services with the given total of targets.
func newFilledReplica(t interface{ Fatal(...any) }, services, targets int) *Replica {
	r := NewReplica()
	for i := range services {
		n := targets*(i+1)/services - targets*i/services
		name := fmt.Sprintf("service-%05d", i)
		r.Merge(entriesOf(t, makeService(name, name+"-target", n), max(1, (n+799)/800), int64(i+1)))
	}
	return r
}

// Guards against a replica that needs more memory than a VM may use for it, also after
// the use of all its services, and against a table below maxExpandedSize that allocates
// when it is read again.
func TestReplicaMemory(t *testing.T) {
	const bound = 20 << 20
	for _, c := range []struct{ services, targets int }{{18, 1800}, {18, 18_000}, {18_000, 160_000}} {
		t.Run(fmt.Sprint(c.targets), func(t *testing.T) {
			is := is.New(t)
			before := liveHeapBytes()
			r := newFilledReplica(t, c.services, c.targets)
			services, targets := r.Table().Len()
			is.Equal(services, c.services)
			is.Equal(targets, c.targets)
			compact := liveHeapBytes() - before
			ids := make([]message.ServiceID, 0, c.services)
			r.Table().Services(func(s *Service) bool { ids = append(ids, s.ID); return true })
			use := func() {
				for _, id := range ids {
					r.Table().Service(id)
				}
			}
			use()
			used := liveHeapBytes() - before
			t.Logf("%d services, %d targets: %.2f MB, with services in use %.2f MB", services, targets, float64(compact)/(1<<20), float64(used)/(1<<20))
			is.True(used <= bound)
			if c.targets+c.services < maxExpandedSize {
				is.Equal(testing.AllocsPerRun(2, use), 0.0)
			}
			runtime.KeepAlive(r)
		})
	}
}

// liveHeapBytes returns the size of the live heap objects.
func liveHeapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
