// Package revision orders the writes of a store that may return from an older copy of its
// data and then gives out the same revision numbers again.
package revision

import "fmt"

// numberBits is the number of bits for the store's own number. 2^47 writes last for 4,000
// years at 1,000 writes per second.
const numberBits = 47

// maxNumber is the largest number of the store that fits a Revision.
const maxNumber = 1<<numberBits - 1

// MaxEra is the largest era that fits a Revision. The store enters a new era with each return
// from an older copy.
const MaxEra = 1<<16 - 1

// Revision identifies one write to the store: the era of the store in the upper bits, and the
// number that the store gave the write in the lower ones. Revisions of the same era are
// ordered by number, and all of a later era come after those of an earlier one. The zero
// value means that there is no write. In era 0, that of a store without eras, a Revision
// equals the store's number.
type Revision int64

// New returns the revision with the given era and number, both limited to the largest values
// that fit.
func New(era uint32, number int64) Revision {
	return Revision(min(era, MaxEra))<<numberBits | Revision(min(max(number, 0), maxNumber))
}

// Era returns the era of the store.
func (r Revision) Era() uint32 { return uint32(r >> numberBits) }

// Number returns the number that the store gave the write.
func (r Revision) Number() int64 { return int64(r & maxNumber) }

// String returns the number, preceded by the era and a slash if the era is not 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Number())
}
