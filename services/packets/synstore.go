package packets

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

const (
	// maxKeptSYNs bounds the SYNs that are kept, of about 150 bytes each.
	maxKeptSYNs = 1024
	// maxKeptSYNSize is the size in bytes of the largest SYN that is kept. Callers send no data with it.
	maxKeptSYNSize = 128
	// synRetention is how long a SYN is kept. Another target may have got an earlier one of the flow
	// 600 ms before, and must not get this one once it may have given the flow up.
	synRetention = halfopen.MaxCorrectionAge - 600*time.Millisecond
	// synSweepInterval is the minimum time between two searches for SYNs that are too old.
	synSweepInterval = 100 * time.Millisecond
)

// synStore keeps the last SYNs of flows that have not opened at their target as far as this VM knows,
// or that are contested. The zero value is empty.
type synStore struct {
	syns      map[flow.Key]keptSYN
	free      [][]byte // datagrams to reuse
	nextSweep time.Duration
}

// keptSYN is a datagram with its headroom.
type keptSYN struct {
	datagram []byte
	at       time.Duration
}

// keep keeps a copy of the SYN of a flow. It is not kept if there is no room.
func (s *synStore) keep(now time.Duration, k flow.Key, datagram []byte) {
	if s.syns == nil {
		s.syns = make(map[flow.Key]keptSYN)
	}
	s.drop(k)
	if len(s.syns) >= maxKeptSYNs {
		s.expire(now)
	}
	if len(s.syns) >= maxKeptSYNs || len(datagram) > maxKeptSYNSize {
		return
	}
	var buf []byte
	if n := len(s.free); n > 0 {
		buf, s.free = s.free[n-1], s.free[:n-1]
	}
	s.syns[k] = keptSYN{datagram: append(buf[:0], datagram...), at: now}
}

// get returns the SYN of a flow. The caller may write its headroom and its cookie.
func (s *synStore) get(now time.Duration, k flow.Key) (datagram []byte, ok bool) {
	syn, ok := s.syns[k]
	return syn.datagram, ok && now-syn.at < synRetention
}

// drop removes the SYN of a flow.
func (s *synStore) drop(k flow.Key) {
	if syn, ok := s.syns[k]; ok {
		delete(s.syns, k)
		s.free = append(s.free, syn.datagram)
	}
}

// expire removes the SYNs that are too old.
func (s *synStore) expire(now time.Duration) {
	if now < s.nextSweep {
		return
	}
	s.nextSweep = now + synSweepInterval
	for k, syn := range s.syns {
		if now-syn.at >= synRetention {
			s.drop(k)
		}
	}
}
