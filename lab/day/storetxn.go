package day

import "github.com/gypsumspan/gypsumspan/services/catalogwatch"

// permitPrefix is the prefix of the permits for cold targets.
const permitPrefix = "permits/"

// Transact implements the interface CatalogWatch of the service "relay".
func (c *storeClient) Transact(t catalogwatch.Transaction) {
	c.store.calls++
	result := catalogwatch.TransactionResult{Transaction: t}
	if !c.storeAnswers() {
		result.Err = errStore
		c.store.timeline.after(callTimeout, func() { c.deliverTransaction(result) })
		return
	}
	half := c.store.responseTime() / 2
	c.store.timeline.after(half, func() {
		result.Era = c.store.revision.Era()
		result.Succeeded = true
		for _, item := range t.Items {
			result.Succeeded = result.Succeeded && c.store.items[item.Key].Revision == item.Revision
		}
		if result.Succeeded {
			for _, item := range t.Items {
				c.store.write(item)
			}
		}
		c.store.timeline.after(half, func() { c.deliverTransaction(result) })
	})
}

// deliverTransaction passes the outcome to the process that made the call, if it still runs.
func (c *storeClient) deliverTransaction(r catalogwatch.TransactionResult) {
	if c.vm.client != c {
		return
	}
	if c.vm.relay.HandleStoreResult(catalogwatch.Result{Transaction: &r}) != nil {
		c.vm.fleet.oracle.recordFault("answers of the store find no room at %s", c.vm.name)
	}
}
