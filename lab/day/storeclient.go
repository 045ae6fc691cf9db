package day

import (
	"errors"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/retry"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
)

// Times of the calls to the store, as service "catalogwatch" has them.
const (
	callTimeout = 700 * time.Millisecond
	firstRetry  = 200 * time.Millisecond
	lastRetry   = time.Second

	firstPatientRetry = 2 * time.Second
	lastPatientRetry  = 6 * time.Second
	eventPause        = 200 * time.Millisecond
)

// errStore is the error of every failed call.
var errStore = errors.New("store does not answer")

// storeClient is the fake of service "catalogwatch" on one VM.
type storeClient struct {
	part
	vm       *vm
	store    *store
	backoff  *retry.Backoff
	patience *retry.Backoff
	patient  bool
	retries  int

	watching bool
	from     int64
	call     int // number of the present call; answers of earlier ones are ignored
	polling  bool
	first    bool // the next call is the first of a watch
}

func newStoreClient(v *vm, seed uint64) *storeClient {
	return &storeClient{
		part:     part{catalogwatch.Name},
		vm:       v,
		store:    v.fleet.store,
		backoff:  retry.NewBackoff(retry.BackoffConfig{Base: firstRetry, Max: lastRetry}, seed),
		patience: retry.NewBackoff(retry.BackoffConfig{Base: firstPatientRetry, Max: lastPatientRetry}, seed),
	}
}

// Watch implements the service's interface towards "relay".
func (c *storeClient) Watch(on bool, revision int64) {
	if on && revision > 0 {
		c.from = revision
	}
	if on == c.watching {
		return
	}
	c.watching = on
	c.first = on
	if on && !c.polling {
		c.next(0)
	}
	if !on {
		c.call++
		c.polling = false
	}
}

// SetSlowRetry implements the service's interface towards "relay".
func (c *storeClient) SetSlowRetry(patient bool) { c.patient = patient }

// Write implements the service's interface towards "relay".
func (c *storeClient) Write(w catalogwatch.Write) {
	c.store.calls++
	if !c.served() {
		return
	}
	c.store.timeline.after(c.store.answerTime()/2, func() {
		if c.store.items[w.Item.Key].Revision == w.Item.Revision {
			c.store.write(w.Item)
		}
	})
}

// served reports whether the store answers this VM now.
func (c *storeClient) served() bool {
	return !c.store.down && !c.vm.refused && c.vm.reaches(&c.store.end)
}

// next makes the next call after a pause.
func (c *storeClient) next(pause time.Duration) {
	c.polling = true
	c.call++
	call := c.call
	c.store.timeline.after(pause, func() { c.perform(call) })
}

// current reports whether a call is still wanted.
func (c *storeClient) current(call int) bool { return call == c.call && c.vm.client == c }

func (c *storeClient) perform(call int) {
	if !c.current(call) {
		return
	}
	c.store.calls++
	if c.from == 0 {
		c.finish(call, c.store.answerTime(), c.readAll)
		return
	}
	times := c.vm.fleet.site.catalog()
	wait := times.WatchWait()
	if c.first {
		wait = times.FirstWatchWait()
	}
	c.first = false
	c.poll(call, c.store.timeline.now()+wait)
}

// poll answers a watch at the next write, or at till.
func (c *storeClient) poll(call int, till time.Duration) {
	news := c.store.revision > c.from
	if news || !c.served() || c.store.timeline.now() >= till {
		c.finish(call, c.store.answerTime(), c.readChanges)
		return
	}
	done := false
	wake := func() {
		if !done && c.current(call) {
			done = true
			c.poll(call, till)
		}
	}
	c.store.waiting = append(c.store.waiting, wake)
	c.store.timeline.at(till, wake)
}

// finish ends a call: with an answer after the store's time, or with an error after
// the time-out.
func (c *storeClient) finish(call int, after time.Duration, read func() (relay.Update, bool)) {
	if !c.served() || after > callTimeout {
		c.store.timeline.after(callTimeout, func() { c.fail(call) })
		return
	}
	c.store.timeline.after(after, func() {
		if !c.current(call) {
			return
		}
		if !c.served() {
			c.fail(call)
			return
		}
		news, ok := read()
		if !ok {
			c.from = 0
			c.fail(call)
			return
		}
		c.deliver(news)
	})
}

func (c *storeClient) readAll() (relay.Update, bool) {
	return relay.Update{Revision: c.store.revision, Items: c.store.all(), Complete: true}, true
}

func (c *storeClient) readChanges() (relay.Update, bool) {
	items, ok := c.store.since(c.from)
	return relay.Update{Revision: c.store.revision, Items: items}, ok
}

func (c *storeClient) deliver(news relay.Update) {
	c.retries = 0
	c.from = news.Revision
	c.polling = false
	if c.vm.relay.HandleStoreResult(catalogwatch.Result{Update: news}) != nil {
		c.vm.fleet.oracle.fault("answers of the store find no room at %s", c.vm.name)
	}
	if !c.watching {
		return
	}
	pause := time.Duration(0)
	if len(news.Items) > 0 {
		pause = eventPause
	}
	c.next(pause)
}

func (c *storeClient) fail(call int) {
	if !c.current(call) {
		return
	}
	c.polling = false
	_ = c.vm.relay.HandleStoreResult(catalogwatch.Result{Err: errStore}) // a full ring: the next failure follows
	if c.watching || c.from == 0 {
		c.retries++
		c.next(c.delay())
	}
}

func (c *storeClient) delay() time.Duration {
	if c.patient {
		return c.patience.Delay(c.retries, firstPatientRetry)
	}
	return c.backoff.Delay(c.retries, firstRetry)
}
