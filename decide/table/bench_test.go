package table

import (
	"fmt"
	"testing"
)

// BenchmarkTarget measures the lookup of a target. It must not allocate while the
// services are expanded, and its cost must not grow with the table.
func BenchmarkTarget(b *testing.B) {
	for _, c := range []struct{ services, targets int }{{1, 18}, {18, 10_000}} {
		b.Run(fmt.Sprint(c.targets), func(b *testing.B) {
			r := newFilledReplica(b, c.services, c.targets)
			s := r.Table().Service(makeService("service-00000", "", 0).ID)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Table().Target(s.Targets[i%18].ID)
			}
		})
	}
}

// BenchmarkExpand measures the expansion of an evicted service.
func BenchmarkExpand(b *testing.B) {
	p := newPool()
	s := makeService("service", "target", 9)
	compact := &packed{name: s.Name, kinds: s.Kinds, shards: []string{p.pack(s.Targets)}, pool: p}
	b.ReportAllocs()
	for b.Loop() {
		compact.expand()
	}
}

// BenchmarkMerge measures a change of one target, for several sizes of its service.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{9, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := makeService("service", "target", n)
			count, err := ShardCount(s.Targets, 0)
			if err != nil {
				b.Fatal(err)
			}
			r := NewReplica()
			r.Merge(entriesOf(b, s, count, 1))
			s.Targets[0].Weight++
			changed := entriesOf(b, s, count, 1)[1+ShardOf(s.Targets[0].Name, count):][:1]
			for b.Loop() {
				changed[0].Revision++
				r.Merge(changed)
			}
		})
	}
}
