package wire

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire/wirepb"
)

// mapToPB converts the elements of list to protobuf messages.
func mapToPB[M, P any](list []M, convert func(*M) P) []P {
	out := make([]P, len(list))
	for i := range list {
		out[i] = convert(&list[i])
	}
	return out
}

// mapFromPB converts the elements of list from protobuf messages.
func mapFromPB[M, P any](list []P, convert func(P) *M) []M {
	out := make([]M, len(list))
	for i := range list {
		out[i] = *convert(list[i])
	}
	return out
}

func epochsToPB(epochs []message.Epoch) []uint64 {
	out := make([]uint64, len(epochs))
	for i, e := range epochs {
		out[i] = uint64(e)
	}
	return out
}

func epochsFromPB(epochs []uint64) []message.Epoch {
	out := make([]message.Epoch, len(epochs))
	for i, e := range epochs {
		out[i] = message.Epoch(e)
	}
	return out
}

func memberToPB(m *message.Member) *wirepb.Member {
	return &wirepb.Member{
		Name:        m.Name,
		Id:          uint64(m.ID),
		DomainId:    uint32(m.Domain),
		Data:        endpointToPB(m.Data),
		Control:     endpointToPB(m.Control),
		Incarnation: m.Incarnation,
		State:       uint32(m.State),
	}
}

func memberFromPB(p *wirepb.Member) *message.Member {
	return &message.Member{
		Name:        p.GetName(),
		ID:          message.VMID(p.GetId()),
		Domain:      message.DomainID(p.GetDomainId()),
		Data:        endpointFromPB(p.GetData()),
		Control:     endpointFromPB(p.GetControl()),
		Incarnation: p.GetIncarnation(),
		State:       message.MemberState(p.GetState()),
	}
}

func tablePullToPB(m *message.TablePull) *wirepb.TablePull {
	return &wirepb.TablePull{
		Since: m.Since,
	}
}

func tablePullFromPB(p *wirepb.TablePull) *message.TablePull {
	return &message.TablePull{
		Since: p.GetSince(),
	}
}

func loadReportToPB(m *message.LoadReport) *wirepb.LoadReport {
	return &wirepb.LoadReport{
		Service: uint64(m.Service),
		Target:  uint64(m.Target),
		Flows:   m.Flows,
		Weight:  m.Weight,
		Ejected: m.Ejected,
	}
}

func loadReportFromPB(p *wirepb.LoadReport) *message.LoadReport {
	return &message.LoadReport{
		Service: message.ServiceID(p.GetService()),
		Target:  message.TargetID(p.GetTarget()),
		Flows:   p.GetFlows(),
		Weight:  p.GetWeight(),
		Ejected: p.GetEjected(),
	}
}

func flowRecordToPB(m *message.FlowRecord) *wirepb.FlowRecord {
	return &wirepb.FlowRecord{
		Flow:    flowToPB(m.Flow),
		Service: uint64(m.Service),
		Floor:   uint64(m.Floor),
		IdleUs:  toMicros(m.Idle),
		Fresh:   m.Fresh,
		Epochs:  epochsToPB(m.Epochs),
	}
}

func flowRecordFromPB(p *wirepb.FlowRecord) *message.FlowRecord {
	return &message.FlowRecord{
		Flow:    flowFromPB(p.GetFlow()),
		Service: message.ServiceID(p.GetService()),
		Floor:   message.RequestID(p.GetFloor()),
		Idle:    fromMicros(p.GetIdleUs()),
		Fresh:   p.GetFresh(),
		Epochs:  epochsFromPB(p.GetEpochs()),
	}
}

func logRecordToPB(m *message.LogRecord) *wirepb.LogRecord {
	return &wirepb.LogRecord{
		Flow:        flowToPB(m.Key.Flow),
		Id:          uint64(m.Key.ID),
		Attempt:     m.Attempt,
		State:       uint32(m.State),
		ExpiresInUs: toMicros(m.ExpiresIn),
		Idempotent:  m.Idempotent,
	}
}

func logRecordFromPB(p *wirepb.LogRecord) *message.LogRecord {
	return &message.LogRecord{
		Key:        message.RequestKey{Flow: flowFromPB(p.GetFlow()), ID: message.RequestID(p.GetId())},
		Attempt:    p.GetAttempt(),
		State:      uint8(p.GetState()),
		ExpiresIn:  fromMicros(p.GetExpiresInUs()),
		Idempotent: p.GetIdempotent(),
	}
}

func inFlightRecordToPB(m *message.InFlightRecord) *wirepb.InFlightRecord {
	return &wirepb.InFlightRecord{
		Flow:     flowToPB(m.Key.Flow),
		Id:       uint64(m.Key.ID),
		Attempt:  m.Attempt,
		Caller:   endpointToPB(m.Caller),
		EndsInUs: toMicros(m.EndsIn),
	}
}

func inFlightRecordFromPB(p *wirepb.InFlightRecord) *message.InFlightRecord {
	return &message.InFlightRecord{
		Key:     message.RequestKey{Flow: flowFromPB(p.GetFlow()), ID: message.RequestID(p.GetId())},
		Attempt: p.GetAttempt(),
		Caller:  endpointFromPB(p.GetCaller()),
		EndsIn:  fromMicros(p.GetEndsInUs()),
	}
}

func movedRecordToPB(m *message.MovedRecord) *wirepb.MovedRecord {
	return &wirepb.MovedRecord{
		Flow:     flowToPB(m.Flow),
		To:       uint64(m.To),
		EndsInUs: toMicros(m.EndsIn),
	}
}

func movedRecordFromPB(p *wirepb.MovedRecord) *message.MovedRecord {
	return &message.MovedRecord{
		Flow:   flowFromPB(p.GetFlow()),
		To:     message.TargetID(p.GetTo()),
		EndsIn: fromMicros(p.GetEndsInUs()),
	}
}

func queuedRequestToPB(m *message.QueuedRequest) *wirepb.QueuedRequest {
	return &wirepb.QueuedRequest{
		Caller:  endpointToPB(m.Caller),
		Ingress: uint64(m.Ingress),
		Parts:   mapToPB(m.Parts, requestToPB),
	}
}

func queuedRequestFromPB(p *wirepb.QueuedRequest) *message.QueuedRequest {
	return &message.QueuedRequest{
		Caller:  endpointFromPB(p.GetCaller()),
		Ingress: message.VMID(p.GetIngress()),
		Parts:   mapFromPB(p.GetParts(), requestFromPB),
	}
}

func handoverToPB(m *message.Handover) *wirepb.Handover {
	return &wirepb.Handover{
		Target:   uint64(m.Target),
		Service:  uint64(m.Service),
		DomainId: uint32(m.Domain),
		Addr:     endpointToPB(m.Addr),
		Limit:    m.Limit,
		Reply:    endpointToPB(m.Reply),
		Source:   uint64(m.Source),
		Transfer: m.Transfer,
		Chunk:    m.Chunk,
		Last:     m.Last,
		Epochs:   epochsToPB(m.Epochs),
		Flows:    mapToPB(m.Flows, flowRecordToPB),
		Log:      mapToPB(m.Log, logRecordToPB),
		Queue:    mapToPB(m.Queue, queuedRequestToPB),
		InFlight: mapToPB(m.InFlight, inFlightRecordToPB),
		Moved:    mapToPB(m.Moved, movedRecordToPB),
	}
}

func handoverFromPB(p *wirepb.Handover) *message.Handover {
	return &message.Handover{
		Target:   message.TargetID(p.GetTarget()),
		Service:  message.ServiceID(p.GetService()),
		Domain:   message.DomainID(p.GetDomainId()),
		Addr:     endpointFromPB(p.GetAddr()),
		Limit:    p.GetLimit(),
		Reply:    endpointFromPB(p.GetReply()),
		Source:   message.TargetID(p.GetSource()),
		Transfer: p.GetTransfer(),
		Chunk:    p.GetChunk(),
		Last:     p.GetLast(),
		Epochs:   epochsFromPB(p.GetEpochs()),
		Flows:    mapFromPB(p.GetFlows(), flowRecordFromPB),
		Log:      mapFromPB(p.GetLog(), logRecordFromPB),
		Queue:    mapFromPB(p.GetQueue(), queuedRequestFromPB),
		InFlight: mapFromPB(p.GetInFlight(), inFlightRecordFromPB),
		Moved:    mapFromPB(p.GetMoved(), movedRecordFromPB),
	}
}

func handoverAckToPB(m *message.HandoverAck) *wirepb.HandoverAck {
	return &wirepb.HandoverAck{
		Target:   uint64(m.Target),
		Transfer: m.Transfer,
		Accepted: m.Accepted,
	}
}

func handoverAckFromPB(p *wirepb.HandoverAck) *message.HandoverAck {
	return &message.HandoverAck{
		Target:   message.TargetID(p.GetTarget()),
		Transfer: p.GetTransfer(),
		Accepted: p.GetAccepted(),
	}
}

func releasedToPB(m *message.Released) *wirepb.Released {
	p := &wirepb.Released{Target: uint64(m.Target)}
	if m.Answer != nil {
		p.Answer = answerToPB(m.Answer)
	}
	if m.Shed != nil {
		p.Shed = shedToPB(m.Shed)
	}
	return p
}

func releasedFromPB(p *wirepb.Released) *message.Released {
	m := &message.Released{Target: message.TargetID(p.GetTarget())}
	if p.GetAnswer() != nil {
		m.Answer = answerFromPB(p.GetAnswer())
	}
	if p.GetShed() != nil {
		m.Shed = shedFromPB(p.GetShed())
	}
	return m
}

func tableDeltaToPB(m *message.TableDelta) *wirepb.TableDelta {
	return &wirepb.TableDelta{
		Entries: mapToPB(m.Entries, tableEntryToPB),
		More:    m.More,
	}
}

func tableDeltaFromPB(p *wirepb.TableDelta) *message.TableDelta {
	return &message.TableDelta{
		Entries: mapFromPB(p.GetEntries(), tableEntryFromPB),
		More:    p.GetMore(),
	}
}

func membersToPB(m *message.Members) *wirepb.Members {
	return &wirepb.Members{
		All: mapToPB(m.All, memberToPB),
	}
}

func membersFromPB(p *wirepb.Members) *message.Members {
	return &message.Members{
		All: mapFromPB(p.GetAll(), memberFromPB),
	}
}

func heartbeatToPB(m *message.Heartbeat) *wirepb.Heartbeat {
	return &wirepb.Heartbeat{
		Sequence:     m.Sequence,
		Self:         memberToPB(&m.Self),
		Updates:      mapToPB(m.Updates, memberToPB),
		TableVersion: m.TableVersion,
		TableHash:    m.TableHash,
		DigestDomain: uint32(m.DigestDomain),
		Digest:       m.Digest,
	}
}

func heartbeatFromPB(p *wirepb.Heartbeat) *message.Heartbeat {
	return &message.Heartbeat{
		Sequence:     p.GetSequence(),
		Self:         *memberFromPB(p.GetSelf()),
		Updates:      mapFromPB(p.GetUpdates(), memberFromPB),
		TableVersion: p.GetTableVersion(),
		TableHash:    p.GetTableHash(),
		DigestDomain: message.DomainID(p.GetDigestDomain()),
		Digest:       p.GetDigest(),
	}
}

func domainPullToPB(m *message.DomainPull) *wirepb.DomainPull {
	return &wirepb.DomainPull{
		DomainId: uint32(m.Domain),
		Buckets:  m.Buckets,
	}
}

func domainPullFromPB(p *wirepb.DomainPull) *message.DomainPull {
	return &message.DomainPull{
		Domain:  message.DomainID(p.GetDomainId()),
		Buckets: p.GetBuckets(),
	}
}

func domainMembersToPB(m *message.DomainMembers) *wirepb.DomainMembers {
	return &wirepb.DomainMembers{
		DomainId:  uint32(m.Domain),
		Buckets:   m.Buckets,
		Differing: m.Differing,
		Listed:    m.Listed,
		Members:   mapToPB(m.Members, memberToPB),
	}
}

func domainMembersFromPB(p *wirepb.DomainMembers) *message.DomainMembers {
	return &message.DomainMembers{
		Domain:    message.DomainID(p.GetDomainId()),
		Buckets:   p.GetBuckets(),
		Differing: p.GetDiffering(),
		Listed:    p.GetListed(),
		Members:   mapFromPB(p.GetMembers(), memberFromPB),
	}
}

func tableEntryToPB(m *message.TableEntry) *wirepb.TableEntry {
	return &wirepb.TableEntry{Key: m.Key, Value: m.Value, Deleted: m.Value == nil, Revision: m.Revision}
}

// tableEntryFromPB returns a nil Value for a deletion and an empty one for an empty value,
// which a proto3 bytes field does not distinguish.
func tableEntryFromPB(p *wirepb.TableEntry) *message.TableEntry {
	m := &message.TableEntry{Key: p.GetKey(), Revision: p.GetRevision()}
	if !p.GetDeleted() {
		m.Value = append([]byte{}, p.GetValue()...)
	}
	return m
}
