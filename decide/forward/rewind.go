package forward

import "time"

// StoreRewound records that the store has returned from an older copy of its data. Changes of
// its new era follow.
func (f *Forwarder) StoreRewound(now time.Duration) { f.view.StoreRewound(now) }
