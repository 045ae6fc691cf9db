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
	// configPathVariable is the environment variable with the path of the settings file.
	configPathVariable = "GYPSUMCTL_CONFIG"
	// defaultConfigPath is the settings file's path in the user's configuration folder.
	defaultConfigPath = "gypsumspan/gypsumctl.toml"
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

	certSource      *certs.Source // for the VMs; nil: plain HTTP
	storeCertSource *certs.Source // for https endpoints of the store; nil: the system's CAs
}

// loadSettings reads the settings file, which flags override.
func (a *app) loadSettings() (settings, error) {
	s, err := a.readSettingsFile()
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

// openCertificates loads the certificates in the settings and sets the operator to the
// name in the operator's certificate. Another name in the settings is an error, so that
// the audit trail never shows a name that the certificate does not prove.
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
		s.Operator, s.certSource, s.storeCertSource = name, source, source
	}
	if s.StoreCA != "" {
		source, err := certs.Open(certs.Config{Files: certs.Files{CA: s.StoreCA}})
		if err != nil {
			return fmt.Errorf("%w: store_ca: %w", ErrSettings, err)
		}
		s.storeCertSource = source
	}
	return nil
}

func (a *app) readSettingsFile() (settings, error) {
	path, explicit := a.settingsPath()
	if path == "" {
		return settings{}, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !explicit {
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

// settingsPath returns the path of the settings file, or "" if there is none. explicit
// reports whether the operator set it; only then the file must exist.
func (a *app) settingsPath() (path string, explicit bool) {
	if a.configPath != "" {
		return a.configPath, true
	}
	if path := a.env.Getenv(configPathVariable); path != "" {
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
	return filepath.Join(dir, defaultConfigPath), false
}

// describeTOML adds the position of the fault to an error of the decoder.
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
