package certs

import (
	"crypto/sha256"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Files are the paths of PEM files. Cert and Key may both be empty.
type Files struct {
	CA   string // one or more CA certificates
	Cert string // own certificate, then intermediate ones
	Key  string
}

// Config configures a Source.
type Config struct {
	Files Files
	// Check returns an error to reject the own certificate; nil accepts any.
	Check func(*x509.Certificate) error
	// Now is the clock for checks of validity; nil means the system's clock.
	Now func() time.Time
}

// Source holds the last valid content of the files. Reload must not be called concurrently;
// all other methods are safe for concurrent use. The Credentials are shared by an atomic
// pointer and not delivered by a ring of the kernel, since crypto/tls reads them on the
// goroutine of each handshake.
type Source struct {
	config  Config
	digest  [sha256.Size]byte // of the content in use
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

// Reload reads the files again and reports whether the content in use has changed. After
// an error the previous content stays in use. A rotation may replace the files one after
// the other: Reload returns the error again until the files are usable.
func (s *Source) Reload() (bool, error) {
	contents, err := s.readFiles()
	if err != nil {
		return false, err
	}
	digest := digestOf(contents)
	if s.current.Load() != nil && digest == s.digest {
		return false, nil
	}
	c, err := parse(contents[0], contents[1], contents[2], s.config.Now())
	if err == nil && c.ownPair != nil && s.config.Check != nil {
		err = s.config.Check(c.ownPair.Leaf)
	}
	if err != nil {
		return false, err
	}
	s.digest = digest
	s.current.Store(c)
	return true, nil
}

func (s *Source) readFiles() ([3][]byte, error) {
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

// Current returns the credentials in use.
func (s *Source) Current() *Credentials { return s.current.Load() }

// Now returns the current time of Config.Now.
func (s *Source) Now() time.Time { return s.config.Now() }
