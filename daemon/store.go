package daemon

import (
	"fmt"

	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/storewatch"
	"github.com/gypsumspan/gypsumspan/services/tableview"
	"github.com/gypsumspan/gypsumspan/store"
)

// StoreServices is the ServiceFactory of the load balancer: the watch of the
// operators' table in the store that the settings name.
func StoreServices(c MachineConfig) ([]kernel.Service, error) {
	client, err := store.NewHTTP(store.HTTPConfig{
		Endpoints: c.Settings.Store.Endpoints,
		Outgoing:  c.Settings.Outgoing.Address,
	})
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	view := tableview.New(client.Close)
	watch := storewatch.New(storewatch.Config{
		Store:    client,
		IsRelay:  view.IsRelay,
		HasTable: view.HasTable,
		LiveKeys: view.LiveKeys,
		OnError:  view.StoreFailed,
	})
	return []kernel.Service{view, watch}, nil
}
