package day

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/forward"
	decide "github.com/gypsumspan/gypsumspan/decide/relay"
)

// shareReports gives the VMs of each failure domain each other's reports in place of the
// heartbeats, if Options.KnowledgeAge is set: taken once in each knowledgeAge, and delivered
// half of it later, so that what a VM knows is one knowledgeAge old on average.
func (f *fleet) shareReports() {
	if f.knowledgeAge == 0 {
		return
	}
	f.timeline.every(f.knowledgeAge, func() bool {
		for d := range f.site.Domains {
			f.shareDomainReports(d)
		}
		return true
	})
}

func (f *fleet) shareDomainReports(domain int) {
	own := make(map[*vm][]decide.TargetReport)
	takenAt := f.timeline.now()
	for _, v := range f.vms {
		if v.node.domain == domain && v.up && v.packets != nil {
			v.packets.TryDo(func(now time.Duration, fw *forward.Forwarder) { own[v] = fw.Reports(now) })
		}
	}
	f.timeline.after(f.knowledgeAge/2, func() {
		sums := make(map[uint32]decide.TargetReport)
		for _, v := range f.vms {
			decide.AddReports(sums, own[v])
		}
		for _, v := range f.vms {
			if v.node.domain != domain || !v.up || v.packets == nil {
				continue
			}
			var others []decide.ReceivedReport
			for _, r := range decide.OtherReports(sums, own[v]) {
				others = append(others, decide.ReceivedReport{TargetReport: r, At: takenAt})
			}
			v.packets.TryDo(func(now time.Duration, fw *forward.Forwarder) {
				fw.SetReports(now, others)
			})
		}
	})
}
