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

const daysDir = "../../workloads/days/"

// smallSite returns the Welsh site with two VMs per failure domain and a part of its
// targets and requests, so that days run fast.
func smallSite(t *testing.T) *Site {
	t.Helper()
	site, err := LoadSite(daysDir + "wales.site.toml")
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

// newDay returns a day with disruptions; their zero fields have the defaults of the kind.
func newDay(site *Site, length time.Duration, disruptions ...Disruption) *Day {
	return &Day{Name: "test", Length: Duration(length), Site: site, Disruptions: disruptions}
}

// Guards against invalid day and site files in the repository.
func TestFilesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob(daysDir + "*.toml")
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

// Guards against a validation that stops at the first error, or that accepts a file with
// an unknown key.
func TestCheckReportsAllErrors(t *testing.T) {
	is := is.New(t)
	d := newDay(smallSite(t), 0,
		Disruption{Kind: "earthquake"},
		Disruption{Kind: "vm_kill", Share: 2, Domain: "north-pole"})
	err := d.Check()
	is.True(errors.Is(err, ErrDay))
	for _, part := range []string{"length", "earthquake", "share", "north-pole"} {
		is.True(strings.Contains(err.Error(), part))
	}
	site := *smallSite(t)
	site.Fabric = "loose"
	site.Kinds = append([]Kind{}, site.Kinds...)
	site.Kinds[0].Service = "none"
	errs := errors.Join(site.validate()...).Error()
	for _, part := range []string{"loose", "none"} {
		is.True(strings.Contains(errs, part))
	}
	file := filepath.Join(t.TempDir(), "day.toml")
	is.NoErr(os.WriteFile(file, []byte("nam = \"x\"\n"), 0o600))
	_, err = LoadDay(file)
	is.True(errors.Is(err, ErrDay))
	is.True(strings.Contains(err.Error(), "nam"))
}
