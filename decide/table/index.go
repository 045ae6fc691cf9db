package table

import "github.com/gypsumspan/gypsumspan/decide/message"

// index maps target ids to locations. It is an open-addressing hash table with
// linear probing (Knuth, The Art of Computer Programming, vol. 3, section 6.4,
// algorithms L and R). An entry takes 8 bytes; a Go map with full ids needs more than
// three times the memory at 160,000 targets.
//
// An entry holds a fingerprint, the upper 28 bits of the id, and the location: the
// number of the service (18 bits, from 1) and the position of the target in the
// service (18 bits, enough for MaxShards times MaxShardRows). 0 is an empty slot.
type index struct {
	slots []uint64 // a power of two of them, at most 3/4 in use
	count int      // entries
}

const (
	locationBits     = 18
	locationMask     = 1<<locationBits - 1
	fingerprintShift = 2 * locationBits // also the number of id bits that an entry omits
	// maxServices is the largest service number that fits into an entry.
	maxServices = locationMask
	minSlots    = 64
)

func entryOf(id message.TargetID, number uint32, position int) uint64 {
	return uint64(id)>>fingerprintShift<<fingerprintShift | uint64(number)<<locationBits | uint64(position)
}

func sameFingerprint(entry uint64, id message.TargetID) bool {
	return entry>>fingerprintShift == uint64(id)>>fingerprintShift
}

func locationOf(entry uint64) (number uint32, position int) {
	return uint32(entry >> locationBits & locationMask), int(entry & locationMask)
}

func (x *index) mask() uint64 {
	return uint64(len(x.slots) - 1)
}

// homeSlot returns the first slot of the probe sequence of an entry or an id. Only the
// fingerprint, which both have in the same bits, determines it.
func (x *index) homeSlot(entry uint64) uint64 {
	return entry >> fingerprintShift & x.mask()
}

func (x *index) add(entry uint64) {
	if (x.count+1)*4 > len(x.slots)*3 {
		x.grow()
	}
	x.count++
	x.insert(entry)
}

func (x *index) insert(entry uint64) {
	i := x.homeSlot(entry)
	for x.slots[i] != 0 {
		i = (i + 1) & x.mask()
	}
	x.slots[i] = entry
}

func (x *index) grow() {
	old := x.slots
	x.slots = make([]uint64, max(minSlots, 2*len(old)))
	for _, entry := range old {
		if entry != 0 {
			x.insert(entry)
		}
	}
}

// remove deletes an entry and moves later entries of the probe sequence into the gap.
func (x *index) remove(entry uint64) {
	if len(x.slots) == 0 {
		return
	}
	gap := x.homeSlot(entry)
	for x.slots[gap] != entry {
		if x.slots[gap] == 0 {
			return
		}
		gap = (gap + 1) & x.mask()
	}
	x.count--
	for i := (gap + 1) & x.mask(); x.slots[i] != 0; i = (i + 1) & x.mask() {
		distance := (i - x.homeSlot(x.slots[i])) & x.mask()
		if distance >= (i-gap)&x.mask() {
			x.slots[gap] = x.slots[i]
			gap = i
		}
	}
	x.slots[gap] = 0
}
