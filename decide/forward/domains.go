package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// SetDomainLoads takes the work of all failure domains.
func (f *Forwarder) SetDomainLoads(now time.Duration, loads []relay.Load) {
	f.domainLoads = loads
	f.domainLoadsAt = now
}
