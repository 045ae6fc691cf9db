// Package seal authenticates the datagrams between VMs. A sealed datagram starts with a
// key id and a truncated HMAC-SHA-256 (RFC 2104, RFC 4868), which the encoded message
// follows. The message is not encrypted.
package seal

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
)

const (
	// marker is the first byte of a sealed datagram. No protobuf message starts with it,
	// since field numbers start at 1.
	marker = 0x00
	// macSize is the size of the truncated MAC, in bytes.
	macSize = 16
	// Size is the size of a seal in bytes: marker, key id and MAC.
	Size = 2 + macSize
	// KeySize is the size of a key, in bytes.
	KeySize = 32
)

// Errors of the package.
var (
	// ErrKeys means that the key file can't be used.
	ErrKeys = errors.New("key file can't be used")
	// ErrUnauthenticated means that a datagram has no seal, an unknown key or a wrong MAC.
	ErrUnauthenticated = errors.New("datagram is not authenticated")
)

// Keys are the keys of a key file. They are immutable.
type Keys struct {
	signingID uint8
	byID      map[uint8][]byte
}

// SigningID returns the id of the key that seals datagrams; all keys verify them.
func (k *Keys) SigningID() uint8 { return k.signingID }

// Len returns the number of keys.
func (k *Keys) Len() int { return len(k.byID) }

// Parse decodes the content of a key file: lines "ID KEY" with an id of 1 to 255 and a key
// of 64 hexadecimal digits. The first key seals datagrams. Empty lines and lines that start
// with # are skipped. Parse returns ErrKeys; its errors do not contain keys.
func Parse(data []byte) (*Keys, error) {
	keys := &Keys{byID: make(map[uint8][]byte)}
	lineNumber := 0
	for line := range strings.Lines(string(data)) {
		lineNumber++
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, fmt.Errorf("line %d is not \"ID KEY\": %w", lineNumber, ErrKeys)
		}
		id, err := strconv.ParseUint(fields[0], 10, 8)
		if err != nil || id == 0 {
			return nil, fmt.Errorf("line %d: the id is not from 1 to 255: %w", lineNumber, ErrKeys)
		}
		key, err := hex.DecodeString(fields[1])
		if err != nil || len(key) != KeySize {
			return nil, fmt.Errorf("line %d: the key does not have %d hexadecimal digits: %w", lineNumber, 2*KeySize, ErrKeys)
		}
		if _, ok := keys.byID[uint8(id)]; ok {
			return nil, fmt.Errorf("line %d: id %d is repeated: %w", lineNumber, id, ErrKeys)
		}
		if len(keys.byID) == 0 {
			keys.signingID = uint8(id)
		}
		keys.byID[uint8(id)] = key
	}
	if len(keys.byID) == 0 {
		return nil, fmt.Errorf("no key: %w", ErrKeys)
	}
	return keys, nil
}

// Source holds the last valid keys of a file. Current is safe for concurrent use; Reload
// must not be called concurrently.
type Source struct {
	path     string
	lastData []byte // content of the file that the current keys are from
	current  atomic.Pointer[Keys]
}

// Open reads a key file. It returns ErrKeys.
func Open(path string) (*Source, error) {
	s := &Source{path: path}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the file again and reports whether the keys in use have changed. After an
// error the previous keys stay in use.
func (s *Source) Reload() (bool, error) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	if s.current.Load() != nil && bytes.Equal(data, s.lastData) {
		return false, nil
	}
	keys, err := Parse(data)
	if err != nil {
		return false, err
	}
	s.lastData = data
	s.current.Store(keys)
	return true, nil
}

// Current returns the keys in use.
func (s *Source) Current() *Keys { return s.current.Load() }

// Sealer seals and opens datagrams. It is not safe for concurrent use.
type Sealer struct {
	source    *Source
	keys      *Keys               // from which macs was built
	macs      map[uint8]hash.Hash // HMAC states by key id
	sumBuffer []byte              // reused by mac
}

// NewSealer returns a sealer that uses the current keys of source.
func NewSealer(source *Source) *Sealer { return &Sealer{source: source} }

// Seal writes the seal into the first Size bytes of buf; the encoded message follows them.
func (s *Sealer) Seal(buf []byte) {
	id := s.refresh().signingID
	buf[0], buf[1] = marker, id
	copy(buf[2:Size], s.mac(id, buf[Size:]))
}

// IsSealed reports whether data starts like a sealed datagram. It does not verify the MAC.
func IsSealed(data []byte) bool { return len(data) > 0 && data[0] == marker }

// Open verifies the seal of a datagram and returns the encoded message, which refers to
// data. It returns ErrUnauthenticated.
func (s *Sealer) Open(data []byte) ([]byte, error) {
	if len(data) < Size || data[0] != marker {
		return nil, fmt.Errorf("no seal: %w", ErrUnauthenticated)
	}
	if _, ok := s.refresh().byID[data[1]]; !ok {
		return nil, fmt.Errorf("unknown key %d: %w", data[1], ErrUnauthenticated)
	}
	if !hmac.Equal(data[2:Size], s.mac(data[1], data[Size:])) {
		return nil, fmt.Errorf("wrong MAC with key %d: %w", data[1], ErrUnauthenticated)
	}
	return data[Size:], nil
}

// refresh returns the keys in use. When they have changed it creates an HMAC state for each
// key; the states are reused, so that sealing a datagram allocates nothing.
func (s *Sealer) refresh() *Keys {
	keys := s.source.Current()
	if keys == s.keys {
		return keys
	}
	s.keys = keys
	s.macs = make(map[uint8]hash.Hash, len(keys.byID))
	for id, key := range keys.byID {
		s.macs[id] = hmac.New(sha256.New, key)
	}
	return keys
}

// mac returns the truncated MAC of data. It is valid until the next call.
func (s *Sealer) mac(id uint8, data []byte) []byte {
	h := s.macs[id]
	h.Reset()
	h.Write(data)
	s.sumBuffer = h.Sum(s.sumBuffer[:0])
	return s.sumBuffer[:macSize]
}
