package events

// Events of the process, GS1000 to GS1999.
var (
	// DaemonStarted is written once, after all services have been assembled.
	DaemonStarted = declare(Event{Number: "GS1001", Level: Info, Name: "daemon_started",
		Message: "entry VM is starting",
		Fields:  []string{"vm", "domain", "callers", "data", "control", "admin", "version"}})
	// LeaveStarted is written when the first stop signal arrives.
	LeaveStarted = declare(Event{Number: "GS1002", Level: Info, Name: "leave_started",
		Message: "planned leave begins",
		Fields:  []string{"vm", "signal", "grace"}})
	// DaemonStopped is written after a complete planned leave.
	DaemonStopped = declare(Event{Number: "GS1003", Level: Info, Name: "daemon_stopped",
		Message: "planned leave is complete",
		Fields:  []string{"vm"}})
	// DaemonFailed is written when a service failed and ended the process.
	DaemonFailed = declare(Event{Number: "GS1004", Level: Error, Name: "daemon_failed",
		Message: "entry VM failed",
		Fields:  []string{"vm", "error"}})
	// StopForced is written when a second stop signal ends the planned leave.
	StopForced = declare(Event{Number: "GS1005", Level: Warn, Name: "stop_forced",
		Message: "second stop signal, the planned leave is aborted",
		Fields:  []string{"vm", "signal"}})
	// LeaveOverran is written when the planned leave did not end within the stop grace.
	LeaveOverran = declare(Event{Number: "GS1006", Level: Error, Name: "leave_overran",
		Message: "planned leave did not end within the stop grace",
		Fields:  []string{"vm", "grace"}})
	// LinesDropped is written after log lines were dropped.
	LinesDropped = declare(Event{Number: "GS1007", Level: Warn, Name: "lines_dropped",
		Message: "log lines were dropped because their writer was too slow",
		Fields:  []string{"dropped"}})
)

// Events of datagrams and control links, GS2000 to GS2999.
var (
	// DatagramRejected is written when a datagram is malformed or not accepted.
	DatagramRejected = declare(Event{Number: "GS2001", Level: Warn, Name: "datagram_rejected", Limited: true,
		Message: "datagram was dropped",
		Fields:  []string{"from", "error"}})
	// DatagramUnauthenticated is written when the MAC of a datagram between VMs is wrong or missing.
	DatagramUnauthenticated = declare(Event{Number: "GS2002", Level: Warn, Name: "datagram_unauthenticated", Limited: true,
		Message: "datagram was dropped because it is not authenticated",
		Fields:  []string{"from", "error"}})
	// DatagramKeysReloaded is written when the datagram keys have changed and were reloaded.
	DatagramKeysReloaded = declare(Event{Number: "GS2003", Level: Info, Name: "datagram_keys_reloaded",
		Message: "changed datagram keys are in use",
		Fields:  []string{"keys", "signs"}})
	// DatagramKeysUnusable is written when the key file can't be read or is invalid.
	DatagramKeysUnusable = declare(Event{Number: "GS2004", Level: Error, Name: "datagram_keys_unusable", Limited: true,
		Message: "datagram keys are unusable, the previous ones remain in use",
		Fields:  []string{"error"}})
	// DatagramKeysOff is written once at startup if the settings name no key file.
	DatagramKeysOff = declare(Event{Number: "GS2005", Level: Warn, Name: "datagram_keys_off",
		Message: "datagrams between VMs are not authenticated",
		Fields:  []string{"vm"}})
	// PeerUnreachable is written when a control link can't be opened.
	PeerUnreachable = declare(Event{Number: "GS2101", Level: Warn, Name: "peer_unreachable", Limited: true,
		Message: "control link can't be opened",
		Fields:  []string{"peer", "control", "error"}})
	// PeerLinkFailed is written when a write on an open control link fails.
	PeerLinkFailed = declare(Event{Number: "GS2102", Level: Warn, Name: "peer_link_failed", Limited: true,
		Message: "control link to a peer failed",
		Fields:  []string{"peer", "control", "error"}})
	// PeerSessionFailed is written when an incoming control link fails or violates the protocol.
	PeerSessionFailed = declare(Event{Number: "GS2103", Level: Warn, Name: "peer_session_failed", Limited: true,
		Message: "incoming control link was closed because of an error",
		Fields:  []string{"remote", "error"}})
	// PeerSessionsFull is written when an incoming control link exceeds the limit.
	PeerSessionsFull = declare(Event{Number: "GS2104", Level: Warn, Name: "peer_sessions_full", Limited: true,
		Message: "incoming control link was refused because of the limit",
		Fields:  []string{"remote", "limit"}})
	// PeerMessageUnsent is written when a message can't be encoded for a control link.
	PeerMessageUnsent = declare(Event{Number: "GS2105", Level: Error, Name: "peer_message_unsent", Limited: true,
		Message: "control message can't be encoded",
		Fields:  []string{"peer", "error"}})
)

// Events of certificates, GS2200 to GS2299.
var (
	// TLSOff is written once at startup if the settings have no [tls] section.
	TLSOff = declare(Event{Number: "GS2201", Level: Warn, Name: "tls_off",
		Message: "control links and the admin address are not authenticated",
		Fields:  []string{"vm"}})
	// PeerRefused is written when the handshake of an incoming control link fails.
	PeerRefused = declare(Event{Number: "GS2202", Level: Warn, Name: "peer_refused", Limited: true,
		Message: "incoming control link was refused because of its certificate",
		Fields:  []string{"remote", "error"}})
	// PeerUntrusted is written when the VM at a control address lacks the expected certificate.
	PeerUntrusted = declare(Event{Number: "GS2203", Level: Warn, Name: "peer_untrusted", Limited: true,
		Message: "control link was closed because of the peer's certificate",
		Fields:  []string{"peer", "control", "error"}})
	// PeerMismatch is written when a control message names another VM than its sender's certificate.
	PeerMismatch = declare(Event{Number: "GS2204", Level: Warn, Name: "peer_mismatch", Limited: true,
		Message: "control message was dropped because it names another VM than the certificate",
		Fields:  []string{"certificate", "remote", "error"}})
	// CertificatesReloaded is written when the certificate files have changed and were reloaded.
	CertificatesReloaded = declare(Event{Number: "GS2205", Level: Info, Name: "certificates_reloaded",
		Message: "changed certificates are in use",
		Fields:  []string{"service", "expires"}})
	// CertificatesUnusable is written when certificate files can't be read or are invalid.
	CertificatesUnusable = declare(Event{Number: "GS2206", Level: Error, Name: "certificates_unusable", Limited: true,
		Message: "certificate files are unusable, the previous ones remain in use",
		Fields:  []string{"service", "error"}})
	// CertificateExpires is written when the VM's own certificate expires soon.
	CertificateExpires = declare(Event{Number: "GS2207", Level: Warn, Name: "certificate_expires",
		Message: "own certificate expires soon",
		Fields:  []string{"service", "expires", "left"}})
	// CertificateExpired is written when the VM's own certificate has expired.
	CertificateExpired = declare(Event{Number: "GS2208", Level: Error, Name: "certificate_expired",
		Message: "own certificate has expired",
		Fields:  []string{"service", "expires"}})
)

// Events of polling, GS3000 to GS3199.
var (
	// VMListFailed is written when the platform's VM list can't be read.
	VMListFailed = declare(Event{Number: "GS3001", Level: Warn, Name: "vm_list_failed", Limited: true,
		Message: "VM list can't be read",
		Fields:  []string{"url", "error"}})
	// VMListEntryInvalid is written for an invalid entry of the VM list.
	VMListEntryInvalid = declare(Event{Number: "GS3002", Level: Warn, Name: "vm_list_entry_invalid", Limited: true,
		Message: "invalid entry of the VM list was skipped",
		Fields:  []string{"name", "error"}})
	// HealthPollFailed is written when a poll of a target's health endpoint fails.
	HealthPollFailed = declare(Event{Number: "GS3101", Level: Warn, Name: "health_poll_failed", Limited: true,
		Message: "poll of a target's health endpoint failed",
		Fields:  []string{"target", "address", "error"}})
	// HealthPollsSkipped is written when a poller has not finished its previous round.
	HealthPollsSkipped = declare(Event{Number: "GS3102", Level: Warn, Name: "health_polls_skipped", Limited: true,
		Message: "health polls were skipped because the previous round is unfinished",
		Fields:  []string{"poller"}})
)

// Events of the state machine, GS3200 to GS3999. A change of the fleet or of the table
// writes one line for each target or VM that it affects.
var (
	// OwnershipTakenOver is written when the VM takes over a target with a new epoch.
	OwnershipTakenOver = declare(Event{Number: "GS3201", Level: Info, Name: "ownership_taken_over", Limited: true, Burst: decisionBurst,
		Message: "target was taken over with a new epoch",
		Fields:  []string{"target", "flows"}})
	// OwnershipHandedOver is written when another VM confirmed a handover.
	OwnershipHandedOver = declare(Event{Number: "GS3202", Level: Info, Name: "ownership_handed_over", Limited: true, Burst: decisionBurst,
		Message: "target was handed over",
		Fields:  []string{"target", "peer", "flows"}})
	// OwnershipReceived is written when the state of a handover was merged.
	OwnershipReceived = declare(Event{Number: "GS3203", Level: Info, Name: "ownership_received", Limited: true, Burst: decisionBurst,
		Message: "target was received from another VM",
		Fields:  []string{"target", "peer", "flows"}})
	// OwnershipRevoked is written when a handover was not confirmed but may have been accepted.
	OwnershipRevoked = declare(Event{Number: "GS3204", Level: Warn, Name: "ownership_revoked", Limited: true, Burst: decisionBurst,
		Message: "epochs were revoked after an unconfirmed handover",
		Fields:  []string{"target", "peer", "flows"}})
	// TargetEjected is written when a target is ejected because of its health.
	TargetEjected = declare(Event{Number: "GS3301", Level: Warn, Name: "target_ejected", Limited: true, Burst: decisionBurst,
		Message: "target was ejected because of its health and gets no new flows",
		Fields:  []string{"target"}})
	// TargetRestored is written when an ejected target gets new flows again.
	TargetRestored = declare(Event{Number: "GS3302", Level: Info, Name: "target_restored", Limited: true, Burst: decisionBurst,
		Message: "target is healthy and gets new flows again",
		Fields:  []string{"target"}})
	// TargetLost is written when a target crashed and its flows are lost.
	TargetLost = declare(Event{Number: "GS3303", Level: Error, Name: "target_lost", Limited: true, Burst: decisionBurst,
		Message: "target has crashed",
		Fields:  []string{"target", "flows"}})
	// MovesStarted is written when flows start to move away from a draining target.
	MovesStarted = declare(Event{Number: "GS3304", Level: Info, Name: "moves_started", Limited: true, Burst: decisionBurst,
		Message: "flows started to move away from a draining target",
		Fields:  []string{"target", "flows"}})
	// MovesFinished is written when a draining target has no flows left.
	MovesFinished = declare(Event{Number: "GS3305", Level: Info, Name: "moves_finished", Limited: true, Burst: decisionBurst,
		Message: "draining target has no flows left",
		Fields:  []string{"target", "flows"}})
	// MoveAbandoned is written when the receiver did not confirm a move of flows.
	MoveAbandoned = declare(Event{Number: "GS3306", Level: Warn, Name: "move_abandoned", Limited: true, Burst: decisionBurst,
		Message: "move of flows was abandoned",
		Fields:  []string{"target", "peer", "flows"}})
	// VMPaused is written when the process was not scheduled for a while.
	VMPaused = declare(Event{Number: "GS3401", Level: Warn, Name: "vm_paused", Limited: true,
		Message: "VM was paused",
		Fields:  []string{"gap"}})
	// MemberSuspected is written when another VM misses heartbeats.
	MemberSuspected = declare(Event{Number: "GS3402", Level: Warn, Name: "member_suspected", Limited: true, Burst: decisionBurst,
		Message: "VM is suspected",
		Fields:  []string{"peer"}})
	// MemberDead is written when another VM is declared dead.
	MemberDead = declare(Event{Number: "GS3403", Level: Warn, Name: "member_dead", Limited: true, Burst: decisionBurst,
		Message: "VM is dead",
		Fields:  []string{"peer"}})
	// MemberBack is written when a suspected, leaving or dead VM is alive again.
	MemberBack = declare(Event{Number: "GS3404", Level: Info, Name: "member_back", Limited: true, Burst: decisionBurst,
		Message: "VM is alive again",
		Fields:  []string{"peer"}})
	// MemberLeaving is written when another VM starts its planned leave.
	MemberLeaving = declare(Event{Number: "GS3405", Level: Info, Name: "member_leaving", Limited: true, Burst: decisionBurst,
		Message: "VM is leaving",
		Fields:  []string{"peer"}})
	// TableInForce is written when this VM puts a revision of the table in force.
	TableInForce = declare(Event{Number: "GS3501", Level: Info, Name: "table_in_force", Limited: true, Burst: decisionBurst,
		Message: "table revision is in force",
		Fields:  []string{"revision"}})
	// TableEntryRejected is written for a malformed entry of the table.
	TableEntryRejected = declare(Event{Number: "GS3502", Level: Error, Name: "table_entry_rejected", Limited: true, Burst: decisionBurst,
		Message: "malformed entry of the table was rejected",
		Fields:  []string{"key", "revision", "error"}})
	// HandoversStarted is written when the state machine starts the planned leave.
	HandoversStarted = declare(Event{Number: "GS3601", Level: Info, Name: "handovers_started",
		Message: "handover of the VM's targets started",
		Fields:  []string{"flows"}})
	// HandoversFinished is written when the VM owns no target that it has to hand over.
	HandoversFinished = declare(Event{Number: "GS3602", Level: Info, Name: "handovers_finished",
		Message: "handover of the VM's targets is complete",
		Fields:  []string{"took"}})
	// NoticesDropped is written when one step of the state machine had more notices than fit.
	NoticesDropped = declare(Event{Number: "GS3603", Level: Warn, Name: "notices_dropped", Limited: true,
		Message: "events of the state machine were dropped",
		Fields:  []string{"dropped"}})
)

// Events of the admin address, GS4000 to GS4999.
var (
	// AdminAnswerFailed is written when a request to the admin address fails with status 5xx.
	AdminAnswerFailed = declare(Event{Number: "GS4001", Level: Warn, Name: "admin_answer_failed", Limited: true,
		Message: "request to the admin address failed",
		Fields:  []string{"path", "error"}})
	// AdminRefused is written when a client of the admin address has no operator's certificate.
	AdminRefused = declare(Event{Number: "GS4002", Level: Warn, Name: "admin_refused", Limited: true,
		Message: "client of the admin address was refused because of its certificate",
		Fields:  []string{"remote", "error"}})
)

// Events of the store and the table, GS5000 to GS5999.
var (
	// StoreFailed is written when the table can't be read from the store.
	StoreFailed = declare(Event{Number: "GS5001", Level: Warn, Name: "store_failed", Limited: true,
		Message: "table can't be read from the store",
		Fields:  []string{"error"}})
)

// Events of opaque flows on the users' platform, GS6000 to GS6999.
var (
	// FlowDaemonStarted is written once, after all services have been assembled.
	FlowDaemonStarted = declare(Event{Number: "GS6001", Level: Info, Name: "flow_daemon_started",
		Message: "VM is starting",
		Fields:  []string{"vm", "domain", "packets", "store", "version"}})
	// SettingsReloaded is written when the settings file was reloaded.
	SettingsReloaded = declare(Event{Number: "GS6002", Level: Info, Name: "settings_reloaded",
		Message: "settings file was reloaded",
		Fields:  []string{"file", "level", "restart_needed"}})
	// SettingsRejected is written when the settings file can't be read or is invalid on reload.
	SettingsRejected = declare(Event{Number: "GS6003", Level: Error, Name: "settings_rejected",
		Message: "settings file is invalid, the previous settings remain in force",
		Fields:  []string{"file", "error"}})
	// CatalogInForce is written when the VM has its first catalog of routes and targets.
	CatalogInForce = declare(Event{Number: "GS6101", Level: Info, Name: "catalog_in_force",
		Message: "routes and targets are in force, the VM is ready",
		Fields:  []string{"version", "revision"}})
	// ConfigurationApplied is written when this VM puts a configuration in force.
	ConfigurationApplied = declare(Event{Number: "GS6102", Level: Info, Name: "configuration_applied", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "configuration is in force",
		Fields:  []string{"version", "revision", "routes", "queued_ms"}})
	// TargetChanged is written when the entry of a target is new or has changed.
	TargetChanged = declare(Event{Number: "GS6103", Level: Info, Name: "target_changed", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "entry of a target is in force",
		Fields:  []string{"target", "service", "address", "domain", "state", "revision", "queued_ms"}})
	// TargetEntryRemoved is written when the entry of a target was removed.
	TargetEntryRemoved = declare(Event{Number: "GS6104", Level: Info, Name: "target_entry_removed", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "entry of a target was removed",
		Fields:  []string{"target", "revision", "queued_ms"}})
	// CatalogValueInvalid is written for a value in the store that can't be decoded.
	CatalogValueInvalid = declare(Event{Number: "GS6105", Level: Warn, Name: "catalog_value_invalid", Limited: true,
		Message: "value in the store can't be decoded",
		Fields:  []string{"key", "revision", "error"}})
	// StoreLost is written when the VM's catalog has not been confirmed by the store for too
	// long, or a call to the store failed.
	StoreLost = declare(Event{Number: "GS6106", Level: Warn, Name: "store_lost", Limited: true,
		Message: "catalog may be out of date, it remains in force",
		Fields:  []string{"revision"}})
	// StoreRegained is written when the VM's catalog is confirmed by the store again, and when
	// another VM reports the end of an outage.
	StoreRegained = declare(Event{Number: "GS6107", Level: Info, Name: "store_regained", Limited: true,
		Message: "catalog is up to date with the store again",
		Fields:  []string{"revision", "since_ms"}})
	// StoreCallFailed is written when a call to the store fails.
	StoreCallFailed = declare(Event{Number: "GS6108", Level: Warn, Name: "store_call_failed", Limited: true,
		Message: "call to the store failed",
		Fields:  []string{"error"}})
	// RelayChanged is written when the VM becomes the relay of its failure domain, which
	// watches the store, or ceases to be it.
	RelayChanged = declare(Event{Number: "GS6109", Level: Info, Name: "relay_changed", Limited: true,
		Message: "VM became the relay of its failure domain, or ceased to be it",
		Fields:  []string{"relay", "revision"}})
	// PullFailed is written when changes can't be pulled from another VM.
	PullFailed = declare(Event{Number: "GS6110", Level: Warn, Name: "pull_failed", Limited: true,
		Message: "changes can't be pulled from another VM",
		Fields:  []string{"peer", "error"}})
	// MemberForgotten is written when the entry of a VM is removed because it has long been dead.
	MemberForgotten = declare(Event{Number: "GS6111", Level: Info, Name: "member_forgotten", Limited: true,
		Message: "entry of a dead VM was removed",
		Fields:  []string{"key", "revision"}})
	// BeatMalformed is written when a heartbeat of another VM can't be decoded.
	BeatMalformed = declare(Event{Number: "GS6112", Level: Warn, Name: "beat_malformed", Limited: true,
		Message: "heartbeat of another VM can't be decoded",
		Fields:  []string{"from", "error"}})
	// BeatSendFailed is written when a heartbeat can't be sent.
	BeatSendFailed = declare(Event{Number: "GS6113", Level: Warn, Name: "beat_send_failed", Limited: true,
		Message: "heartbeat to another VM can't be sent",
		Fields:  []string{"to", "error"}})
	// SnapshotWritten is written when a relay writes the snapshot from which VMs start.
	SnapshotWritten = declare(Event{Number: "GS6114", Level: Info, Name: "snapshot_written", Limited: true,
		Message: "snapshot of the catalog is written to the store",
		Fields:  []string{"revision", "keys", "bytes"}})
	// SnapshotNotWritten is written when a snapshot can't be encoded or is too large.
	SnapshotNotWritten = declare(Event{Number: "GS6115", Level: Warn, Name: "snapshot_not_written", Limited: true,
		Message: "snapshot of the catalog was not written",
		Fields:  []string{"revision", "error"}})
	// SnapshotNotUsed is written when a VM reads all keys since the snapshot is missing,
	// invalid or too old.
	SnapshotNotUsed = declare(Event{Number: "GS6116", Level: Info, Name: "snapshot_not_used", Limited: true,
		Message: "all keys of the store were read, since its snapshot can't be used",
		Fields:  []string{"error"}})
	// StoreRewound is written when the store has returned from an older copy of its data.
	StoreRewound = declare(Event{Number: "GS6117", Level: Warn, Name: "store_rewound", Limited: true,
		Message: "store has returned from an older copy of its data, all keys are read again",
		Fields:  []string{"before", "after"}})
	// PermitClaimed is written when the VM holds permits for cold targets.
	PermitClaimed = declare(Event{Number: "GS6120", Level: Info, Name: "permit_claimed", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "this VM grants new flows of cold targets to the VMs of its failure domain",
		Fields:  []string{"targets", "tokens"}})
	// PermitRefused is written when a claim of permits was refused, or its answer does not count.
	PermitRefused = declare(Event{Number: "GS6121", Level: Warn, Name: "permit_refused", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "this VM does not get the permits of cold targets",
		Fields:  []string{"targets"}})
	// PermitClaimFailed is written when a claim of permits had no answer.
	PermitClaimFailed = declare(Event{Number: "GS6122", Level: Warn, Name: "permit_claim_failed", Limited: true,
		Message: "claim of permits for cold targets had no answer",
		Fields:  []string{"keys", "error"}})
	// TokensReceived is written when the VM is granted new flows of cold targets.
	TokensReceived = declare(Event{Number: "GS6123", Level: Info, Name: "tokens_received", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "this VM may send new flows to cold targets",
		Fields:  []string{"targets", "tokens"}})
	// CapacityChanged is written when the set of failure domains whose targets do not count as
	// capacity changes.
	CapacityChanged = declare(Event{Number: "GS6126", Level: Warn, Name: "capacity_changed", Limited: true,
		Message: "the targets of these failure domains do not count as capacity, at least for one service; an empty list means none",
		Fields:  []string{"domains"}})
	// ChangesReceived is written when changes of the store reach this VM.
	ChangesReceived = declare(Event{Number: "GS6127", Level: Info, Name: "changes_received", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "changes of the store have reached this VM",
		Fields: []string{"revision", "keys", "way", "from", "behind_ms", "known_ms", "pulls_failed", "calls_failed",
			"failed_calls_ms", "retry_ms", "pause_ms", "pages", "queued_ms"}})
	// FlowDecided is written for the first decision of each kind on a flow.
	FlowDecided = declare(Event{Number: "GS6201", Level: Info, Name: "flow_decided", Limited: true, Rate: flowRate, Burst: flowBurst,
		Message: "flow was placed or ended",
		Fields:  []string{"caller", "address", "action", "reason", "target", "target_domain", "version", "revision", "copy", "waited_ms"}})
	// PacketMalformed is written when a datagram can't be decoded as a packet.
	PacketMalformed = declare(Event{Number: "GS6202", Level: Warn, Name: "packet_malformed", Limited: true,
		Message: "malformed packet was dropped",
		Fields:  []string{"error"}})
	// PacketSendFailed is written when a datagram can't be sent.
	PacketSendFailed = declare(Event{Number: "GS6203", Level: Warn, Name: "packet_send_failed", Limited: true,
		Message: "datagram can't be sent",
		Fields:  []string{"to", "error"}})
	// PressureChanged is written when the set of services with limited requests changes.
	PressureChanged = declare(Event{Number: "GS6204", Level: Warn, Name: "pressure_changed", Limited: true,
		Message: "requests of these services are limited because their targets are overloaded; an empty list means none",
		Fields:  []string{"services"}})
	// OutliersChanged is written when the set of outlier targets changes.
	OutliersChanged = declare(Event{Number: "GS6205", Level: Warn, Name: "outliers_changed", Limited: true,
		Message: "these targets are outliers of their service and get no new flows; an empty list means none",
		Fields:  []string{"targets"}})
	// TargetJudged is written when the VM judges a target dead, and when it no longer does.
	TargetJudged = declare(Event{Number: "GS6206", Level: Warn, Name: "target_judged", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "the VM judges this target dead, or no longer",
		Fields:  []string{"target", "target_domain", "dead", "cause", "stuck_flows", "silent_ms", "age_ms", "revision"}})
	// DomainEvacuation is written when the operators' request to evacuate a failure domain comes
	// into force at the VM, and when it no longer is.
	DomainEvacuation = declare(Event{Number: "GS6207", Level: Info, Name: "domain_evacuation", Limited: true, Rate: catalogRate, Burst: decisionBurst,
		Message: "the targets of a failure domain get no new flows, or get them again",
		Fields:  []string{"domain", "evacuated", "revision"}})
	// TargetSpeed is written when the estimated speed of a target leaves the usual range, and
	// when it is back in it.
	TargetSpeed = declare(Event{Number: "GS6209", Level: Info, Name: "target_speed", Limited: true,
		Message: "target is much slower or faster than others of its service, or no longer",
		Fields:  []string{"target", "service", "speed"}})
	// RoutesTooLate is written when the set of routes whose new flows are refused as too late
	// changes.
	RoutesTooLate = declare(Event{Number: "GS6213", Level: Warn, Name: "routes_too_late", Limited: true,
		Message: "new flows of these routes are refused since requests can't be answered before their timeout; an empty list means none",
		Fields:  []string{"routes", "expected_ms", "timeout_ms"}})
	// CookieRealigned is written when a flow opens while another target may hold a half-open flow.
	CookieRealigned = declare(Event{Number: "GS6214", Level: Info, Name: "cookie_realigned", Limited: true,
		Message: "target that may repeat its answer to a flow that is open elsewhere got the SYN again with the cookie of the flow's target",
		Fields:  []string{"caller", "address", "target", "superseded"}})
	// FlowUnopened is written when the VM tells others of a flow that has not opened here.
	FlowUnopened = declare(Event{Number: "GS6215", Level: Info, Name: "flow_unopened", Limited: true, Rate: flowRate, Burst: flowBurst,
		Message: "flow has not opened through this VM, its target may repeat its answer; other VMs are told",
		Fields:  []string{"caller", "address", "target"}})
	// UnopenedFlowReceived is written when another VM tells of an unopened flow that this VM has a record of.
	UnopenedFlowReceived = declare(Event{Number: "GS6216", Level: Info, Name: "unopened_flow_received", Limited: true, Rate: flowRate, Burst: flowBurst,
		Message: "another VM has sent a SYN of this flow, which has not opened there",
		Fields:  []string{"caller", "address", "target", "other", "outcome", "age_ms"}})
	// FlowAdopted is written for the first packet of an open flow that the VM has no record of.
	FlowAdopted = declare(Event{Number: "GS6217", Level: Info, Name: "flow_adopted", Limited: true, Rate: flowRate, Burst: flowBurst,
		Message: "open flow has moved to this VM",
		Fields:  []string{"caller", "address", "target", "by"}})
)

// all lists the events in order of declaration.
var all []*Event

// declare adds an event to all.
func declare(e Event) *Event {
	all = append(all, &e)
	return &e
}

// All returns every event, in order of declaration.
func All() []*Event {
	return all
}
