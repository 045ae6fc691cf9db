package day

import (
	"encoding/base64"
	"errors"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/httpbody"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
)

// callTimeout is the timeout of a call, that of the service "catalogwatch".
const callTimeout = 700 * time.Millisecond

// maxWatchAnswerSize is the size of the largest answer of a watch that the client of the platform's
// store reads, in bytes.
const maxWatchAnswerSize = 1536 << 10

// errStore is the error of every failed call.
var errStore = errors.New("store does not answer")

// storeClient is a fake of the service "catalogwatch" on one VM.
type storeClient struct {
	baseService
	vm        *vm
	store     *store
	pacing    *catalogwatch.Pacing
	batches   *catalogwatch.BatchPacing
	pausing   bool // the current call is scheduled after a pause
	retrying  bool // the current call is scheduled after the delay of a retry
	slowRetry bool

	watching     bool
	lastRevision revision.Revision
	newestEra    uint32 // of the store, as far as this VM knows
	callID       int    // the current call; results of earlier ones are ignored
	callPending  bool
	firstWatch   bool // the next call is the first one of a watch
	callDeadline time.Duration
}

func newStoreClient(v *vm, seed uint64) *storeClient {
	return &storeClient{
		baseService: baseService{catalogwatch.Name},
		vm:          v,
		store:       v.fleet.store,
		pacing:      catalogwatch.NewPacing(seed),
		batches:     catalogwatch.NewBatchPacing(v.fleet.site.catalogSettings().BatchPause()),
	}
}

// SetWatching implements the interface CatalogWatch of the service "relay".
func (c *storeClient) SetWatching(on bool, revision revision.Revision) {
	if on && revision > 0 {
		c.newestEra = max(c.newestEra, revision.Era())
		c.lastRevision = revision
	}
	if on == c.watching {
		return
	}
	c.watching = on
	c.firstWatch = on
	if on && !c.callPending {
		c.scheduleCall(0)
	}
	if !on {
		c.callID++
		c.callPending, c.pausing, c.retrying = false, false, false
	}
}

// SetSlowRetry implements the interface that the service "relay" uses.
func (c *storeClient) SetSlowRetry(slowRetry bool) { c.slowRetry = slowRetry }

// RetryNow implements the interface CatalogWatch of the service "relay".
func (c *storeClient) RetryNow() {
	if c.retrying {
		c.scheduleCall(0)
	}
}

// ShortenPauses implements the interface CatalogWatch of the service "relay".
func (c *storeClient) ShortenPauses() {
	c.batches.ShortenPauses()
	if c.pausing {
		c.scheduleCall(0)
	}
}

// Write implements the interface CatalogWatch of the service "relay". A write whose condition
// is of an earlier era is not sent; the store knows the numbers of revisions only.
func (c *storeClient) Write(w catalogwatch.Write) {
	if w.Item.Revision > 0 && w.Item.Revision.Era() < c.newestEra {
		return
	}
	c.store.calls++
	if !c.storeAnswers() {
		return
	}
	c.store.timeline.after(c.store.responseTime()/2, func() {
		c.newestEra = max(c.newestEra, c.store.revision.Era())
		if !c.store.down && c.store.items[w.Item.Key].Revision.Number() == w.Item.Revision.Number() {
			c.store.write(w.Item)
		}
	})
}

// storeAnswers reports whether the store answers this VM now.
func (c *storeClient) storeAnswers() bool {
	return !c.store.down && !c.vm.storeRefuses && c.vm.reaches(&c.store.node)
}

// scheduleCall makes the next call after a delay.
func (c *storeClient) scheduleCall(delay time.Duration) {
	c.callPending = true
	c.callID++
	callID := c.callID
	c.store.timeline.after(delay, func() { c.perform(callID) })
}

// isCurrent reports whether a call is the current one of the running process.
func (c *storeClient) isCurrent(callID int) bool { return callID == c.callID && c.vm.client == c }

func (c *storeClient) perform(callID int) {
	if !c.isCurrent(callID) {
		return
	}
	c.pausing, c.retrying = false, false
	c.store.calls++
	c.callDeadline = c.store.timeline.now() + callTimeout
	if c.lastRevision == 0 {
		c.finish(callID, c.store.responseTime(), c.readAll)
		return
	}
	times := c.vm.fleet.site.catalogSettings()
	wait := times.WatchWait()
	if c.firstWatch {
		wait = times.FirstWatchWait()
	}
	c.firstWatch = false
	c.callDeadline += wait
	c.awaitChange(callID, c.store.timeline.now()+wait)
}

// awaitChange finishes a watch call at the next write, or at the deadline.
func (c *storeClient) awaitChange(callID int, deadline time.Duration) {
	changed := c.store.revision > c.lastRevision
	if changed || !c.storeAnswers() || c.store.timeline.now() >= deadline {
		c.finish(callID, c.store.responseTime(), c.readChanges)
		return
	}
	done := false
	wake := func() {
		if !done && c.isCurrent(callID) {
			done = true
			c.awaitChange(callID, deadline)
		}
	}
	c.store.watchers = append(c.store.watchers, wake)
	c.store.timeline.at(deadline, wake)
}

// finish ends a call with the result of read after responseTime and the transfer of the answer, or
// with an error at the call's deadline.
func (c *storeClient) finish(callID int, responseTime time.Duration, read func() (relay.Update, bool)) {
	deadline := c.callDeadline
	if !c.storeAnswers() || responseTime > callTimeout {
		c.store.timeline.after(callTimeout, func() { c.fail(callID) })
		return
	}
	c.store.timeline.after(responseTime, func() {
		if !c.isCurrent(callID) {
			return
		}
		if !c.storeAnswers() {
			c.fail(callID)
			return
		}
		update, ok := read()
		c.newestEra = max(c.newestEra, c.store.revision.Era())
		if !ok {
			c.lastRevision = 0
			c.failWith(callID, catalogwatch.ErrHistoryLost)
			return
		}
		c.receive(callID, deadline, update)
	})
}

// receive transfers an answer over the VM's link, until the deadline and what its size allows beyond
// it.
func (c *storeClient) receive(callID int, deadline time.Duration, update relay.Update) {
	size := answerSize(update)
	if !update.Complete && size > maxWatchAnswerSize {
		c.lastRevision = 0
		c.failWith(callID, catalogwatch.ErrHistoryLost)
		return
	}
	cancel := c.vm.downlink.send(size, func() {
		if c.isCurrent(callID) {
			c.deliver(update)
		}
	})
	c.store.timeline.at(deadline+httpbody.Allowance(size), func() {
		cancel()
		if c.isCurrent(callID) && c.callPending {
			c.fail(callID)
		}
	})
}

// answerSize returns the size in bytes of the store's answer with an update: values are in base64.
func answerSize(update relay.Update) int {
	size := storeAnswerOverhead
	for _, item := range update.Items {
		size += storeItemOverhead + len(item.Key) + base64.StdEncoding.EncodedLen(len(item.Value))
	}
	return size
}

func (c *storeClient) readAll() (relay.Update, bool) {
	return relay.Update{Revision: c.store.revision, Items: c.store.snapshot(), Complete: true}, true
}

func (c *storeClient) readChanges() (relay.Update, bool) {
	items, ok := c.store.changesSince(c.lastRevision)
	return relay.Update{Revision: c.store.revision, Items: items}, ok
}

func (c *storeClient) deliver(update relay.Update) {
	c.pacing.Succeeded()
	c.lastRevision = update.Revision
	c.callPending = false
	if c.vm.relay.HandleStoreResult(catalogwatch.Result{Update: update}) != nil {
		c.vm.fleet.oracle.recordFault("answers of the store find no room at %s", c.vm.name)
	}
	if !c.watching {
		return
	}
	pause := time.Duration(0)
	if len(update.Items) > 0 {
		pause = c.batches.Pause()
	}
	c.scheduleCall(pause)
	c.pausing = pause > 0
}

func (c *storeClient) fail(callID int) { c.failWith(callID, errStore) }

func (c *storeClient) failWith(callID int, err error) {
	if !c.isCurrent(callID) {
		return
	}
	c.callPending = false
	_ = c.vm.relay.HandleStoreResult(catalogwatch.Result{Err: err}) // dropped if the ring is full; the next failure is reported again
	if c.watching || c.lastRevision == 0 {
		c.scheduleCall(c.pacing.Failed(err == catalogwatch.ErrHistoryLost, c.slowRetry))
		c.retrying = true
	}
}
