package ops

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// firstDelay and lastDelay bound the delay between two tries. It doubles from
	// try to try and has a jitter of half of it.
	firstDelay = 50 * time.Millisecond
	lastDelay  = 2 * time.Second
	// pruneKeys is the largest number of old audit records that one transaction
	// deletes.
	pruneKeys = 20
)

// Result is what Apply did.
type Result struct {
	ChangeID string
	Revision int64 // of the last transaction; 0 if there was nothing to change
	Parts    int   // transactions
}

// Apply makes a planned change, once: compare-and-swap transactions, each with its
// audit record, in the usual case one. If another change came first it plans
// anew and tries again. A transaction whose answer was lost is looked up by the
// change id, so that it is neither made twice nor falsely reported as failed.
// It returns the errors of Plan, ErrTooLarge, ErrContended or an UncertainError;
// a PartialError wraps them if a part of the change was made.
func (o *Operations) Apply(ctx context.Context, plan *Plan) (Result, error) {
	a := &application{Operations: o, plan: plan, id: o.config.NewID()}
	err := a.run(ctx)
	result := Result{ChangeID: a.id, Revision: a.revision, Parts: a.made}
	if err != nil && a.made > 0 {
		err = &PartialError{AppliedParts: a.made, Revision: a.revision, Err: err}
	}
	return result, err
}

// application is one run of Apply.
type application struct {
	*Operations
	plan     *Plan
	id       string
	queue    []batch // still to be made
	made     int
	revision int64
}

func (a *application) run(ctx context.Context) error {
	var err error
	if a.queue, err = a.plan.batches(); err != nil {
		return err
	}
	for len(a.queue) > 0 {
		if err := a.part(ctx); err != nil {
			return err
		}
	}
	return nil
}

// attempts is the state of the tries of one part.
type attempts struct {
	recordKey string
	prune     []string
	uncertain bool    // an answer was lost and its write was not found since
	lost      []batch // the queue when the answer was lost
	last      error
}

// part makes the first batch of the queue.
func (a *application) part(ctx context.Context) error {
	t := &attempts{recordKey: recordKey(a.config.Now(), a.id, a.made+1)}
	t.prune = a.oldRecords(ctx)
	for n := range a.config.MaxAttempts {
		if n > 0 {
			if err := a.config.Sleep(ctx, a.delay(n)); err != nil {
				t.last = err
				break
			}
		}
		done, err := a.try(ctx, t)
		if done || err != nil {
			return err
		}
		if len(a.queue) == 0 {
			return nil
		}
	}
	return a.giveUp(t)
}

func (o *Operations) delay(n int) time.Duration {
	d := min(lastDelay, firstDelay<<(n-1))
	return d/2 + time.Duration(o.config.Jitter()*float64(d))
}

func (a *application) giveUp(t *attempts) error {
	switch {
	case t.uncertain:
		return &UncertainError{ChangeID: a.id, Err: t.last}
	case errors.Is(t.last, ErrContended):
		return t.last
	default:
		return translate("apply the change", t.last)
	}
}

// try sends the transaction once. Without done and error it is worth another try.
func (a *application) try(ctx context.Context, t *attempts) (done bool, err error) {
	txn, err := a.transaction(t)
	if err != nil {
		return false, err
	}
	answer, err := a.config.Store.Txn(ctx, txn)
	switch {
	case err == nil && answer.Succeeded:
		a.finish(a.queue, answer.Revision)
		return true, nil
	case err == nil:
		return a.raceLost(ctx, t)
	case errors.Is(err, store.ErrUncertain):
		t.uncertain, t.lost, t.last = true, a.queue, err
		return a.lookUp(ctx, t), nil
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		t.last = err
		return false, nil
	default:
		return false, translate("apply the change", err)
	}
}

// transaction adds the audit record to the batch. The record's key must not
// exist, so that a late copy of an earlier try can't be made as well.
func (a *application) transaction(t *attempts) (store.Txn, error) {
	b := &a.queue[0]
	txn := a.plan.txn(b)
	record, err := a.record(b, a.made+1).encode()
	if err != nil {
		return store.Txn{}, err
	}
	txn.Compares = append(txn.Compares, store.Compare{Key: t.recordKey})
	txn.Puts = append(txn.Puts, store.Put{Key: t.recordKey, Value: record})
	txn.Deletes = append(txn.Deletes, t.prune...)
	return txn, nil
}

// finish notes that the first batch of queue was made.
func (a *application) finish(queue []batch, revision int64) {
	a.plan.rebase(&queue[0], revision)
	a.queue = queue[1:]
	a.made++
	a.revision = revision
}

// lookUp reads the audit record back and reports whether the write was made.
func (a *application) lookUp(ctx context.Context, t *attempts) bool {
	answer, err := a.config.Store.Range(ctx, store.RangeRequest{Span: store.Key(t.recordKey)})
	if err != nil || len(answer.KVs) == 0 {
		return false
	}
	a.finish(t.lost, answer.KVs[0].ModRevision)
	return true
}

// raceLost finds out whether an earlier try of this part came first. Otherwise
// it was another change, and the plan is made anew; the earlier try can't be made
// any more, since it compared the same keys.
func (a *application) raceLost(ctx context.Context, t *attempts) (done bool, err error) {
	if t.uncertain {
		answer, err := a.config.Store.Range(ctx, store.RangeRequest{Span: store.Key(t.recordKey)})
		if err != nil {
			t.last = err
			return false, nil
		}
		if len(answer.KVs) > 0 {
			a.finish(t.lost, answer.KVs[0].ModRevision)
			return true, nil
		}
		t.uncertain = false
	}
	t.last = ErrContended
	plan, err := a.replan(ctx, a.plan)
	if errors.Is(err, ErrUnavailable) {
		t.last = err
		return false, nil
	}
	if err != nil {
		return false, err
	}
	a.plan = plan
	a.queue, err = plan.batches()
	if err != nil {
		return false, fmt.Errorf("plan again: %w", err)
	}
	return false, nil
}
