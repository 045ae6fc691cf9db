package coldstart

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
)

// startNews is the time after its start within which a target's entry is news of the start. Its next
// entries follow 0.77 s apart.
const startNews = 500 * time.Millisecond

// IsStart reports whether a change shows that a target of any failure domain has just started, cold
// and with a limit. VMs that knew it before may take it for warm until they know of the change.
func (h *Holder) IsStart(c catalog.Change) bool {
	if c.Target == nil {
		return false
	}
	service := h.services[c.Target.Service]
	return service.RequestsPerSecond > 0 && c.Target.Cold > 0 && c.Target.Cold > service.Duration-startNews
}
