package catalogwatch

import (
	"context"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/store"
)

// Transaction writes or deletes several keys at once, each on condition that it was last
// modified at Item.Revision, or does not exist if that is 0. Its outcome is passed to the
// Inbox.
type Transaction struct {
	ID    uint64
	Items []relay.Item
}

// TransactionResult is the outcome of a Transaction.
type TransactionResult struct {
	Transaction Transaction
	Era         uint32 // of the store that answered; see store.TxnResponse
	Succeeded   bool   // all conditions held, and the items were written
	Err         error  // the store gave no answer, or none that says what it did
}

// Transact queues a transaction. One that finds no room in the queue has no outcome.
func (s *Service) Transact(t Transaction) { _ = s.writes.Put(Write{transaction: &t}) }

// transact performs a transaction. It returns an error if the VM is stopping.
func (s *Service) transact(ctx context.Context, t Transaction) error {
	var txn store.Txn
	for _, item := range t.Items {
		txn.Compares = append(txn.Compares, store.Compare{Key: item.Key, ModRevision: item.Revision.Number()})
		if item.Deleted {
			txn.Deletes = append(txn.Deletes, item.Key)
		} else {
			txn.Puts = append(txn.Puts, store.Put{Key: item.Key, Value: item.Value})
		}
	}
	s.writeCount.Add(1)
	answer, err := s.config.Store.Txn(ctx, txn)
	if err != nil {
		s.failures.Add(1)
	}
	s.recordEra(answer.Era)
	return s.inbox.HandleStoreResult(Result{Transaction: &TransactionResult{
		Transaction: t, Era: answer.Era, Succeeded: err == nil && answer.Succeeded, Err: err,
	}})
}
