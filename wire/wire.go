// Package wire is the protobuf codec of the messages in decide/message. A datagram holds
// one encoded message; on control links each message is prefixed with its length.
package wire

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire/wirepb"
)

// Limits and version of the format.
const (
	// Version is the version of the wire format. Other versions are rejected.
	Version = 1
	// MaxDatagram is the size of the largest datagram in bytes: a payload with its envelope.
	MaxDatagram = message.MaxPayload + 250
)

// Errors of the codec. All errors of Decode wrap one of them.
var (
	// ErrMalformed means that the bytes are not a message of this format.
	ErrMalformed = errors.New("malformed message")
	// ErrVersion means that the message has another format version.
	ErrVersion = errors.New("unsupported wire version")
	// ErrOutOfRange means that a field has a value that the format forbids.
	ErrOutOfRange = errors.New("field out of range")
	// ErrUnsupported means that the type of the body is not part of the wire format.
	ErrUnsupported = errors.New("message type is not part of the wire format")
)

// Append appends the encoding of body to dst. It returns ErrUnsupported for a body of an
// unknown type.
func Append(dst []byte, body message.Body) ([]byte, error) {
	env := &wirepb.Envelope{Version: Version}
	if !setBody(env, body) {
		return dst, fmt.Errorf("encode %T: %w", body, ErrUnsupported)
	}
	dst, err := proto.MarshalOptions{}.MarshalAppend(dst, env)
	if err != nil {
		return dst, fmt.Errorf("encode %T: %w", body, err)
	}
	return dst, nil
}

// Decode returns the message encoded in data. The message does not refer to data.
func Decode(data []byte) (message.Body, error) {
	env := &wirepb.Envelope{}
	if err := proto.Unmarshal(data, env); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if env.GetVersion() != Version {
		return nil, fmt.Errorf("version %d: %w", env.GetVersion(), ErrVersion)
	}
	body := getBody(env)
	if body == nil {
		return nil, fmt.Errorf("no body: %w", ErrMalformed)
	}
	if err := validate(body); err != nil {
		return nil, err
	}
	return body, nil
}

// validate checks the field ranges that the decide packages rely on. It returns
// ErrMalformed or ErrOutOfRange.
func validate(body message.Body) error {
	switch m := body.(type) {
	case *message.Request:
		return validateParts("request", m.Part, m.Parts, len(m.Payload))
	case *message.Answer:
		return validateParts("answer", m.Part, m.Parts, len(m.Payload))
	case *message.Dispatch:
		return validateParts("dispatch", m.Part, m.Parts, len(m.Payload))
	case *message.Forward:
		if m.Inner == nil {
			return fmt.Errorf("forward without inner message: %w", ErrMalformed)
		}
		return validate(m.Inner)
	case *message.Released:
		if m.Answer == nil {
			return nil
		}
		return validate(m.Answer)
	default:
		return nil
	}
}

func validateParts(messageType string, part, parts uint16, payloadSize int) error {
	if parts == 0 || parts > message.MaxParts || part >= parts {
		return fmt.Errorf("%s part %d of %d: %w", messageType, part, parts, ErrOutOfRange)
	}
	if payloadSize > message.MaxPayload {
		return fmt.Errorf("%s payload of %d bytes: %w", messageType, payloadSize, ErrOutOfRange)
	}
	return nil
}
