package catalog

// Effect is the effect of a change on the view.
type Effect uint8

// The effects.
const (
	NoEffect             Effect = iota // for example the removal of an unlisted target
	Outdated                           // older than the view; ignored
	ConfigurationApplied               // the change is the new configuration
	TargetAdded                        // a target with a new id, or a new service
	TargetChanged                      // another entry of a known target
	TargetRestarted                    // an entry of a known target that has started again
	TargetRemoved                      // the target is no longer listed, or its entry is malformed
	DomainEvacuated                    // the targets of a failure domain get no new flows
	DomainRestored                     // they get new flows again
	Synced                             // the change had Synced set
)
