// Package requestlog decides whether a request may be dispatched to a target.
// One Log belongs to one owned target and, through the epoch in the binding, is
// the only log that decides on requests with that epoch.
//
// An entry moves through these states:
//
//	(none) -> Queued              Begin
//	(none) -> Refused             Refuse
//	Queued -> Dispatched          Dispatch
//	Queued -> Refused             Refuse
//	Dispatched -> Done            RecordPart
//	Dispatched -> Refused         RecordShed: the target did not start it
//	Refused -> Queued             Begin with a higher attempt
//	Dispatched, Done -> Queued    Restart: idempotent requests only
//	any -> (none)                 Expire, RemoveFlow
//
// Import may also add an entry in any state, or replace one that did not run. No other
// transition exists.
//
// The rules are those of at-most-once remote calls: A. Birrell, B. Nelson,
// "Implementing remote procedure calls", ACM TOCS 2(1), 1984, with the epoch of
// the binding as fencing token.
//
// Times are durations since the start of the VM. A Log is not safe for
// concurrent use. The package reports outcomes as values and has no errors.
package requestlog
