package capacity

import (
	"os"
	"strings"
	"testing"
)

// Guards against a series that is measured but not documented in docs/CAPACITY.md.
func TestPageNamesEverySeries(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, e := range Experiments() {
		if names[e.Name] {
			t.Errorf("two experiments are called %s", e.Name)
		}
		names[e.Name] = true
		if !strings.Contains(string(page), "`"+e.Name+"`") {
			t.Errorf("docs/CAPACITY.md does not name `%s`", e.Name)
		}
	}
}
