package requestlog

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Export returns the entries of the flows that filter accepts. It changes nothing; the
// caller must not dispatch these requests afterwards. The order depends only on the
// previous calls. Answers and causes are not exported.
func (l *Log) Export(now time.Duration, filter func(message.FlowID) bool) []message.LogRecord {
	var records []message.LogRecord
	for _, e := range l.expiry {
		if filter(e.key.Flow) {
			records = append(records, e.export(now))
		}
	}
	return records
}

func (e *entry) export(now time.Duration) message.LogRecord {
	return message.LogRecord{
		Key:        e.key,
		Attempt:    e.attempt,
		State:      uint8(e.state),
		ExpiresIn:  e.expires - now,
		Idempotent: e.idempotent,
	}
}

// Import adds the entries of a previous owner. Unknown states count as Dispatched. If a
// request already has an entry, the one that may have run stays; of two that did not run,
// the higher attempt stays, and of the same attempt the refused one. A repeated import
// therefore never allows a second dispatch. The cause of imported refusals is
// message.CauseOwnerMoved.
func (l *Log) Import(now time.Duration, records []message.LogRecord) {
	for _, r := range records {
		l.importRecord(now, r)
	}
}

func (l *Log) importRecord(now time.Duration, r message.LogRecord) {
	e := l.entries[r.Key]
	if e == nil {
		e = l.addEntry(r.Key, now+r.ExpiresIn)
	} else if !e.replacedBy(r) {
		return
	}
	l.extendExpiry(e, now+r.ExpiresIn)
	e.attempt = r.Attempt
	e.idempotent = r.Idempotent
	e.cause = message.CauseOwnerMoved
	state := importedState(r)
	e.imported = state == Dispatched
	l.setState(e, state)
}

// importedState returns the state of a record, or Dispatched for unknown states.
func importedState(r message.LogRecord) State {
	s := State(r.State)
	if s.mayHaveRun() && s != Done {
		return Dispatched
	}
	return s
}

// replacedBy reports whether an imported record replaces e.
func (e *entry) replacedBy(r message.LogRecord) bool {
	if e.state.mayHaveRun() {
		return false
	}
	if State(r.State).mayHaveRun() {
		return true
	}
	if r.Attempt != e.attempt {
		return r.Attempt > e.attempt
	}
	return State(r.State) == Refused
}
