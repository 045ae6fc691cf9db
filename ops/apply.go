package ops

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay between two attempts, before a
	// jitter of plus or minus 50 percent. The delay doubles with each attempt.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxPrunedRecords is the maximum number of old audit records that one transaction
	// deletes.
	maxPrunedRecords = 20
)

// Result is the result of Apply.
type Result struct {
	ChangeID string
	Revision int64 // of the last transaction; 0 if there was nothing to change
	Parts    int   // number of transactions
}

// Apply applies a planned change exactly once. It sends one compare-and-swap
// transaction, or several for a large change, each with its audit record. If another
// change was applied since the plan was made, it plans the change again and retries. If
// the response to a transaction is lost, it looks for the audit record, so that the
// transaction is neither applied twice nor reported as failed although it was applied.
// It returns the errors of Plan, ErrTooLarge, ErrContended or an UncertainError; a
// PartialError wraps them if some of the transactions were applied.
func (o *Operations) Apply(ctx context.Context, plan *Plan) (Result, error) {
	a := &applyState{Operations: o, plan: plan, changeID: o.config.NewID()}
	err := a.run(ctx)
	result := Result{ChangeID: a.changeID, Revision: a.revision, Parts: a.appliedParts}
	if err != nil && a.appliedParts > 0 {
		err = &PartialError{AppliedParts: a.appliedParts, Revision: a.revision, Err: err}
	}
	return result, err
}

// applyState is the state of one call of Apply.
type applyState struct {
	*Operations
	plan         *Plan
	changeID     string
	queue        []batch // not applied yet
	appliedParts int
	revision     int64
}

func (a *applyState) run(ctx context.Context) error {
	var err error
	if a.queue, err = a.plan.batches(); err != nil {
		return err
	}
	for len(a.queue) > 0 {
		if err := a.applyPart(ctx); err != nil {
			return err
		}
	}
	return nil
}

// partState is the state of one part of a change, a transaction, over its attempts.
type partState struct {
	recordKey   string
	prunedKeys  []string
	uncertain   bool    // a response was lost and the audit record was not found yet
	queueAtLoss []batch // the queue when the response was lost
	lastErr     error
}

// applyPart applies the first batch of the queue.
func (a *applyState) applyPart(ctx context.Context) error {
	part := &partState{recordKey: recordKey(a.config.Now(), a.changeID, a.appliedParts+1)}
	part.prunedKeys = a.excessRecords(ctx)
	for n := range a.config.MaxAttempts {
		if n > 0 {
			if err := a.config.Sleep(ctx, a.retryDelay(n)); err != nil {
				part.lastErr = err
				break
			}
		}
		applied, err := a.attemptPart(ctx, part)
		if applied || err != nil {
			return err
		}
		if len(a.queue) == 0 {
			return nil
		}
	}
	return a.finalError(part)
}

func (o *Operations) retryDelay(n int) time.Duration {
	d := min(maxRetryDelay, minRetryDelay<<(n-1))
	return d/2 + time.Duration(o.config.Jitter()*float64(d))
}

func (a *applyState) finalError(part *partState) error {
	switch {
	case part.uncertain:
		return &UncertainError{ChangeID: a.changeID, Err: part.lastErr}
	case errors.Is(part.lastErr, ErrContended):
		return part.lastErr
	default:
		return wrapStoreError("apply the change", part.lastErr)
	}
}

// attemptPart sends the transaction once. If it returns neither true nor an error, it
// may be called again.
func (a *applyState) attemptPart(ctx context.Context, part *partState) (applied bool, err error) {
	txn, err := a.transaction(part)
	if err != nil {
		return false, err
	}
	response, err := a.config.Store.Txn(ctx, txn)
	switch {
	case err == nil && response.Succeeded:
		a.completePart(a.queue, response.Revision)
		return true, nil
	case err == nil:
		return a.handleFailedCompare(ctx, part)
	case errors.Is(err, store.ErrUncertain):
		part.uncertain, part.queueAtLoss, part.lastErr = true, a.queue, err
		return a.findRecord(ctx, part), nil
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		part.lastErr = err
		return false, nil
	default:
		return false, wrapStoreError("apply the change", err)
	}
}

// transaction returns the transaction of the first batch with its audit record. The
// record's key must not exist, so that a delayed earlier attempt cannot be applied as
// well.
func (a *applyState) transaction(part *partState) (store.Txn, error) {
	b := &a.queue[0]
	txn := a.plan.txn(b)
	record, err := a.newRecord(b, a.appliedParts+1).encode()
	if err != nil {
		return store.Txn{}, err
	}
	txn.Compares = append(txn.Compares, store.Compare{Key: part.recordKey})
	txn.Puts = append(txn.Puts, store.Put{Key: part.recordKey, Value: record})
	txn.Deletes = append(txn.Deletes, part.prunedKeys...)
	return txn, nil
}

// completePart records that the first batch of queue was applied at a revision.
func (a *applyState) completePart(queue []batch, revision int64) {
	a.plan.recordApplied(&queue[0], revision)
	a.queue = queue[1:]
	a.appliedParts++
	a.revision = revision
}

// findRecord looks for the audit record in the store and reports whether the
// transaction was applied.
func (a *applyState) findRecord(ctx context.Context, part *partState) bool {
	response, err := a.config.Store.Range(ctx, store.RangeRequest{Span: store.Key(part.recordKey)})
	if err != nil || len(response.KVs) == 0 {
		return false
	}
	a.completePart(part.queueAtLoss, response.KVs[0].ModRevision)
	return true
}

// handleFailedCompare handles a transaction whose comparison failed, because either an
// earlier attempt of this part or another change was applied. After another change it
// plans the change again; an earlier attempt can't be applied any more, since it
// compared the same keys.
func (a *applyState) handleFailedCompare(ctx context.Context, part *partState) (applied bool, err error) {
	if part.uncertain {
		response, err := a.config.Store.Range(ctx, store.RangeRequest{Span: store.Key(part.recordKey)})
		if err != nil {
			part.lastErr = err
			return false, nil
		}
		if len(response.KVs) > 0 {
			a.completePart(part.queueAtLoss, response.KVs[0].ModRevision)
			return true, nil
		}
		part.uncertain = false
	}
	part.lastErr = ErrContended
	plan, err := a.replan(ctx, a.plan)
	if errors.Is(err, ErrUnavailable) {
		part.lastErr = err
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
