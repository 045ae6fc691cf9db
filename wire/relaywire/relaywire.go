// Package relaywire encodes the messages of package decide/relay: protobuf, a
// message a datagram or HTTP body.
package relaywire

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/wire/relaypb"
)

// ErrMalformed means that bytes are no message of the expected type.
var ErrMalformed = errors.New("message between VMs is malformed")

// MaxHeartbeatSize is the size of the largest encoded heartbeat in bytes. It fits one
// datagram.
const MaxHeartbeatSize = 1400

// AppendHeartbeat appends the encoding of a heartbeat to dst. It returns ErrMalformed
// if the encoding is larger than MaxHeartbeatSize.
func AppendHeartbeat(dst []byte, b relay.Heartbeat) ([]byte, error) {
	m := &relaypb.Beat{
		Name:      b.Name,
		Domain:    b.Domain,
		Reply:     b.Reply,
		Revision:  b.Revision,
		Confirmed: fromConfirmation(b.Confirmed),
		HasItems:  b.HasItems,
		After:     b.After,
		Items:     fromItems(b.Items),
	}
	for _, l := range b.Loads {
		m.Loads = append(m.Loads, &relaypb.Load{Domain: l.Domain, At: l.TargetDomain, Service: l.Service, Flows: l.Flows, Busy: l.ActiveRequests})
	}
	for _, s := range b.Samples {
		m.Samples = append(m.Samples, &relaypb.Sample{Target: s.TargetCookie, Asked: s.Requests, Bad: s.Failures})
	}
	out, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err != nil {
		return dst, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(out)-len(dst) > MaxHeartbeatSize {
		return dst, fmt.Errorf("beat of %d bytes: %w", len(out)-len(dst), ErrMalformed)
	}
	return out, nil
}

// DecodeHeartbeat decodes a heartbeat. It returns ErrMalformed.
func DecodeHeartbeat(data []byte) (relay.Heartbeat, error) {
	var m relaypb.Beat
	if err := proto.Unmarshal(data, &m); err != nil {
		return relay.Heartbeat{}, fmt.Errorf("beat: %w: %w", ErrMalformed, err)
	}
	if m.GetName() == "" || m.GetDomain() == "" {
		return relay.Heartbeat{}, fmt.Errorf("beat without a sender: %w", ErrMalformed)
	}
	b := relay.Heartbeat{
		Name:      m.GetName(),
		Domain:    m.GetDomain(),
		Reply:     m.GetReply(),
		Revision:  m.GetRevision(),
		Confirmed: toConfirmation(m.GetConfirmed()),
		HasItems:  m.GetHasItems(),
		After:     m.GetAfter(),
	}
	if b.HasItems {
		b.Items = toItems(m.GetItems())
	}
	for _, l := range m.GetLoads() {
		b.Loads = append(b.Loads, relay.Load{Domain: l.GetDomain(), TargetDomain: l.GetAt(), Service: l.GetService(), Flows: l.GetFlows(), ActiveRequests: l.GetBusy()})
	}
	for _, s := range m.GetSamples() {
		b.Samples = append(b.Samples, relay.Sample{TargetCookie: s.GetTarget(), Requests: s.GetAsked(), Failures: s.GetBad()})
	}
	return b, nil
}

// EncodeUpdate encodes the answer to a pull.
func EncodeUpdate(n relay.Update) ([]byte, error) {
	m := &relaypb.News{
		Revision:  n.Revision,
		Confirmed: fromConfirmation(n.Confirmed),
		Complete:  n.Complete,
		Items:     fromItems(n.Items),
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("news: %w: %w", ErrMalformed, err)
	}
	return data, nil
}

// DecodeUpdate decodes the answer to a pull. It returns ErrMalformed.
func DecodeUpdate(data []byte) (relay.Update, error) {
	var m relaypb.News
	if err := proto.Unmarshal(data, &m); err != nil {
		return relay.Update{}, fmt.Errorf("news: %w: %w", ErrMalformed, err)
	}
	return relay.Update{
		Revision:  m.GetRevision(),
		Confirmed: toConfirmation(m.GetConfirmed()),
		Complete:  m.GetComplete(),
		Items:     toItems(m.GetItems()),
	}, nil
}

func fromItems(items []relay.Item) []*relaypb.Item {
	list := make([]*relaypb.Item, 0, len(items))
	for _, item := range items {
		list = append(list, &relaypb.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted})
	}
	return list
}

func toItems(items []*relaypb.Item) []relay.Item {
	list := make([]relay.Item, 0, len(items))
	for _, item := range items {
		list = append(list, relay.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Deleted: item.GetDeleted()})
	}
	return list
}

func fromConfirmation(c relay.Confirmation) *relaypb.Confirmation {
	if c.Revision == 0 {
		return nil
	}
	return &relaypb.Confirmation{
		Revision:   c.Revision,
		AgeMs:      millis(c.Age),
		RegainedMs: millis(c.SinceRegained),
		Regained:   c.HasRegained,
	}
}

// millis rounds up, so that knowledge never looks newer than it is.
func millis(d time.Duration) uint32 {
	const most = 1 << 31
	return uint32(min(max((d+time.Millisecond-1)/time.Millisecond, 0), most))
}

func toConfirmation(m *relaypb.Confirmation) relay.Confirmation {
	return relay.Confirmation{
		Revision:      m.GetRevision(),
		Age:           time.Duration(m.GetAgeMs()) * time.Millisecond,
		SinceRegained: time.Duration(m.GetRegainedMs()) * time.Millisecond,
		HasRegained:   m.GetRegained(),
	}
}
