package table

import "github.com/gypsumspan/gypsumspan/decide/message"

// index finds the place of a target by its id: an open-addressing hash table
// with linear probing (Knuth, The Art of Computer Programming, vol. 3, section
// 6.4, algorithms L and R). An entry has 8 bytes; a Go map with full ids needs
// more than three times as much at 160,000 targets.
//
// An entry holds the upper 28 bits of the id, the number of the service (18
// bits, from 1) and the target's position in it (18 bits). 0 is an empty slot.
type index struct {
	slots []uint64
	count int
}

const (
	placeBits  = 18
	placeMask  = 1<<placeBits - 1
	printShift = 2 * placeBits // also the number of id bits that an entry leaves out
	// maxServices is the number of services that an entry can number.
	maxServices = placeMask
	minSlots    = 64
)

func entryOf(id message.TargetID, number uint32, position int) uint64 {
	return uint64(id)>>printShift<<printShift | uint64(number)<<placeBits | uint64(position)
}

func samePrint(entry uint64, id message.TargetID) bool {
	return entry>>printShift == uint64(id)>>printShift
}

func placeOf(entry uint64) (number uint32, position int) {
	return uint32(entry >> placeBits & placeMask), int(entry & placeMask)
}

func (x *index) mask() uint64 {
	return uint64(len(x.slots) - 1)
}

// home returns the first slot of the probe sequence.
func (x *index) home(entry uint64) uint64 {
	return entry >> printShift & x.mask()
}

func (x *index) add(entry uint64) {
	if (x.count+1)*4 > len(x.slots)*3 {
		x.grow()
	}
	x.count++
	x.place(entry)
}

func (x *index) place(entry uint64) {
	i := x.home(entry)
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
			x.place(entry)
		}
	}
}

// remove deletes an entry and moves later entries of the run into the gap.
func (x *index) remove(entry uint64) {
	if len(x.slots) == 0 {
		return
	}
	gap := x.home(entry)
	for x.slots[gap] != entry {
		if x.slots[gap] == 0 {
			return
		}
		gap = (gap + 1) & x.mask()
	}
	x.count--
	for i := (gap + 1) & x.mask(); x.slots[i] != 0; i = (i + 1) & x.mask() {
		distance := (i - x.home(x.slots[i])) & x.mask()
		if distance >= (i-gap)&x.mask() {
			x.slots[gap] = x.slots[i]
			gap = i
		}
	}
	x.slots[gap] = 0
}
