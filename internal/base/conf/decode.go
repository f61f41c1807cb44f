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

// Fault is one mistake in a settings file.
type Fault struct {
	Line   int
	Column int
	// Text says what is wrong and what to write instead.
	Text string
}

// Faults are all mistakes of a settings file, in the order of the file.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = fmt.Sprintf("%d:%d: %s", one.Line, one.Column, one.Text)
	}
	return strings.Join(lines, "\n")
}

// Load reads, decodes and checks a settings file. Mistakes in it come as Faults.
func Load(path string) (Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read settings: %w", err)
	}
	return Decode(b)
}

// Decode decodes settings on top of the defaults and checks them. Mistakes come as Faults.
func Decode(b []byte) (Config, error) {
	cfg := Default()
	d := &decoder{src: b, at: map[string]int{}}
	root, err := hujson.Parse(b)
	if err != nil {
		return Config{}, Faults{syntaxFault(err)}
	}
	d.value("", root, reflect.ValueOf(&cfg).Elem())
	d.check(cfg)
	if len(d.faults) > 0 {
		sort.SliceStable(d.faults, func(i, j int) bool { return before(d.faults[i], d.faults[j]) })
		return Config{}, d.faults
	}
	return cfg, nil
}

func before(a, b Fault) bool {
	if a.Line != b.Line {
		return a.Line < b.Line
	}
	return a.Column < b.Column
}

// syntaxFault takes line and column out of the parser's message.
func syntaxFault(err error) Fault {
	f := Fault{Line: 1, Column: 1, Text: err.Error()}
	fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &f.Column)
	if _, text, ok := strings.Cut(err.Error(), ": "); ok {
		f.Text = text
	}
	return f
}

// decoder fills a Config from a syntax tree and remembers where each field stood.
type decoder struct {
	src    []byte
	at     map[string]int
	faults Faults
}

func (d *decoder) fault(offset int, format string, args ...any) {
	line, column := position(d.src, offset)
	d.faults = append(d.faults, Fault{line, column, fmt.Sprintf(format, args...)})
}

func position(src []byte, offset int) (line, column int) {
	head := string(src[:min(offset, len(src))])
	line = strings.Count(head, "\n") + 1
	column = offset - strings.LastIndex(head, "\n")
	return line, column
}

var spanType = reflect.TypeOf(Span(0))

func (d *decoder) value(path string, v hujson.Value, to reflect.Value) {
	d.at[path] = v.StartOffset
	switch {
	case to.Type() == spanType:
		d.span(path, v, to)
	case to.Kind() == reflect.Struct:
		d.object(path, v, to)
	case to.Kind() == reflect.Slice:
		d.array(path, v, to)
	default:
		d.scalar(path, v, to)
	}
}

func (d *decoder) span(path string, v hujson.Value, to reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.fault(v.StartOffset, `%s: write a duration with its unit, such as "300ms"`, path)
		return
	}
	s := l.String()
	n, err := time.ParseDuration(s)
	if err != nil {
		d.fault(v.StartOffset, `%s: %q has no unit that is known; write it such as "300ms" or "2s"`, path, s)
		return
	}
	to.SetInt(int64(n))
}

func (d *decoder) object(path string, v hujson.Value, to reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v.StartOffset, "%s: write an object in braces", label(path))
		return
	}
	fields := fieldsOf(to.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		i, known := fields[name]
		if !known {
			d.fault(m.Name.StartOffset, "unknown name %q; known here: %s", name, strings.Join(names(fields), ", "))
			continue
		}
		if seen[name] {
			d.fault(m.Name.StartOffset, "%q stands twice; keep one", name)
			continue
		}
		seen[name] = true
		d.value(join(path, name), m.Value, to.Field(i))
	}
}

func (d *decoder) array(path string, v hujson.Value, to reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(v.StartOffset, "%s: write a list in brackets", path)
		return
	}
	list := reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, list.Index(i))
	}
	to.Set(list)
}

func (d *decoder) scalar(path string, v hujson.Value, to reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() == 'n' || json.Unmarshal([]byte(l), to.Addr().Interface()) != nil {
		d.fault(v.StartOffset, "%s: write a %s", path, kindName(to.Kind()))
	}
}

func kindName(k reflect.Kind) string {
	if k == reflect.String {
		return "text in quotes"
	}
	return k.String()
}

func label(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = i
	}
	return fields
}

func names(fields map[string]int) []string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
