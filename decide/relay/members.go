package relay

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Member is a VM as described by its entry in the store.
type Member struct {
	Name          string
	Domain        string
	HeartbeatAddr netip.AddrPort // UDP
	PullAddr      netip.AddrPort // TCP
}

// Key returns the key of the member's store entry.
func (m Member) Key(prefix string) string { return prefix + m.Domain + "/" + m.Name }

// Value returns the value of the member's store entry: the heartbeat address and the
// pull address, separated by a space.
func (m Member) Value() []byte { return []byte(m.HeartbeatAddr.String() + " " + m.PullAddr.String()) }

// parseMember parses the store entry of a member. ok is false if item is not one.
func parseMember(prefix string, item Item) (m Member, ok bool) {
	path, ok := strings.CutPrefix(item.Key, prefix)
	if !ok {
		return Member{}, false
	}
	m.Domain, m.Name, ok = strings.Cut(path, "/")
	heartbeatAddr, pullAddr, hasBoth := strings.Cut(string(item.Value), " ")
	var errHeartbeat, errPull error
	m.HeartbeatAddr, errHeartbeat = netip.ParseAddrPort(heartbeatAddr)
	m.PullAddr, errPull = netip.ParseAddrPort(pullAddr)
	return m, ok && hasBoth && errHeartbeat == nil && errPull == nil
}

// peer is the state that a machine keeps of another VM.
type peer struct {
	Member
	key             string
	score           uint64            // rendezvous score; the highest live one in a domain is its relay
	revision        revision.Revision // of its store entry
	lastHeardAt     time.Duration     // time of its last heartbeat, valid if everHeard
	everHeard       bool
	unansweredSince time.Duration // time of the first unanswered poll, valid if awaitingReply
	awaitingReply   bool
	nextPoll        time.Duration
	reportedLoads   []Load // of its last poll
	samples         []Sample
	withoutEra      bool // its build knows no eras
}

// scoreOf returns the rendezvous score by which a VM is ranked in its domain.
func scoreOf(domain, name string) uint64 {
	return rendezvous.Mix(xxhash.Sum64String(domain), xxhash.Sum64String(name))
}

// dead reports whether the peer has left polls unanswered for at least timeout.
func (p *peer) dead(now, timeout time.Duration) bool {
	return p.awaitingReply && now-p.unansweredSince >= timeout
}

// members indexes the known VMs. The list of a domain is sorted by descending score.
type members struct {
	byKey    map[string]*peer
	byDomain map[string][]*peer
}

func newMembers() members {
	return members{byKey: make(map[string]*peer), byDomain: make(map[string][]*peer)}
}

func (ms *members) put(m Member, key string, revision revision.Revision) {
	if p := ms.byKey[key]; p != nil {
		if p.Member != m {
			// The VM was replaced: state of the old one does not apply.
			*p = peer{Member: m, key: key, score: p.score, revision: revision}
		}
		p.revision = revision
		return
	}
	p := &peer{Member: m, key: key, score: scoreOf(m.Domain, m.Name), revision: revision}
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

// domains returns the known domains, sorted by name.
func (ms *members) domains() []string {
	list := make([]string, 0, len(ms.byDomain))
	for domain := range ms.byDomain {
		list = append(list, domain)
	}
	slices.Sort(list)
	return list
}

// relay returns the highest-ranked peer of a domain that is not dead, or nil.
func (ms *members) relay(now, deadAfter time.Duration, domain string) *peer {
	for _, p := range ms.byDomain[domain] {
		if !p.dead(now, deadAfter) {
			return p
		}
	}
	return nil
}
