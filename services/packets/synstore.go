package packets

import (
	"bytes"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// maxKeptSYNs bounds the SYNs that are kept. Few flows try a second target.
	maxKeptSYNs = 256
	// synRetention is how long a SYN is kept: callers give up an attempt after 1.4 s, and other VMs
	// tell of unopened flows a second after their SYN at the latest.
	synRetention = 3 * time.Second
)

// synStore keeps the last SYNs of flows that may have opened at another target. The zero value is
// empty.
type synStore struct {
	syns map[flow.Key]keptSYN
}

// keptSYN is a datagram with its headroom.
type keptSYN struct {
	datagram []byte
	at       time.Duration
}

// keep keeps a copy of the SYN of a flow. It is dropped if there is no room.
func (s *synStore) keep(now time.Duration, k flow.Key, datagram []byte) {
	if s.syns == nil {
		s.syns = make(map[flow.Key]keptSYN)
	}
	if len(s.syns) >= maxKeptSYNs {
		s.expire(now)
	}
	if len(s.syns) < maxKeptSYNs {
		s.syns[k] = keptSYN{datagram: bytes.Clone(datagram), at: now}
	}
}

// has reports whether the SYN of a flow is kept.
func (s *synStore) has(k flow.Key) bool {
	_, ok := s.syns[k]
	return ok
}

// take removes and returns the SYN of a flow.
func (s *synStore) take(k flow.Key) (datagram []byte, ok bool) {
	syn, ok := s.syns[k]
	delete(s.syns, k)
	return syn.datagram, ok
}

// expire drops the SYNs of flows that have not opened.
func (s *synStore) expire(now time.Duration) {
	for k, syn := range s.syns {
		if now-syn.at >= synRetention {
			delete(s.syns, k)
		}
	}
}
