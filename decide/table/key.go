package table

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// Prefix starts every store key of the table.
	Prefix = "gypsumspan/table/"
	// MetaShard is the shard number of the meta key.
	MetaShard = -1
	// MaxShardRows is the largest number of targets in one shard.
	MaxShardRows = 1000
	// meanShardRows is the mean number of rows per shard after resharding into several
	// shards. A service can then about double before it is resharded again.
	meanShardRows = 500
	// MaxShards is the largest number of shards of one service.
	MaxShards = 256
	// maxNameLength is the maximum length of a name, in bytes.
	maxNameLength = 64

	metaSuffix = "meta"
)

// CheckName returns ErrBadName if name is not a valid name of a service, target,
// failure domain or kind. Names are parts of store keys, so they contain no slash.
func CheckName(name string) error {
	if len(name) == 0 || len(name) > maxNameLength {
		return fmt.Errorf("name %q: %w", name, ErrBadName)
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) {
			return fmt.Errorf("name %q: %w", name, ErrBadName)
		}
	}
	return nil
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-'
	}
}

// MetaKey returns the store key of a service's meta entry.
func MetaKey(service string) string {
	return Prefix + service + "/" + metaSuffix
}

// ShardKey returns the store key of a shard of a service.
func ShardKey(service string, shard int) string {
	return Prefix + service + "/" + strconv.Itoa(shard)
}

// ParseKey returns the service and shard number of a store key; the number is
// MetaShard for the meta key. It returns ErrBadKey or ErrBadName.
func ParseKey(key string) (service string, shard int, err error) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", 0, fmt.Errorf("key %q: %w", key, ErrBadKey)
	}
	service, suffix, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, fmt.Errorf("key %q: %w", key, ErrBadKey)
	}
	if err := CheckName(service); err != nil {
		return "", 0, fmt.Errorf("key %q: %w", key, err)
	}
	if suffix == metaSuffix {
		return service, MetaShard, nil
	}
	shard, err = strconv.Atoi(suffix)
	if err != nil || shard < 0 || shard >= MaxShards || strconv.Itoa(shard) != suffix {
		return "", 0, fmt.Errorf("key %q: %w", key, ErrBadKey)
	}
	return service, shard, nil
}

// ShardOf returns the number of the shard that holds the target with the given name
// in a service of count shards.
func ShardOf(name string, count int) int {
	return int(xxhash.Sum64String(name) % uint64(count))
}

// ShardCount returns the number of shards for targets. It returns current, the present
// number or 0 for a new service, unless a shard would then hold more than MaxShardRows
// rows or a new count would be at most a quarter of it: a new count rewrites all keys of
// the service. It returns ErrOutOfRange if more than MaxShards shards are needed.
func ShardCount(targets []Target, current int) (int, error) {
	newCount, err := newShardCount(targets)
	if err != nil {
		return 0, err
	}
	if current > 0 && current <= MaxShards && current < 4*newCount && fits(targets, current) {
		return current, nil
	}
	return newCount, nil
}

// newShardCount returns the number of shards without regard to the present one: 1 for at
// most MaxShardRows targets, otherwise a number that leaves room for growth.
func newShardCount(targets []Target) (int, error) {
	rows := meanShardRows
	if len(targets) <= MaxShardRows {
		rows = MaxShardRows
	}
	first := min(MaxShards, max(1, (len(targets)+rows-1)/rows))
	for count := first; count <= MaxShards; count++ {
		if fits(targets, count) {
			return count, nil
		}
	}
	return 0, fmt.Errorf("%d targets in one service: %w", len(targets), ErrOutOfRange)
}

// fits reports whether no shard of count holds more than MaxShardRows targets.
func fits(targets []Target, count int) bool {
	var rows [MaxShards]int
	for i := range targets {
		shard := ShardOf(targets[i].Name, count)
		rows[shard]++
		if rows[shard] > MaxShardRows {
			return false
		}
	}
	return true
}
