package document

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions are the line numbers of the keys and tables of a document.
type positions struct {
	lines map[string]int // by path, from 1
	keys  []string       // paths of the keys with values, in the order of the file
}

// findPositions returns the positions in a document without syntax errors. Elements of
// arrays of tables have paths such as "seeds[0].name".
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
			table = keyPath("", node)
			pos.recordLine(table, lineOf(&parser, node))
		case unstable.ArrayTable:
			name := keyPath("", node)
			table = name + "[" + strconv.Itoa(counts[name]) + "]"
			counts[name]++
			pos.recordLine(table, lineOf(&parser, node))
		case unstable.KeyValue:
			pos.addKeyValue(&parser, table, node)
		}
	}
	return pos
}

// addKeyValue records a key, and the keys of its value if that is an inline table.
func (p *positions) addKeyValue(parser *unstable.Parser, table string, node *unstable.Node) {
	path := keyPath(table, node)
	line := lineOf(parser, node)
	p.recordLine(path, line)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		p.keys = append(p.keys, path)
		return
	}
	children := value.Children()
	for children.Next() {
		p.addKeyValue(parser, path, children.Node())
	}
}

// recordLine records the line of a path, unless the path occurred before.
func (p *positions) recordLine(path string, line int) {
	if _, ok := p.lines[path]; !ok {
		p.lines[path] = line
	}
}

// line returns the line of path. If the document does not have path, it returns the line of
// its table, or 1 without a table.
func (p *positions) line(path string) int {
	for path != "" {
		if line, ok := p.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return 1
}

// parentPath returns the path of the table of path; "" at the top level.
func parentPath(path string) string {
	i := strings.LastIndexByte(path, '.')
	if i < 0 {
		return ""
	}
	return path[:i]
}

// keyPath returns the path of the key of node in table, which may be empty.
func keyPath(table string, node *unstable.Node) string {
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
