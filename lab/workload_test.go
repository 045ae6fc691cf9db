package lab

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestWorkloadFiles guards against workload files whose number of targets differs from
// the users' deployments or whose load exceeds the capacity of a target's slots.
func TestWorkloadFiles(t *testing.T) {
	for _, name := range []string{"wales", "tasmania"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, err := LoadWorkload("../workloads/" + name + ".toml")
			is.NoErr(err)
			targets := w.Targets(netip.MustParseAddr("127.0.0.1"), defaultBasePort)
			is.Equal(len(targets), 18)
			for i := range w.Services {
				s := &w.Services[i]
				busy, weights, largest := 0.0, 0.0, 0.0
				for _, k := range s.Kinds {
					busy += k.Rate * k.ServiceMS / 1000
				}
				for _, target := range targets {
					if target.Service == i {
						weights += float64(target.Weight)
						largest = max(largest, float64(target.Weight))
					}
				}
				is.True(busy*largest/weights < 0.9*float64(s.Slots))
			}
		})
	}
}

// TestInvalidWorkloads guards against invalid workloads that are accepted.
func TestInvalidWorkloads(t *testing.T) {
	for _, change := range [][2]string{
		{"scale = 1.0", "scale = 0.0"}, {"slots = 3", "slotz = 3"}, {"rate = 50.0", "rate = 0.0"},
		{"request_bytes = 20", "request_bytes = 8"}, {"weights = [1, 2]", "weights = []"},
	} {
		is := is.New(t)
		_, err := ParseWorkload([]byte(strings.Replace(testWorkload, change[0], change[1], 1)))
		is.True(errors.Is(err, ErrInvalidWorkload)) // for each change
	}
}
