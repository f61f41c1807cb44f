package conf

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Issue is one mistake in a settings file. Line and Column count from 1.
type Issue struct {
	Line   int
	Column int
	// Text says what is wrong and what to write instead.
	Text string
}

// Issues are all mistakes in a settings file, in file order.
type Issues []Issue

// Error returns one "line:column: text" line for each issue.
func (issues Issues) Error() string {
	lines := make([]string, len(issues))
	for i, issue := range issues {
		lines[i] = fmt.Sprintf("%d:%d: %s", issue.Line, issue.Column, issue.Text)
	}
	return strings.Join(lines, "\n")
}

// Load reads, decodes and checks a settings file. Mistakes in the file are returned as Issues.
func Load(path string) (Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read settings: %w", err)
	}
	return Decode(b)
}

// Decode decodes settings on top of the defaults and checks them. Mistakes are returned as Issues.
func Decode(b []byte) (Config, error) {
	cfg := Default()
	d := &decoder{src: b, offsets: map[string]int{}}
	root, err := hujson.Parse(b)
	if err != nil {
		return Config{}, Issues{syntaxIssue(err)}
	}
	d.decodeValue("", root, reflect.ValueOf(&cfg).Elem())
	d.check(cfg)
	if len(d.issues) > 0 {
		sort.SliceStable(d.issues, func(i, j int) bool { return lessByPosition(d.issues[i], d.issues[j]) })
		return Config{}, d.issues
	}
	return cfg, nil
}

func lessByPosition(a, b Issue) bool {
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Column < b.Column
}

// syntaxIssue converts a parser error to an Issue. It parses line and column from the error text.
func syntaxIssue(err error) Issue {
	issue := Issue{Line: 1, Column: 1, Text: err.Error()}
	fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &issue.Line, &issue.Column)
	if _, text, ok := strings.Cut(err.Error(), ": "); ok {
		issue.Text = text
	}
	return issue
}

// decoder fills a Config from a syntax tree.
type decoder struct {
	src []byte
	// offsets are the byte offsets of decoded values in src, by path, such as "control[0].link".
	offsets map[string]int
	issues  Issues
}

func (d *decoder) addIssue(offset int, format string, args ...any) {
	line, column := position(d.src, offset)
	d.issues = append(d.issues, Issue{line, column, fmt.Sprintf(format, args...)})
}

// position converts a byte offset into line and column, both from 1.
func position(src []byte, offset int) (line, column int) {
	head := string(src[:min(offset, len(src))])
	line = strings.Count(head, "\n") + 1
	column = offset - strings.LastIndex(head, "\n")
	return line, column
}

var durationType = reflect.TypeOf(Duration(0))

func (d *decoder) decodeValue(path string, v hujson.Value, dst reflect.Value) {
	d.offsets[path] = v.StartOffset
	switch {
	case dst.Type() == durationType:
		d.decodeDuration(path, v, dst)
	case dst.Kind() == reflect.Struct:
		d.decodeObject(path, v, dst)
	case dst.Kind() == reflect.Slice:
		d.decodeArray(path, v, dst)
	default:
		d.decodeScalar(path, v, dst)
	}
}

func (d *decoder) decodeDuration(path string, v hujson.Value, dst reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.addIssue(v.StartOffset, `%s: write a duration with its unit, such as "300ms"`, path)
		return
	}
	s := l.String()
	n, err := time.ParseDuration(s)
	if err != nil {
		d.addIssue(v.StartOffset, `%s: %q is not a duration with a unit; write it like "300ms" or "2s"`, path, s)
		return
	}
	dst.SetInt(int64(n))
}

func (d *decoder) decodeObject(path string, v hujson.Value, dst reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addIssue(v.StartOffset, "%s: write an object in braces", pathLabel(path))
		return
	}
	fields := fieldIndexes(dst.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		i, known := fields[name]
		if !known {
			d.addIssue(m.Name.StartOffset, "unknown name %q; known names here: %s", name, strings.Join(sortedNames(fields), ", "))
			continue
		}
		if seen[name] {
			d.addIssue(m.Name.StartOffset, "%q appears twice; keep one", name)
			continue
		}
		seen[name] = true
		d.decodeValue(joinPath(path, name), m.Value, dst.Field(i))
	}
}

func (d *decoder) decodeArray(path string, v hujson.Value, dst reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addIssue(v.StartOffset, "%s: write a list in brackets", path)
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), e, list.Index(i))
	}
	dst.Set(list)
}

func (d *decoder) decodeScalar(path string, v hujson.Value, dst reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() == 'n' || json.Unmarshal([]byte(l), dst.Addr().Interface()) != nil {
		d.addIssue(v.StartOffset, "%s: write a %s", path, kindName(dst.Kind()))
	}
}

func kindName(k reflect.Kind) string {
	if k == reflect.String {
		return "text in quotes"
	}
	return k.String()
}

func pathLabel(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldIndexes returns the indexes of the fields of t by JSON name.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = i
	}
	return fields
}

func sortedNames(fields map[string]int) []string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
