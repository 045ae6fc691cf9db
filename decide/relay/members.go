package relay

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// Member is a VM as its entry in the store describes it.
type Member struct {
	Name          string
	Domain        string
	HeartbeatAddr netip.AddrPort // UDP, for beats
	PullAddr      netip.AddrPort // TCP, for pulls
}

// Key returns the key of the member's entry.
func (m Member) Key(prefix string) string { return prefix + m.Domain + "/" + m.Name }

// Value returns the value of the member's entry: both addresses.
func (m Member) Value() []byte { return []byte(m.HeartbeatAddr.String() + " " + m.PullAddr.String()) }

// parseMember reads a member from its entry; ok is false for another form.
func parseMember(prefix string, item Item) (m Member, ok bool) {
	path, ok := strings.CutPrefix(item.Key, prefix)
	if !ok {
		return Member{}, false
	}
	m.Domain, m.Name, ok = strings.Cut(path, "/")
	beats, pulls, both := strings.Cut(string(item.Value), " ")
	var errBeats, errPulls error
	m.HeartbeatAddr, errBeats = netip.ParseAddrPort(beats)
	m.PullAddr, errPulls = netip.ParseAddrPort(pulls)
	return m, ok && both && errBeats == nil && errPulls == nil
}

// peer is what a machine knows of another VM.
type peer struct {
	Member
	key      string
	score    uint64        // rank among the relays of its domain, the highest first
	revision int64         // of its entry
	heard    time.Duration // last beat
	everHear bool
	asked    time.Duration // first question without an answer
	waiting  bool          // a question has no answer yet
	nextAsk  time.Duration
	load     []Load // of its own, as its beats say
	samples  []Sample
}

// rankOf returns the place of a VM among the relays of its domain.
func rankOf(domain, name string) uint64 {
	return rendezvous.Mix(xxhash.Sum64String(domain), xxhash.Sum64String(name))
}

// dead reports whether the peer left questions unanswered for longer than after.
func (p *peer) dead(now, after time.Duration) bool {
	return p.waiting && now-p.asked >= after
}

// members are the known VMs by domain, each domain by falling rank.
type members struct {
	byKey    map[string]*peer
	byDomain map[string][]*peer
}

func newMembers() members {
	return members{byKey: make(map[string]*peer), byDomain: make(map[string][]*peer)}
}

func (ms *members) put(m Member, key string, revision int64) {
	if p := ms.byKey[key]; p != nil {
		if p.Member != m {
			// The VM was replaced: what is known of the old one says nothing.
			*p = peer{Member: m, key: key, score: p.score, revision: revision}
		}
		p.revision = revision
		return
	}
	p := &peer{Member: m, key: key, score: rankOf(m.Domain, m.Name), revision: revision}
	ms.byKey[key] = p
	list := append(ms.byDomain[m.Domain], p)
	slices.SortFunc(list, func(a, b *peer) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.key, b.key)
	})
	ms.byDomain[m.Domain] = list
}

func (ms *members) remove(key string) {
	p := ms.byKey[key]
	if p == nil {
		return
	}
	delete(ms.byKey, key)
	list := slices.DeleteFunc(ms.byDomain[p.Domain], func(other *peer) bool { return other == p })
	if len(list) == 0 {
		delete(ms.byDomain, p.Domain)
		return
	}
	ms.byDomain[p.Domain] = list
}

// domains returns the known domains in a fixed order.
func (ms *members) domains() []string {
	list := make([]string, 0, len(ms.byDomain))
	for domain := range ms.byDomain {
		list = append(list, domain)
	}
	slices.Sort(list)
	return list
}

// relay returns the first peer of a domain that is not dead, or nil.
func (ms *members) relay(now, deadAfter time.Duration, domain string) *peer {
	for _, p := range ms.byDomain[domain] {
		if !p.dead(now, deadAfter) {
			return p
		}
	}
	return nil
}
