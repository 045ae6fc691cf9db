package relaywire

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// configurationOf returns a value like a configuration with the given number of routes.
func configurationOf(routes int) []byte {
	var value bytes.Buffer
	for i := range routes {
		fmt.Fprintf(&value, `{"name":"r%04x","host":"198.18.%d.%d","prefix":"/443/","service":"s-%d","timeout_ms":2000,"priority":2},`, i*40503%65536, i/256, i%256, i%2)
	}
	return value.Bytes()
}

func decompress(t *testing.T, data []byte) relay.Update {
	t.Helper()
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	update, err := DecodeUpdate(content)
	if err != nil {
		t.Fatal(err)
	}
	return update
}

// Guards against compressed answers that repeat the confirmation, or the changes, of an earlier one.
func TestCompressedUpdates(t *testing.T) {
	is := is.New(t)
	var c Compressor
	u := relay.Update{Revision: revision.New(1, 9), Confirmed: relay.Confirmation{Revision: revision.New(1, 9), Age: time.Second}}
	u.Items = []relay.Item{{Key: "config", Value: configurationOf(1400), Revision: revision.New(1, 9)}, {Key: "gone", Revision: revision.New(1, 8), Deleted: true}}
	check := func(after int64) int {
		data, err := c.EncodeUpdate(after, u)
		is.NoErr(err)
		is.Equal(decompress(t, data), u)
		return len(data)
	}
	is.True(check(7) < len(u.Items[0].Value)/5)
	u.Confirmed.Age = 2 * time.Second
	check(7)
	u.Items = u.Items[:1]
	check(8)
	u.Revision = revision.New(1, 10)
	check(8)
	u.Complete = true
	check(8)
	u.Items[0].Value = nil
	u.WithoutEra, u.Revision, u.Confirmed.Revision, u.Items[0].Revision = true, 10, 10, 9
	check(8)
}

// BenchmarkEncodeUpdate compares answers to 50 pulls of the same large configuration, compressed and
// not. The sizes are reported as bytes per answer.
func BenchmarkEncodeUpdate(b *testing.B) {
	u := relay.Update{Revision: 9, Items: []relay.Item{{Key: "config", Value: configurationOf(1400), Revision: 9}}}
	const pulls = 50
	run := func(name string, encode func() ([]byte, error)) {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				for range pulls {
					data, err := encode()
					if err != nil {
						b.Fatal(err)
					}
					size = len(data)
				}
				u.Revision++
			}
			b.ReportMetric(float64(size), "B/answer")
		})
	}
	var c Compressor
	run("compressed", func() ([]byte, error) { return c.EncodeUpdate(8, u) })
	run("plain", func() ([]byte, error) { return EncodeUpdate(u) })
}
