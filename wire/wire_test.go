package wire

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire/wirepb"
)

// bodies returns one value of every message type of the wire format.
func bodies() []message.Body {
	return []message.Body{
		&message.Open{}, &message.Bound{}, &message.Request{}, &message.Answer{}, &message.Refusal{},
		&message.Cancel{}, &message.Close{}, &message.Forward{}, &message.KindClosed{}, &message.Dispatch{},
		&message.TargetCancel{}, &message.FlowEnd{}, &message.Shed{}, &message.Heartbeat{},
		&message.HeartbeatAck{}, &message.MembersPull{}, &message.Members{}, &message.TablePull{},
		&message.DomainPull{}, &message.DomainMembers{},
		&message.TableDelta{}, &message.LoadReport{}, &message.Handover{},
		&message.HandoverAck{}, &message.Released{},
	}
}

// fill sets all fields of v, recursively, to values other than their zero values, so that
// a field that is missing from the codec shows up as a difference.
func fill(v reflect.Value) {
	if v.Type() == reflect.TypeFor[netip.AddrPort]() {
		v.Set(reflect.ValueOf(netip.MustParseAddrPort("127.0.0.9:4567")))
		return
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		v.Set(reflect.ValueOf(1500 * time.Microsecond))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0))
		fill(v.Index(1))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Interface:
		inner := &message.Request{}
		fill(reflect.ValueOf(inner).Elem())
		v.Set(reflect.ValueOf(inner))
	case reflect.String:
		v.SetString("name")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int64:
		v.SetInt(3)
	default:
		v.SetUint(3)
	}
}

// Guards against fields that the codec does not encode or decode.
func TestRoundTripKeepsEveryField(t *testing.T) {
	for _, body := range bodies() {
		t.Run(reflect.TypeOf(body).Elem().Name(), func(t *testing.T) {
			is := is.New(t)
			fill(reflect.ValueOf(body).Elem())
			makePartsValid(body)
			data, err := Append(nil, body)
			is.NoErr(err)
			got, err := Decode(data)
			is.NoErr(err)
			is.Equal(got, body)
		})
	}
}

// makePartsValid sets part numbers that Decode accepts.
func makePartsValid(body message.Body) {
	switch m := body.(type) {
	case *message.Request:
		m.Part = 2
	case *message.Answer:
		m.Part = 2
	case *message.Dispatch:
		m.Part = 2
	case *message.Forward:
		makePartsValid(m.Inner)
	case *message.Released:
		m.Answer.Part = 2
	}
}

// Guards against messages with values outside the ranges that the decide packages rely on.
func TestDecodeRejects(t *testing.T) {
	encode := func(body message.Body) []byte {
		data, err := Append(nil, body)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	otherVersion, err := proto.Marshal(&wirepb.Envelope{Version: Version + 1})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrVersion},
		{"garbage", []byte{0xff, 0xff, 0xff}, ErrMalformed},
		{"truncated", encode(&message.Open{Service: 7, Flow: message.FlowID{Hi: 1, Lo: 2}})[:9], ErrMalformed},
		{"foreign version", otherVersion, ErrVersion},
		{"no parts", encode(&message.Request{}), ErrOutOfRange},
		{"part beyond parts", encode(&message.Answer{Part: 3, Parts: 3}), ErrOutOfRange},
		{"too many parts", encode(&message.Dispatch{Parts: message.MaxParts + 1}), ErrOutOfRange},
		{"oversized payload", encode(&message.Request{Parts: 1, Payload: make([]byte, message.MaxPayload+1)}), ErrOutOfRange},
		{"forward without inner", encode(&message.Forward{Target: 1}), ErrMalformed},
		{"forward of a bad request", encode(&message.Forward{Inner: &message.Request{}}), ErrOutOfRange},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(c.data)
			if !errors.Is(err, c.want) {
				t.Fatalf("got error %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against datagrams that make Decode panic, or decode to a message that can't be
// encoded.
func FuzzDecode(f *testing.F) {
	for _, body := range bodies() {
		fill(reflect.ValueOf(body).Elem())
		data, err := Append(nil, body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Append(nil, body); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
	})
}
