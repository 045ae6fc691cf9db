package day

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
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
)

// store is the service "store": the platform's store as its callers see it.
type store struct {
	part
	timeline *timeline
	site     *Site
	end      end

	items    map[string]relay.Item
	history  []relay.Item // by revision
	from     int64        // history begins after this revision
	revision int64
	waiting  []func() // watches, run at the next write

	down  bool
	slow  float64 // factor of the time of an answer
	calls int
}

func newStore(site *Site) *store {
	return &store{part: part{storeName}, site: site, end: end{store: true}, items: make(map[string]relay.Item), slow: 1}
}

// Connect implements kernel.Service.
func (s *store) Connect(k *kernel.Kernel) error { return connect(k, &s.timeline) }

// put writes a change of the catalog. The operator and targets are not subject to
// the troubles of VMs; while the store is down they write nothing.
func (s *store) put(c catalog.Change) (ok bool) {
	if s.down {
		return false
	}
	switch {
	case c.Configuration != nil:
		s.write(relay.Item{Key: configKey, Value: mustEncode(c.Configuration)})
	case c.Target != nil:
		s.write(relay.Item{Key: targetPrefix + c.Target.ID, Value: mustEncode(c.Target)})
	default:
		s.write(relay.Item{Key: targetPrefix + c.RemovedTarget, Deleted: true})
	}
	return true
}

// mustEncode encodes a value of the emulator, which always can be encoded.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *store) write(item relay.Item) {
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	waiting := s.waiting
	s.waiting = nil
	for _, wake := range waiting {
		wake()
	}
}

// dropHistory makes watches from before now impossible.
func (s *store) dropHistory() {
	s.history, s.from = nil, s.revision
}

// all returns every item, by revision.
func (s *store) all() []relay.Item {
	items := make([]relay.Item, 0, len(s.items))
	for _, item := range s.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b relay.Item) int { return int(a.Revision - b.Revision) })
	return items
}

// since returns what was written after a revision; ok is false when the history
// does not go back so far.
func (s *store) since(revision int64) (items []relay.Item, ok bool) {
	if revision < s.from {
		return nil, false
	}
	return slices.Clone(s.history[revision-s.from:]), true
}

// answerTime returns the time of one call.
func (s *store) answerTime() time.Duration {
	return time.Duration(float64(s.site.Delays.Store) * s.slow)
}

// decoder decodes the store's values; see services/relay.Decoder.
type decoder struct{}

// Decode implements the interface.
func (decoder) Decode(key string, value []byte, deleted bool, revision int64) (catalog.Change, bool, error) {
	c := catalog.Change{Revision: revision}
	id, isTarget := strings.CutPrefix(key, targetPrefix)
	switch {
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
