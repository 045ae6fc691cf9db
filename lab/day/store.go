package day

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	storeName = "store"
	// memberPrefix is the prefix of the entries of VMs.
	memberPrefix = "vms/"
	// configKey is the key of the configuration, and targetPrefix the prefix of the
	// entries of targets.
	configKey    = "config"
	targetPrefix = "targets/"
	// evacuatePrefix is the prefix of the operators' requests to evacuate a failure domain.
	evacuatePrefix = "evacuate/"
)

// store is the service "store": it emulates the platform's store, a revisioned key-value
// store with watches.
type store struct {
	baseService
	timeline *timeline
	site     *Site
	node     node

	items             map[string]relay.Item
	history           []relay.Item      // by revision
	compactedRevision revision.Revision // the history starts after it
	revision          revision.Revision
	log               []loggedWrite // all writes, for rewinds
	watchers          []func()      // callbacks of pending watches, called by the next write

	down       bool
	outages    int           // in progress
	lostAt     time.Duration // start of the first of them
	onReturn   []func()      // called when the last of them ends
	slowFactor float64       // multiplier of the response time
	calls      int
}

func newStore(site *Site) *store {
	return &store{baseService: baseService{storeName}, site: site, node: node{store: true}, items: make(map[string]relay.Item), revision: revision.New(1, 0), compactedRevision: revision.New(1, 0), slowFactor: 1}
}

// Connect implements kernel.Service.
func (s *store) Connect(k *kernel.Kernel) error { return connect(k, &s.timeline) }

// put writes a change of the catalog for the operator or a target. Delays and refusals of
// the store do not affect it; it returns false while the store is down.
func (s *store) put(c catalog.Change) (ok bool) {
	if s.down {
		return false
	}
	switch {
	case c.Configuration != nil:
		s.write(relay.Item{Key: configKey, Value: mustEncode(c.Configuration)})
	case c.Target != nil:
		s.write(relay.Item{Key: targetPrefix + c.Target.ID, Value: mustEncode(c.Target)})
	case c.Evacuation != nil:
		s.write(relay.Item{Key: evacuatePrefix + c.Evacuation.Domain, Value: []byte("{}"), Deleted: !c.Evacuation.Active})
	default:
		s.write(relay.Item{Key: targetPrefix + c.RemovedTarget, Deleted: true})
	}
	return true
}

// mustEncode encodes a value of the emulator as JSON, which can't fail: it panics on errors.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *store) write(item relay.Item) {
	replaced, existed := s.items[item.Key]
	s.log = append(s.log, loggedWrite{at: s.timeline.now(), before: s.revision, key: item.Key, replaced: replaced, existed: existed})
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	watchers := s.watchers
	s.watchers = nil
	for _, wake := range watchers {
		wake()
	}
}

// has reports whether the entry of a target exists.
func (s *store) has(target string) bool {
	_, ok := s.items[targetPrefix+target]
	return ok
}

// hasEvacuation reports whether a request to evacuate a failure domain exists.
func (s *store) hasEvacuation(domain string) bool {
	_, ok := s.items[evacuatePrefix+domain]
	return ok
}

// expireTargets removes the entries of all targets.
func (s *store) expireTargets() {
	for _, item := range s.snapshot() {
		if strings.HasPrefix(item.Key, targetPrefix) {
			s.write(relay.Item{Key: item.Key, Deleted: true})
		}
	}
}

// compact drops the history: watches from revisions before the current one fail.
func (s *store) compact() {
	s.history, s.compactedRevision = nil, s.revision
}

// snapshot returns all items by revision.
func (s *store) snapshot() []relay.Item {
	items := make([]relay.Item, 0, len(s.items))
	for _, item := range s.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b relay.Item) int { return int(a.Revision - b.Revision) })
	return items
}

// changesSince returns the items written after a revision. ok is false if that revision
// was compacted, or is of another era.
func (s *store) changesSince(revision revision.Revision) (items []relay.Item, ok bool) {
	if revision < s.compactedRevision {
		return nil, false
	}
	return slices.Clone(s.history[revision-s.compactedRevision:]), true
}

// responseTime returns the duration of one call.
func (s *store) responseTime() time.Duration {
	return time.Duration(float64(s.site.Delays.Store) * s.slowFactor)
}

// decoder implements relay.Decoder of package services/relay for the emulated store.
type decoder struct{}

// Decode implements relay.Decoder.
func (decoder) Decode(key string, value []byte, deleted bool, revision revision.Revision) (catalog.Change, bool, error) {
	c := catalog.Change{Revision: revision}
	id, isTarget := strings.CutPrefix(key, targetPrefix)
	domain, isEvacuation := strings.CutPrefix(key, evacuatePrefix)
	switch {
	case isEvacuation:
		c.Evacuation = &catalog.Evacuation{Domain: domain, Active: !deleted}
		return c, true, nil
	case isTarget && deleted:
		c.RemovedTarget = id
		return c, true, nil
	case isTarget:
		c.Target = &catalog.Entry{}
		err := json.Unmarshal(value, c.Target)
		return c, err == nil, err
	case key == configKey && !deleted:
		c.Configuration = &catalog.Configuration{}
		err := json.Unmarshal(value, c.Configuration)
		return c, err == nil, err
	}
	return c, false, nil
}
