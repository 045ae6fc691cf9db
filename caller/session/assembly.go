package session

import (
	"bytes"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// splitPayload splits a payload into at least one part, each of at most
// message.MaxPayload bytes. It returns nil if that takes more than message.MaxParts.
func splitPayload(payload []byte) [][]byte {
	count := max(1, (len(payload)+message.MaxPayload-1)/message.MaxPayload)
	if count > message.MaxParts {
		return nil
	}
	parts := make([][]byte, 0, count)
	for range count - 1 {
		parts = append(parts, payload[:message.MaxPayload])
		payload = payload[message.MaxPayload:]
	}
	return append(parts, payload)
}

// assembly reassembles the answer to one attempt from its parts.
type assembly struct {
	parts    [][]byte
	received []bool
	missing  int
}

func newAssembly(parts uint16) *assembly {
	return &assembly{parts: make([][]byte, parts), received: make([]bool, parts), missing: int(parts)}
}

// add stores a part. It reports false for a duplicate, for a part whose count of parts
// differs from that of the first part, and for a part number out of range.
func (a *assembly) add(m *message.Answer) bool {
	if int(m.Parts) != len(a.parts) || int(m.Part) >= len(a.parts) || a.received[m.Part] {
		return false
	}
	a.received[m.Part] = true
	a.parts[m.Part] = m.Payload
	a.missing--
	return true
}

// payload returns the payload of a complete answer.
func (a *assembly) payload() []byte {
	return bytes.Join(a.parts, nil)
}
