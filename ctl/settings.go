package ctl

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"github.com/gypsumspan/gypsumspan/certs"
)

const (
	// configVariable names the settings file in the environment.
	configVariable = "GYPSUMCTL_CONFIG"
	// defaultConfig is the settings file in the user's configuration folder.
	defaultConfig = "gypsumspan/gypsumctl.toml"
)

// settings are the settings of gypsumctl, from flags and the settings file.
type settings struct {
	Operator string   `toml:"operator"`
	Store    []string `toml:"store"`
	Admin    []string `toml:"admin"`
	CA       string   `toml:"ca"`
	Cert     string   `toml:"cert"`
	Key      string   `toml:"key"`
	StoreCA  string   `toml:"store_ca"`

	source      *certs.Source // nil: plain HTTP
	storeSource *certs.Source // of https endpoints of the store; nil: the system's CAs
}

// loadSettings reads the settings file and puts the flags over it.
func (a *app) loadSettings() (settings, error) {
	s, err := a.readFile()
	if err != nil {
		return settings{}, err
	}
	if a.flags.Operator != "" {
		s.Operator = a.flags.Operator
	}
	if len(a.flags.Store) > 0 {
		s.Store = a.flags.Store
	}
	if len(a.flags.Admin) > 0 {
		s.Admin = a.flags.Admin
	}
	if err := s.openCertificates(); err != nil {
		return settings{}, err
	}
	if s.Operator == "" {
		s.Operator = a.env.Getenv("USER")
	}
	return s, nil
}

// openCertificates opens the files that the settings name. The operator is then
// the one of the certificate; another name is refused, since the audit trail must
// not show it.
func (s *settings) openCertificates() error {
	if (s.CA == "") != (s.Cert == "") || (s.CA == "") != (s.Key == "") {
		return fmt.Errorf("ca, cert and key are needed together: %w", ErrSettings)
	}
	if s.CA != "" {
		source, err := certs.Open(certs.Config{Files: certs.Files{CA: s.CA, Cert: s.Cert, Key: s.Key}})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrSettings, err)
		}
		name, err := certs.OperatorOf(source.Current().Leaf())
		if err != nil {
			return fmt.Errorf("%w: %s: %w", ErrSettings, s.Cert, err)
		}
		if s.Operator != "" && s.Operator != name {
			return fmt.Errorf("operator %q, but the certificate is of %q: %w", s.Operator, name, ErrSettings)
		}
		s.Operator, s.source, s.storeSource = name, source, source
	}
	if s.StoreCA != "" {
		source, err := certs.Open(certs.Config{Files: certs.Files{CA: s.StoreCA}})
		if err != nil {
			return fmt.Errorf("%w: store_ca: %w", ErrSettings, err)
		}
		s.storeSource = source
	}
	return nil
}

func (a *app) readFile() (settings, error) {
	path, named := a.settingsPath()
	if path == "" {
		return settings{}, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !named {
		return settings{}, nil
	}
	if err != nil {
		return settings{}, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	var s settings
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return settings{}, fmt.Errorf("%w: %s: %w", ErrSettings, path, describeTOML(err))
	}
	return s, nil
}

// settingsPath returns the file and whether the operator named it.
func (a *app) settingsPath() (path string, named bool) {
	if a.config != "" {
		return a.config, true
	}
	if path := a.env.Getenv(configVariable); path != "" {
		return path, true
	}
	dir := a.env.Getenv("XDG_CONFIG_HOME")
	if dir == "" {
		home := a.env.Getenv("HOME")
		if home == "" {
			return "", false
		}
		dir = filepath.Join(home, ".config")
	}
	return filepath.Join(dir, defaultConfig), false
}

// describeTOML adds the place of the fault to an error of the decoder.
func describeTOML(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("unknown setting:\n%s", strict.String())
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, column := syntax.Position()
		return fmt.Errorf("line %d, column %d: %w", row, column, err)
	}
	return err
}
