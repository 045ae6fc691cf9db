package relay

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// perform carries out the machine's output.
func (s *Service) perform(now time.Duration, out relay.Output) {
	if out.StoreLost && !out.StoreLostLast {
		s.reportStoreLost()
	}
	if out.StoreRegained {
		s.reportStoreRegained(now, out.RegainedAt)
	}
	if out.StoreLostLast {
		s.reportStoreLost()
	}
	s.forwardChanges(now, out.Changes, out.EraChanges)
	s.reportLacking()
	s.receiveGrants(now, out.Grants)
	if len(out.Unanswered) > 0 {
		s.pending = append(s.pending, packets.Input{Unanswered: out.Unanswered})
	}
	if len(out.Unopened) > 0 {
		s.pending = append(s.pending, packets.Input{Unopened: out.Unopened})
	}
	if len(out.Opened) > 0 {
		s.pending = append(s.pending, packets.Input{Opened: out.Opened})
	}
	for _, o := range out.Heartbeats {
		s.sendHeartbeat(o)
	}
	if out.Pull != nil {
		s.pulls.Pull(*out.Pull)
	}
	if out.RemoveEntry != nil {
		item := *out.RemoveEntry
		item.Deleted = true
		s.watch.Write(catalogwatch.Write{Item: item})
		s.log.Log(events.MemberForgotten, events.F("key", item.Key), events.F("revision", item.Revision))
	}
	if out.Snapshot != nil {
		s.writeSnapshot(*out.Snapshot)
	}
	s.updateWatch(now, out.RetryNow)
}

// reportLacking tells "packets" when this VM learns that it lacks changes, and when it has them.
func (s *Service) reportLacking() {
	lacking := s.machine.LacksChanges()
	if lacking == s.lacking {
		return
	}
	s.lacking = lacking
	state := packets.ChangesComplete
	if lacking {
		state = packets.ChangesLacking
	}
	s.pending = append(s.pending, packets.Input{Store: state})
}

// reportStoreLost logs the loss of the store and passes it to "packets".
func (s *Service) reportStoreLost() {
	s.log.Log(events.StoreLost, events.F("revision", s.machine.Replica().Revision()))
	s.pending = append(s.pending, packets.Input{Store: packets.StoreLost})
}

// reportStoreRegained does the same for the end of an outage.
func (s *Service) reportStoreRegained(now, at time.Duration) {
	s.log.Log(events.StoreRegained,
		events.F("revision", s.machine.Replica().Revision()),
		events.F("since_ms", (now-at).Milliseconds()))
	s.pending = append(s.pending, packets.Input{Store: packets.StoreRegained, RegainedAt: at})
}

// writeSnapshot queues the write of a snapshot. One that is too large for the store is not
// written: VMs then start by reading the keys.
func (s *Service) writeSnapshot(snapshot relay.Snapshot) {
	value, err := relaywire.EncodeSnapshot(snapshot.Update)
	if err == nil && len(value) > maxSnapshotSize {
		err = fmt.Errorf("%d bytes: %w", len(value), ErrSnapshotTooLarge)
	}
	if err != nil {
		s.log.Log(events.SnapshotNotWritten, events.F("revision", snapshot.Update.Revision), events.F("error", err))
		return
	}
	s.watch.Write(catalogwatch.Write{Item: relay.Item{Key: snapshot.Key, Value: value, Revision: snapshot.Revision}})
	s.log.Log(events.SnapshotWritten, events.F("revision", snapshot.Update.Revision), events.F("keys", len(snapshot.Update.Items)), events.F("bytes", len(value)))
}

// updateWatch starts or stops the watch of the store as the machine's role requires, ends the delay
// before a retry if that is requested, and logs a change of the role.
func (s *Service) updateWatch(now time.Duration, retryNow bool) {
	revision := s.machine.Replica().Revision()
	if revision == 0 {
		// The first read of the store has not finished.
		return
	}
	watching := s.machine.ShouldWatch(now)
	slowRetry := s.machine.UsesSlowRetry(now)
	s.watch.SetSlowRetry(slowRetry)
	retryNow = retryNow || s.slowRetry && !slowRetry
	s.slowRetry = slowRetry
	if watching != s.watching {
		s.watching = watching
		s.watch.SetWatching(watching, revision)
	} else if retryNow {
		s.watch.RetryNow()
	}
	if isRelay := s.machine.IsRelay(); isRelay != s.wasRelay {
		s.wasRelay = isRelay
		s.log.Log(events.RelayChanged, events.F("relay", isRelay), events.F("revision", revision))
	}
}

// forwardChanges decodes changed items and queues them for "packets", those of a later era
// after the message that the store has entered it. The first time it appends the marker that
// the replica is complete, and after a new era that the first read of the era is.
func (s *Service) forwardChanges(now time.Duration, changes []relay.Item, eraChanges []relay.EraChange) {
	risen := eraChanges
	for _, item := range changes {
		for len(eraChanges) > 0 && item.Revision.Era() >= eraChanges[0].After {
			s.enterEra(now, eraChanges[0])
			eraChanges = eraChanges[1:]
		}
		if s.cold.holder.IsPermit(item.Key) {
			s.logOutcome(s.cold.holder.ApplyPermit(now, item))
			continue
		}
		change, ok, err := s.config.Decoder.Decode(item.Key, item.Value, item.Deleted, item.Revision)
		if err != nil {
			s.invalid.Add(1)
			s.log.Log(events.CatalogValueInvalid,
				events.F("key", item.Key),
				events.F("revision", item.Revision),
				events.F("error", err))
		}
		if ok {
			s.cold.holder.Apply(now, change)
			s.cold.started = s.cold.started || s.cold.holder.IsStart(change)
			s.pending = append(s.pending, packets.Input{Change: change, QueuedAt: now})
		}
	}
	for _, c := range eraChanges {
		s.enterEra(now, c)
	}
	revision := s.machine.Replica().Revision()
	if (!s.synced || len(risen) > 0) && revision > 0 {
		s.synced = true
		s.nextLoadReport = 0 // the size of the fleet is known from now on
		s.pending = append(s.pending, packets.Input{Change: catalog.Change{Revision: revision, Synced: true}, QueuedAt: now})
	}
}

// enterEra logs a return of the store from an older copy and tells "packets" of it. The VM's own
// entry may be lost, so that it is written again soon.
func (s *Service) enterEra(now time.Duration, c relay.EraChange) {
	s.log.Log(events.StoreRewound, events.F("before", c.Before), events.F("after", c.After))
	s.pending = append(s.pending, packets.Input{Store: packets.StoreRewound})
	s.nextRegister = now + s.machine.RegistrationDelay()
}

// flushPending passes pending inputs to "packets" and reports whether none is left.
func (s *Service) flushPending() bool {
	for i, in := range s.pending {
		if !s.packets.TryPut(in) {
			s.pending = s.pending[i:]
			return false
		}
	}
	s.pending = s.pending[:0]
	return true
}

func (s *Service) sendHeartbeat(o relay.Outgoing) {
	data, err := relaywire.AppendHeartbeat(s.buf[:0], o.Heartbeat)
	if err == nil {
		s.buf = data
		_, err = s.conn.WriteToUDPAddrPort(data, o.To)
	}
	if err != nil {
		s.log.Log(events.BeatSendFailed, events.F("to", o.To), events.F("error", err))
		return
	}
	s.heartbeatsSent.Add(1)
}
