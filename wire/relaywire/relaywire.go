// Package relaywire is the protobuf codec of the messages in decide/relay. A datagram or
// an HTTP body holds one encoded message.
package relaywire

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/wire/relaypb"
)

// ErrMalformed means that the bytes are not a message of the expected type, or that a
// message can't be encoded.
var ErrMalformed = errors.New("message between VMs is malformed")

// MaxHeartbeatSize is the size of the largest encoded heartbeat in bytes. It fits one
// datagram.
const MaxHeartbeatSize = 1400

// AppendHeartbeat appends the encoding of a heartbeat to dst. It returns ErrMalformed
// if the encoding is larger than MaxHeartbeatSize.
func AppendHeartbeat(dst []byte, h relay.Heartbeat) ([]byte, error) {
	m := &relaypb.Beat{
		Name:      h.Name,
		Domain:    h.Domain,
		Reply:     h.Reply,
		Revision:  h.Revision.Number(),
		Era:       eraToPB(h.Revision, h.WithoutEra),
		Confirmed: confirmationToPB(h.Confirmed),
		HasItems:  h.HasItems,
		After:     h.After.Number(),
		AfterEra:  h.After.Era(),
		Items:     itemsToPB(h.Items),
		Boot:      h.Boot,
		Grantee:   h.Grantee,

		UnansweredBy: h.UnansweredBy,
		Keep:         h.Keep,
	}
	for _, l := range h.Loads {
		m.Loads = append(m.Loads, &relaypb.Load{Domain: l.Domain, At: l.TargetDomain, Service: l.Service, Flows: l.Flows, Busy: l.ActiveRequests})
	}
	for _, s := range h.Samples {
		m.Samples = append(m.Samples, &relaypb.Sample{Target: s.TargetCookie, Asked: s.Requests, Bad: s.Failures})
	}
	for _, g := range h.Grants {
		m.Grants = append(m.Grants, &relaypb.Grant{Target: g.TargetCookie, Born: g.Born, Tokens: g.Tokens})
	}
	addFlows(m, h)
	for _, r := range h.Reports {
		m.Reports = append(m.Reports, &relaypb.TargetReport{Target: r.TargetCookie, Flows: r.Flows, Busy: r.ActiveRequests, Requests: r.Requests, RelativeTime: r.RelativeTime})
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err != nil {
		return dst, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(out)-len(dst) > MaxHeartbeatSize {
		return dst, fmt.Errorf("heartbeat of %d bytes: %w", len(out)-len(dst), ErrMalformed)
	}
	return out, nil
}

// DecodeHeartbeat decodes a heartbeat. It returns ErrMalformed.
func DecodeHeartbeat(data []byte) (relay.Heartbeat, error) {
	var m relaypb.Beat
	if err := proto.Unmarshal(data, &m); err != nil {
		return relay.Heartbeat{}, fmt.Errorf("heartbeat: %w: %w", ErrMalformed, err)
	}
	if m.GetName() == "" || m.GetDomain() == "" {
		return relay.Heartbeat{}, fmt.Errorf("heartbeat without a sender: %w", ErrMalformed)
	}
	h := relay.Heartbeat{
		Name:      m.GetName(),
		Domain:    m.GetDomain(),
		Reply:     m.GetReply(),
		Revision:  revision.New(m.GetEra(), m.GetRevision()),
		Confirmed: confirmationFromPB(m.GetConfirmed()),
		HasItems:  m.GetHasItems(),
		After:     revision.New(m.GetAfterEra(), m.GetAfter()),
		Boot:      m.GetBoot(),

		WithoutEra: m.Era == nil,
		Grantee:    m.GetGrantee(),

		UnansweredBy: m.GetUnansweredBy(),
		Keep:         m.GetKeep(),
	}
	if h.HasItems {
		h.Items = itemsFromPB(m.GetItems())
	}
	for _, l := range m.GetLoads() {
		h.Loads = append(h.Loads, relay.Load{Domain: l.GetDomain(), TargetDomain: l.GetAt(), Service: l.GetService(), Flows: l.GetFlows(), ActiveRequests: l.GetBusy()})
	}
	for _, s := range m.GetSamples() {
		h.Samples = append(h.Samples, relay.Sample{TargetCookie: s.GetTarget(), Requests: s.GetAsked(), Failures: s.GetBad()})
	}
	for _, g := range m.GetGrants() {
		h.Grants = append(h.Grants, relay.Grant{TargetCookie: g.GetTarget(), Born: g.GetBorn(), Tokens: g.GetTokens()})
	}
	h.Unopened, h.Opened = flowsFromPB(&m)
	for _, r := range m.GetReports() {
		h.Reports = append(h.Reports, relay.TargetReport{TargetCookie: r.GetTarget(), Flows: r.GetFlows(), ActiveRequests: r.GetBusy(), Requests: r.GetRequests(), RelativeTime: r.GetRelativeTime()})
	}
	return h, nil
}

// EncodeUpdate encodes the answer to a pull.
func EncodeUpdate(u relay.Update) ([]byte, error) {
	data, err := EncodeChanges(u)
	if err != nil {
		return nil, err
	}
	confirmed, err := EncodeConfirmation(u.Confirmed)
	return append(data, confirmed...), err
}

// EncodeChanges encodes an update without its confirmation. Followed by the result of
// EncodeConfirmation it is the whole update, since concatenated protobuf messages are one.
func EncodeChanges(u relay.Update) ([]byte, error) {
	return marshalNews(&relaypb.News{
		Revision: u.Revision.Number(),
		Era:      eraToPB(u.Revision, u.WithoutEra),
		Complete: u.Complete,
		Items:    itemsToPB(u.Items),
	})
}

// EncodeConfirmation encodes the confirmation of an update, which changes with time.
func EncodeConfirmation(c relay.Confirmation) ([]byte, error) {
	return marshalNews(&relaypb.News{Confirmed: confirmationToPB(c)})
}

func marshalNews(m *relaypb.News) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("update: %w: %w", ErrMalformed, err)
	}
	return data, nil
}

// DecodeUpdate decodes the answer to a pull. It returns ErrMalformed.
func DecodeUpdate(data []byte) (relay.Update, error) {
	var m relaypb.News
	if err := proto.Unmarshal(data, &m); err != nil {
		return relay.Update{}, fmt.Errorf("update: %w: %w", ErrMalformed, err)
	}
	return relay.Update{
		Revision:  revision.New(m.GetEra(), m.GetRevision()),
		Confirmed: confirmationFromPB(m.GetConfirmed()),
		Complete:  m.GetComplete(),
		Items:     itemsFromPB(m.GetItems()),

		WithoutEra: m.Era == nil,
	}, nil
}

// eraToPB returns the era of a message's revision, nil for a message without one.
func eraToPB(r revision.Revision, withoutEra bool) *uint32 {
	if withoutEra {
		return nil
	}
	return proto.Uint32(r.Era())
}

func itemsToPB(items []relay.Item) []*relaypb.Item {
	list := make([]*relaypb.Item, 0, len(items))
	for _, item := range items {
		list = append(list, &relaypb.Item{Key: item.Key, Value: item.Value, Revision: item.Revision.Number(), Era: item.Revision.Era(), Deleted: item.Deleted})
	}
	return list
}

func itemsFromPB(items []*relaypb.Item) []relay.Item {
	list := make([]relay.Item, 0, len(items))
	for _, item := range items {
		list = append(list, relay.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: revision.New(item.GetEra(), item.GetRevision()), Deleted: item.GetDeleted()})
	}
	return list
}

func confirmationToPB(c relay.Confirmation) *relaypb.Confirmation {
	if c.Revision == 0 {
		return nil
	}
	return &relaypb.Confirmation{
		Revision:   c.Revision.Number(),
		Era:        c.Revision.Era(),
		AgeMs:      roundUpMillis(c.Age),
		RegainedMs: roundUpMillis(c.SinceRegained),
		Regained:   c.HasRegained,
	}
}

// roundUpMillis converts d to milliseconds, rounded up so that a confirmation never
// appears newer than it is.
func roundUpMillis(d time.Duration) uint32 {
	const maxMillis = 1 << 31
	return uint32(min(max((d+time.Millisecond-1)/time.Millisecond, 0), maxMillis))
}

func confirmationFromPB(m *relaypb.Confirmation) relay.Confirmation {
	return relay.Confirmation{
		Revision:      revision.New(m.GetEra(), m.GetRevision()),
		Age:           time.Duration(m.GetAgeMs()) * time.Millisecond,
		SinceRegained: time.Duration(m.GetRegainedMs()) * time.Millisecond,
		HasRegained:   m.GetRegained(),
	}
}
