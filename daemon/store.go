package daemon

import (
	"fmt"

	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/storewatch"
	"github.com/gypsumspan/gypsumspan/services/tableview"
	"github.com/gypsumspan/gypsumspan/store"
)

// StoreServices is the ServiceFactory of the load balancer: it returns the services that
// watch the operators' table in the store that the settings name.
func StoreServices(c MachineConfig) ([]kernel.Service, error) {
	config := store.HTTPConfig{
		Endpoints: c.Settings.Store.Endpoints,
		LocalAddr: c.Settings.Outgoing.Address,
	}
	source, certService, err := openStoreCerts(c.Settings)
	if err != nil {
		return nil, err
	}
	if source != nil {
		config.TLS = source.HostClient
	}
	client, err := store.NewHTTP(config)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	view := tableview.New(client.Close)
	watch := storewatch.New(storewatch.Config{
		Store:    client,
		IsRelay:  view.IsRelay,
		HasTable: view.HasTable,
		LiveKeys: view.LiveKeys,
		OnError:  view.LogStoreError,
	})
	services := []kernel.Service{view, watch}
	if certService != nil {
		services = append(services, certService)
	}
	return services, nil
}
