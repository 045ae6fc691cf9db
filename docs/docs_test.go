// Package docs_test checks the Markdown pages of the repository.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// link matches the destination of an inline Markdown link, without a title.
var link = regexp.MustCompile(`\]\(([^)\s]+)[^)]*\)`)

// code matches fenced code blocks and code spans, in which brackets are not links.
var code = regexp.MustCompile("(?s)```.*?```|`[^`\n]*`")

// Guards against links to files that were moved or do not exist.
func TestRelativeLinksPointToFiles(t *testing.T) {
	is := is.New(t)
	pages, links := 0, 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		pages++
		for _, match := range link.FindAllStringSubmatch(code.ReplaceAllString(string(page), ""), -1) {
			file, _, _ := strings.Cut(match[1], "#")
			if file == "" || strings.Contains(file, "://") || strings.HasPrefix(file, "mailto:") {
				continue
			}
			links++
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), file)); err != nil {
				t.Errorf("%s links to %s, which does not exist", path, file)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(pages > 0 && links > 0) // the walk found pages with links
}
