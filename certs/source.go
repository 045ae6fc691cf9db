package certs

import (
	"crypto/sha256"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Files are paths of PEM files. Cert and Key may both be empty.
type Files struct {
	CA   string // one or more CA certificates
	Cert string // own certificate, then intermediate ones
	Key  string
}

// Config configures a Source.
type Config struct {
	Files Files
	// Check accepts or refuses the own certificate; nil accepts each.
	Check func(*x509.Certificate) error
	// Now is the clock of validity; nil is the system's clock.
	Now func() time.Time
}

// Source holds what the files contained when they were last usable. Reload is
// for one goroutine; all other methods are safe for concurrent use. Readers take
// the immutable Credentials through one atomic pointer: crypto/tls asks for it on
// the goroutine of each handshake, so that no ring can deliver it.
type Source struct {
	config  Config
	digest  [sha256.Size]byte // of the contents that Reload last looked at
	current atomic.Pointer[Credentials]
}

// Open reads the files. It returns ErrFiles, ErrExpired, ErrUntrusted or the
// error of Config.Check.
func Open(config Config) (*Source, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Source{config: config}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again and reports whether other content is in use now.
// After an error the former content stays in use; the error is repeated until
// the files are usable, since a rotation may replace them one after the other.
func (s *Source) Reload() (bool, error) {
	contents, err := s.read()
	if err != nil {
		return false, err
	}
	digest := digestOf(contents)
	if s.current.Load() != nil && digest == s.digest {
		return false, nil
	}
	m, err := parse(contents[0], contents[1], contents[2], s.config.Now())
	if err == nil && m.pair != nil && s.config.Check != nil {
		err = s.config.Check(m.pair.Leaf)
	}
	if err != nil {
		return false, err
	}
	s.digest = digest
	s.current.Store(m)
	return true, nil
}

func (s *Source) read() ([3][]byte, error) {
	var contents [3][]byte
	for i, path := range []string{s.config.Files.CA, s.config.Files.Cert, s.config.Files.Key} {
		if path == "" {
			continue
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return contents, fmt.Errorf("%w: %w", ErrFiles, err)
		}
		contents[i] = data
	}
	return contents, nil
}

func digestOf(contents [3][]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, data := range contents {
		part := sha256.Sum256(data)
		h.Write(part[:])
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Current returns the material in use.
func (s *Source) Current() *Credentials { return s.current.Load() }

// Now returns the time by the source's clock.
func (s *Source) Now() time.Time { return s.config.Now() }
