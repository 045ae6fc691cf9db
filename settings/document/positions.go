package document

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps keys and tables to their lines.
type positions struct {
	lines map[string]int
	keys  []string // paths of values, in order of the file
}

// findPositions walks a document that is free of syntax errors. Elements of
// arrays of tables get paths such as "seeds[0].name".
func findPositions(data []byte) *positions {
	pos := &positions{lines: make(map[string]int)}
	counts := make(map[string]int)
	var parser unstable.Parser
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = joinKey("", node)
			pos.note(table, lineOf(&parser, node))
		case unstable.ArrayTable:
			name := joinKey("", node)
			table = name + "[" + strconv.Itoa(counts[name]) + "]"
			counts[name]++
			pos.note(table, lineOf(&parser, node))
		case unstable.KeyValue:
			pos.addValue(&parser, table, node)
		}
	}
	return pos
}

// addValue notes a key with its value; inline tables count as tables.
func (p *positions) addValue(parser *unstable.Parser, table string, node *unstable.Node) {
	path := joinKey(table, node)
	line := lineOf(parser, node)
	p.note(path, line)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		p.keys = append(p.keys, path)
		return
	}
	children := value.Children()
	for children.Next() {
		p.addValue(parser, path, children.Node())
	}
}

// note keeps the first line of a path.
func (p *positions) note(path string, line int) {
	if _, ok := p.lines[path]; !ok {
		p.lines[path] = line
	}
}

// line returns the line of path or, when it is absent, of its table, or 1.
func (p *positions) line(path string) int {
	for path != "" {
		if line, ok := p.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return 1
}

func parent(path string) string {
	i := strings.LastIndexByte(path, '.')
	if i < 0 {
		return ""
	}
	return path[:i]
}

func joinKey(table string, node *unstable.Node) string {
	var parts []string
	if table != "" {
		parts = append(parts, table)
	}
	key := node.Key()
	for key.Next() {
		parts = append(parts, string(key.Node().Data))
	}
	return strings.Join(parts, ".")
}

// lineOf returns the line of the first part of a node's key.
func lineOf(parser *unstable.Parser, node *unstable.Node) int {
	key := node.Key()
	if !key.Next() {
		return 1
	}
	return parser.Shape(key.Node().Raw).Start.Line
}
