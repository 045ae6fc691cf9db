// Package seal authenticates the datagrams between VMs: a key id and a truncated
// HMAC-SHA-256 (RFC 2104, RFC 4868) before the encoded message.
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
	// marker starts a sealed datagram. No protobuf message starts with it, since
	// field numbers start at 1.
	marker = 0x00
	// macSize is the size of the truncated MAC, in bytes.
	macSize = 16
	// Size is what a seal adds to a datagram, in bytes: marker, key id and MAC.
	Size = 2 + macSize
	// KeySize is the size of a key, in bytes.
	KeySize = 32
)

// Errors of the package.
var (
	// ErrKeys means that the key file can't be used.
	ErrKeys = errors.New("key file can't be used")
	// ErrUnauthenticated means that a datagram has no seal, or not one of a known key.
	ErrUnauthenticated = errors.New("datagram is not authenticated")
)

// Keys are the keys of one reading of the file. They do not change.
type Keys struct {
	signs uint8
	byID  map[uint8][]byte
}

// SigningID returns the id of the key that seals datagrams; all keys verify them.
func (k *Keys) SigningID() uint8 { return k.signs }

// Len returns the number of keys.
func (k *Keys) Len() int { return len(k.byID) }

// Parse reads lines "ID KEY", with an id of 1 to 255 and 64 hexadecimal digits.
// The first key seals. Empty lines and lines that start with # are skipped. Errors
// do not show keys.
func Parse(data []byte) (*Keys, error) {
	keys := &Keys{byID: make(map[uint8][]byte)}
	number := 0
	for line := range strings.Lines(string(data)) {
		number++
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, fmt.Errorf("line %d is not \"ID KEY\": %w", number, ErrKeys)
		}
		id, err := strconv.ParseUint(fields[0], 10, 8)
		if err != nil || id == 0 {
			return nil, fmt.Errorf("line %d: the id is not from 1 to 255: %w", number, ErrKeys)
		}
		key, err := hex.DecodeString(fields[1])
		if err != nil || len(key) != KeySize {
			return nil, fmt.Errorf("line %d: the key does not have %d hexadecimal digits: %w", number, 2*KeySize, ErrKeys)
		}
		if _, ok := keys.byID[uint8(id)]; ok {
			return nil, fmt.Errorf("line %d: id %d is repeated: %w", number, id, ErrKeys)
		}
		if len(keys.byID) == 0 {
			keys.signs = uint8(id)
		}
		keys.byID[uint8(id)] = key
	}
	if len(keys.byID) == 0 {
		return nil, fmt.Errorf("no key: %w", ErrKeys)
	}
	return keys, nil
}

// Source holds the keys of a file as they were last usable. Reload is for one
// goroutine.
type Source struct {
	path    string
	data    []byte
	current atomic.Pointer[Keys]
}

// Open reads a key file. It returns ErrKeys.
func Open(path string) (*Source, error) {
	s := &Source{path: path}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the file again and reports whether other keys are in use now.
// After an error the former ones stay in use.
func (s *Source) Reload() (bool, error) {
	data, err := os.ReadFile(s.path)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrKeys, err)
	}
	if s.current.Load() != nil && bytes.Equal(data, s.data) {
		return false, nil
	}
	keys, err := Parse(data)
	if err != nil {
		return false, err
	}
	s.data = data
	s.current.Store(keys)
	return true, nil
}

// Current returns the keys in use.
func (s *Source) Current() *Keys { return s.current.Load() }

// Sealer seals and opens datagrams. It is for one goroutine.
type Sealer struct {
	source *Source
	keys   *Keys // that macs belong to
	macs   map[uint8]hash.Hash
	sum    []byte
}

// NewSealer returns a sealer with the keys of source.
func NewSealer(source *Source) *Sealer { return &Sealer{source: source} }

// Seal fills the first Size bytes of buf, which the encoded message follows.
func (s *Sealer) Seal(buf []byte) {
	id := s.refresh().signs
	buf[0], buf[1] = marker, id
	copy(buf[2:Size], s.mac(id, buf[Size:]))
}

// IsSealed reports whether data has the form of a sealed datagram.
func IsSealed(data []byte) bool { return len(data) > 0 && data[0] == marker }

// Open returns the encoded message of a sealed datagram, or ErrUnauthenticated.
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

// refresh takes over the keys in use. The states of the hash are kept, so that a
// seal allocates nothing.
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

func (s *Sealer) mac(id uint8, data []byte) []byte {
	h := s.macs[id]
	h.Reset()
	h.Write(data)
	s.sum = h.Sum(s.sum[:0])
	return s.sum[:macSize]
}
