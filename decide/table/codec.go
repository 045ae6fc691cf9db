package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Limits of the values in the table.
const (
	// MaxWeight is the largest weight of a target; the smallest is 1.
	MaxWeight = 100_000
	// MaxLimit is the largest limit of a target, in concurrent requests; the smallest is 1.
	MaxLimit = 1_000_000
	// MaxShare is the largest share of a kind; the smallest is 1.
	MaxShare = 1_000_000
	// MaxKinds is the largest number of kinds of a service (KindID has 8 bits).
	MaxKinds = 256
	// maxAddressLength is the maximum length of the address of a service, in bytes.
	maxAddressLength = 128
	// formatVersion is the version written to every value. Readers reject other versions.
	formatVersion = 1
)

// Meta is the content of the meta entry of a service.
type Meta struct {
	Address    string
	Kinds      []Kind
	ShardCount int // number of shards, at least 1
}

// Shard is the content of one shard of a service.
type Shard struct {
	ShardCount int // number of shards of the service when this shard was written
	Targets    []Target
}

// Entry is a decoded table entry. Meta and Shard are both nil for a deletion;
// otherwise one of them is set.
type Entry struct {
	Service     string
	ShardNumber int // shard number, or MetaShard
	Meta        *Meta
	Shard       *Shard
}

type metaJSON struct {
	Version int        `json:"v"`
	Address string     `json:"address"`
	Shards  int        `json:"shards"`
	Kinds   []kindJSON `json:"kinds"`
}

type kindJSON struct {
	Name    string `json:"name"`
	Urgency string `json:"urgency"`
	Share   uint32 `json:"share"`
}

type shardJSON struct {
	Version    int          `json:"v"`
	ShardCount int          `json:"of"`
	Targets    []targetJSON `json:"targets"`
}

// targetJSON is a row, encoded as an array. Field names would be more than half of a
// shard's size, and resharding needs a service to fit into one transaction.
type targetJSON struct {
	Name    string
	Domain  string
	Address netip.AddrPort
	Health  netip.AddrPort
	Weight  uint32
	Limit   uint32
	State   string
}

// fields returns pointers to the fields in the order of the array.
func (t *targetJSON) fields() []any {
	return []any{&t.Name, &t.Domain, &t.Address, &t.Health, &t.Weight, &t.Limit, &t.State}
}

// MarshalJSON implements json.Marshaler.
func (t targetJSON) MarshalJSON() ([]byte, error) {
	return json.Marshal(t.fields())
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *targetJSON) UnmarshalJSON(data []byte) error {
	fields := t.fields()
	want := len(fields)
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) != want || slices.Contains(fields, nil) {
		return fmt.Errorf("row with %d fields instead of %d: %w", len(fields), want, ErrMalformed)
	}
	return nil
}

// EncodeMeta returns the store value of m: compact JSON (RFC 8259) with a fixed
// order of fields. It returns an error if DecodeEntry would reject the value.
func EncodeMeta(m Meta) ([]byte, error) {
	if err := checkMeta(m); err != nil {
		return nil, err
	}
	out := metaJSON{Version: formatVersion, Address: m.Address, Shards: m.ShardCount}
	for _, k := range m.Kinds {
		out.Kinds = append(out.Kinds, kindJSON{Name: k.Name, Urgency: k.Urgency.String(), Share: k.Share})
	}
	return json.Marshal(out)
}

// EncodeShard returns the store value of the shard with the given number: compact
// JSON with a fixed order of fields and the rows sorted by name. It returns an error
// if DecodeEntry would reject the value.
func EncodeShard(number int, s Shard) ([]byte, error) {
	rows := slices.Clone(s.Targets)
	sortTargets(rows)
	if err := checkShard(number, Shard{ShardCount: s.ShardCount, Targets: rows}); err != nil {
		return nil, err
	}
	out := shardJSON{Version: formatVersion, ShardCount: s.ShardCount, Targets: make([]targetJSON, 0, len(rows))}
	for i := range rows {
		out.Targets = append(out.Targets, rowOf(&rows[i]))
	}
	return json.Marshal(out)
}

func rowOf(t *Target) targetJSON {
	return targetJSON{
		Name:    t.Name,
		Domain:  t.Domain,
		Address: t.Addr,
		Health:  t.Health,
		Weight:  t.Weight,
		Limit:   t.Limit,
		State:   t.State.String(),
	}
}

// EncodeService returns all entries of a service with count shards, without
// revisions. The meta entry comes first.
func EncodeService(s *Service, count int) ([]message.TableEntry, error) {
	value, err := EncodeMeta(Meta{Address: s.Address, Kinds: s.Kinds, ShardCount: count})
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", s.Name, err)
	}
	entries := make([]message.TableEntry, 0, count+1)
	entries = append(entries, message.TableEntry{Key: MetaKey(s.Name), Value: value})
	shards := make([][]Target, count)
	for i := range s.Targets {
		n := ShardOf(s.Targets[i].Name, count)
		shards[n] = append(shards[n], s.Targets[i])
	}
	for n, rows := range shards {
		value, err := EncodeShard(n, Shard{ShardCount: count, Targets: rows})
		if err != nil {
			return nil, fmt.Errorf("service %s, shard %d: %w", s.Name, n, err)
		}
		entries = append(entries, message.TableEntry{Key: ShardKey(s.Name, n), Value: value})
	}
	return entries, nil
}

// DecodeEntry decodes and checks one entry. It sorts the targets by name and sets
// their ids. It returns ErrBadKey, ErrBadName, ErrMalformed, ErrOutOfRange,
// ErrUnknownValue, ErrDuplicate or ErrWrongShard.
func DecodeEntry(e message.TableEntry) (Entry, error) {
	service, number, err := ParseKey(e.Key)
	if err != nil {
		return Entry{}, err
	}
	entry := Entry{Service: service, ShardNumber: number}
	if e.Value == nil {
		return entry, nil
	}
	if number == MetaShard {
		entry.Meta, err = decodeMeta(e.Value)
		return entry, err
	}
	entry.Shard, err = decodeShard(service, number, e.Value)
	return entry, err
}

// unmarshal decodes one JSON value strictly: an unknown field comes from a later
// format, and replicas that ignore it would differ from others.
func unmarshal(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("trailing data after the JSON value: %w", ErrMalformed)
	}
	return nil
}

func checkVersion(version int) error {
	if version != formatVersion {
		return fmt.Errorf("unsupported format version %d: %w", version, ErrMalformed)
	}
	return nil
}

func decodeMeta(data []byte) (*Meta, error) {
	var in metaJSON
	if err := unmarshal(data, &in); err != nil {
		return nil, err
	}
	if err := checkVersion(in.Version); err != nil {
		return nil, err
	}
	m := &Meta{Address: in.Address, ShardCount: in.Shards}
	for _, k := range in.Kinds {
		urgency, err := ParseUrgency(k.Urgency)
		if err != nil {
			return nil, err
		}
		m.Kinds = append(m.Kinds, Kind{Name: k.Name, Urgency: urgency, Share: k.Share})
	}
	return m, checkMeta(*m)
}

func checkMeta(m Meta) error {
	if len(m.Address) > maxAddressLength {
		return fmt.Errorf("address of %d bytes: %w", len(m.Address), ErrOutOfRange)
	}
	if m.ShardCount < 1 || m.ShardCount > MaxShards {
		return fmt.Errorf("%d shards: %w", m.ShardCount, ErrOutOfRange)
	}
	if len(m.Kinds) < 1 || len(m.Kinds) > MaxKinds {
		return fmt.Errorf("%d kinds: %w", len(m.Kinds), ErrOutOfRange)
	}
	seen := make(map[string]bool, len(m.Kinds))
	for _, k := range m.Kinds {
		if err := checkKind(k); err != nil {
			return err
		}
		if seen[k.Name] {
			return fmt.Errorf("kind %s: %w", k.Name, ErrDuplicate)
		}
		seen[k.Name] = true
	}
	return nil
}

func checkKind(k Kind) error {
	if err := CheckName(k.Name); err != nil {
		return fmt.Errorf("kind: %w", err)
	}
	if k.Urgency < Urgent || k.Urgency > Bulk {
		return fmt.Errorf("urgency %d of kind %s: %w", k.Urgency, k.Name, ErrUnknownValue)
	}
	return checkRange("share of kind "+k.Name, k.Share, MaxShare)
}

func checkRange(field string, value, upper uint32) error {
	if value < 1 || value > upper {
		return fmt.Errorf("%s is %d, not 1 to %d: %w", field, value, upper, ErrOutOfRange)
	}
	return nil
}

func decodeShard(service string, number int, data []byte) (*Shard, error) {
	var in shardJSON
	if err := unmarshal(data, &in); err != nil {
		return nil, err
	}
	if err := checkVersion(in.Version); err != nil {
		return nil, err
	}
	s := &Shard{ShardCount: in.ShardCount, Targets: make([]Target, 0, len(in.Targets))}
	for i := range in.Targets {
		row := &in.Targets[i]
		state, err := ParseState(row.State)
		if err != nil {
			return nil, fmt.Errorf("target %q: %w", row.Name, err)
		}
		s.Targets = append(s.Targets, Target{
			ID:       message.TargetIDOf(service, row.Name),
			Name:     row.Name,
			Domain:   row.Domain,
			DomainID: message.DomainIDOf(row.Domain),
			Addr:     row.Address,
			Health:   row.Health,
			Weight:   row.Weight,
			Limit:    row.Limit,
			State:    state,
		})
	}
	sortTargets(s.Targets)
	return s, checkShard(number, *s)
}

func sortTargets(targets []Target) {
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
}

// checkShard checks a shard whose rows are sorted by name.
func checkShard(number int, s Shard) error {
	if s.ShardCount < 1 || s.ShardCount > MaxShards || number >= s.ShardCount {
		return fmt.Errorf("shard %d of %d: %w", number, s.ShardCount, ErrOutOfRange)
	}
	if len(s.Targets) > MaxShardRows {
		return fmt.Errorf("%d rows in one shard: %w", len(s.Targets), ErrOutOfRange)
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		if err := checkTarget(t); err != nil {
			return fmt.Errorf("target %q: %w", t.Name, err)
		}
		if i > 0 && s.Targets[i-1].Name == t.Name {
			return fmt.Errorf("target %s: %w", t.Name, ErrDuplicate)
		}
		if ShardOf(t.Name, s.ShardCount) != number {
			return fmt.Errorf("target %s in shard %d of %d: %w", t.Name, number, s.ShardCount, ErrWrongShard)
		}
	}
	return nil
}

func checkTarget(t *Target) error {
	if err := CheckName(t.Name); err != nil {
		return err
	}
	if err := CheckName(t.Domain); err != nil {
		return fmt.Errorf("failure domain: %w", err)
	}
	if !t.Addr.IsValid() || t.Addr.Addr().Zone() != "" || t.Health.Addr().Zone() != "" {
		return fmt.Errorf("address %s, health address %s: %w", t.Addr, t.Health, ErrOutOfRange)
	}
	if t.State < Active || t.State > Leaving {
		return fmt.Errorf("state %d: %w", t.State, ErrUnknownValue)
	}
	if err := checkRange("weight", t.Weight, MaxWeight); err != nil {
		return err
	}
	return checkRange("limit", t.Limit, MaxLimit)
}
