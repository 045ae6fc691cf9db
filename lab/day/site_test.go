package day

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const sites = "../../workloads/days/"

// small returns the Welsh site with two VMs a failure domain and a part of its
// targets and requests, for days that play fast.
func small(t *testing.T) *Site {
	t.Helper()
	site, err := LoadSite(sites + "wales.site.toml")
	if err != nil {
		t.Fatal(err)
	}
	const part = 0.3
	site.VMsPerDomain = 2
	site.Services[0].Targets = 6
	site.Services[1].Targets = 3
	for i := range site.Kinds {
		site.Kinds[i].Rate *= part
	}
	return site
}

// dayOf returns a day with troubles, each with the values of its kind.
func dayOf(site *Site, length time.Duration, troubles ...Disruption) *Day {
	return &Day{Name: "test", Length: Duration(length), Site: site, Disruptions: troubles}
}

// Guards against files of the repository that can't be played.
func TestFilesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob(sites + "*.toml")
	is.NoErr(err)
	is.True(len(files) > 2)
	for _, file := range files {
		if strings.HasSuffix(file, ".site.toml") {
			_, err = LoadSite(file)
		} else {
			_, err = LoadDay(file)
		}
		is.NoErr(err)
	}
}

// Guards against a check that ends at the first fault, or that takes a file with
// a misspelled field.
func TestFaultsAreToldAtOnce(t *testing.T) {
	is := is.New(t)
	d := dayOf(small(t), 0,
		Disruption{Kind: "earthquake"},
		Disruption{Kind: "vm_kill", Share: 2, Domain: "north-pole"})
	err := d.Check()
	is.True(errors.Is(err, ErrDay))
	for _, part := range []string{"length", "earthquake", "share", "north-pole"} {
		is.True(strings.Contains(err.Error(), part))
	}
	site := *small(t)
	site.Fabric = "loose"
	site.Kinds = append([]Kind{}, site.Kinds...)
	site.Kinds[0].Service = "none"
	faults := errors.Join(site.faults()...).Error()
	for _, part := range []string{"loose", "none"} {
		is.True(strings.Contains(faults, part))
	}
	file := filepath.Join(t.TempDir(), "day.toml")
	is.NoErr(os.WriteFile(file, []byte("nam = \"x\"\n"), 0o600))
	_, err = LoadDay(file)
	is.True(errors.Is(err, ErrDay))
	is.True(strings.Contains(err.Error(), "nam"))
}
