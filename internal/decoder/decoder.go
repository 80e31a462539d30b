// Package decoder decodes TOML files into protobuf messages. It reports all mistakes of a file
// with their lines, not only the first.
package decoder

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
)

const durationTypeName = "google.protobuf.Duration"

// Problem is one mistake in a file.
type Problem struct {
	File string
	Line int
	// Key is the path of the key, or a word in parentheses for a mistake that has none.
	Key    string
	Text   string
	Remedy string
}

// String returns the problem in the form "file:line: key: text; remedy".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", p.File, p.Line, p.Key, p.Text, p.Remedy)
}

// Decoder decodes one file and collects its problems. Set File before use. Decode and Report
// set the other fields.
type Decoder struct {
	File     string
	Problems []Problem
	// Lines holds the line number of each key path. The parts of a path are joined with dots.
	Lines map[string]int
}

// Decode decodes TOML into message. Wrong values and unknown keys are added to Problems and
// left out. A syntax error is the only problem reported, as nothing can then be decoded.
func (d *Decoder) Decode(text []byte, message proto.Message) {
	d.Lines = keyLines(text)
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		line := 1
		var syntaxErr *toml.DecodeError
		if errors.As(err, &syntaxErr) {
			line, _ = syntaxErr.Position()
		}
		d.Problems = append(d.Problems, Problem{File: d.File, Line: line, Key: "(syntax)", Text: err.Error(), Remedy: "correct the TOML syntax"})
		return
	}
	d.table(tree, message.ProtoReflect(), "")
}

// Report adds a problem at a key path. The line is that of the path or of the nearest table
// that contains it.
func (d *Decoder) Report(path, remedy, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{File: d.File, Line: d.line(path), Key: path, Text: fmt.Sprintf(format, args...), Remedy: remedy})
}

// line returns the line of a key path, or of the nearest table that contains it, or 1.
func (d *Decoder) line(path string) int {
	for at := path; at != ""; at = parentPath(at) {
		if line, ok := d.Lines[at]; ok {
			return line
		}
	}
	return 1
}

// parentPath returns the path without its last part, or "" for a top-level key.
func parentPath(path string) string {
	if cut := strings.LastIndexByte(path, '.'); cut >= 0 {
		return path[:cut]
	}
	return ""
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// table decodes a table into message. Path is the key path of the table.
func (d *Decoder) table(tree map[string]any, message protoreflect.Message, path string) {
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	fields := message.Descriptor().Fields()
	for _, key := range keys {
		at := joinPath(path, key)
		field := fields.ByJSONName(key)
		if field == nil {
			d.Report(at, "use one of "+jsonNames(fields), "unknown key")
			continue
		}
		if field.IsMap() {
			d.entries(tree[key], message.Mutable(field).Map(), field.MapValue(), at)
			continue
		}
		if value, ok := d.value(tree[key], field, message.NewField(field), at); ok {
			message.Set(field, value)
		}
	}
}

// jsonNames returns the names of the fields, sorted, for a remedy.
func jsonNames(fields protoreflect.FieldDescriptors) string {
	out := make([]string, fields.Len())
	for i := range out {
		out[i] = fields.Get(i).JSONName()
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// entries decodes a table into a map field. Its keys are the names of the entries.
func (d *Decoder) entries(raw any, into protoreflect.Map, field protoreflect.FieldDescriptor, path string) {
	tree, ok := raw.(map[string]any)
	if !ok {
		d.Report(path, "write it as a table, [NAME]", "must be a table")
		return
	}
	for name, child := range tree {
		if value, ok := d.value(child, field, into.NewValue(), joinPath(path, name)); ok {
			into.Set(protoreflect.ValueOfString(name).MapKey(), value)
		}
	}
}

// value decodes raw by the kind of the field and reports whether it succeeded. A message is
// decoded into newValue.
func (d *Decoder) value(raw any, field protoreflect.FieldDescriptor, newValue protoreflect.Value, path string) (protoreflect.Value, bool) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return d.message(raw, field, newValue, path)
	case protoreflect.EnumKind:
		return d.enum(raw, field, path)
	case protoreflect.StringKind:
		if text, ok := raw.(string); ok {
			return protoreflect.ValueOfString(text), true
		}
		d.Report(path, "put the value in quotes", "must be a string")
	case protoreflect.BoolKind:
		if flag, ok := raw.(bool); ok {
			return protoreflect.ValueOfBool(flag), true
		}
		d.Report(path, "write true or false without quotes", "must be true or false")
	case protoreflect.DoubleKind:
		switch number := raw.(type) {
		case float64:
			return protoreflect.ValueOfFloat64(number), true
		case int64:
			return protoreflect.ValueOfFloat64(float64(number)), true
		}
		d.Report(path, "use a number such as 2.5", "must be a number")
	default:
		return d.integer(raw, field, path)
	}
	return protoreflect.Value{}, false
}

func (d *Decoder) integer(raw any, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, bool) {
	number, ok := raw.(int64)
	if !ok || (field.Kind() == protoreflect.Int32Kind && number != int64(int32(number))) {
		d.Report(path, "use a whole number without quotes or unit", "must be a whole number")
		return protoreflect.Value{}, false
	}
	if field.Kind() == protoreflect.Int32Kind {
		return protoreflect.ValueOfInt32(int32(number)), true
	}
	return protoreflect.ValueOfInt64(number), true
}

func (d *Decoder) message(raw any, field protoreflect.FieldDescriptor, newValue protoreflect.Value, path string) (protoreflect.Value, bool) {
	if field.Message().FullName() == durationTypeName {
		text, _ := raw.(string)
		length, err := time.ParseDuration(text)
		if err != nil {
			d.Report(path, `use a duration with its unit, such as "250ms" or "5s"`, "%v is not a duration", raw)
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfMessage(durationpb.New(length).ProtoReflect()), true
	}
	tree, ok := raw.(map[string]any)
	if !ok {
		d.Report(path, "write it as a table", "must be a table")
		return protoreflect.Value{}, false
	}
	d.table(tree, newValue.Message(), path)
	return newValue, true
}

func (d *Decoder) enum(raw any, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, bool) {
	text, _ := raw.(string)
	values := field.Enum().Values()
	if value := values.ByName(protoreflect.Name(text)); value != nil && value.Number() != 0 {
		return protoreflect.ValueOfEnum(value.Number()), true
	}
	var known []string
	for i := 1; i < values.Len(); i++ {
		known = append(known, string(values.Get(i).Name()))
	}
	d.Report(path, "use one of "+strings.Join(known, ", "), "%v is not a known value", raw)
	return protoreflect.Value{}, false
}

// Err returns all problems as one error of kind Invalid, or nil if there are none.
func Err(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	text := make([]string, len(problems))
	for i, problem := range problems {
		text[i] = problem.String()
	}
	return errkind.Invalid.New("correct the lines listed above", "%d mistakes:\n%s\n", len(problems), strings.Join(text, "\n"))
}

// keyLines returns the line number of each key path in the text.
func keyLines(text []byte) map[string]int {
	out, parser, table := map[string]int{}, unstable.Parser{}, ""
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := "", 1
		for keys := expression.Key(); keys.Next(); {
			node := keys.Node()
			path, line = joinPath(path, string(node.Data)), parser.Shape(node.Raw).Start.Line
		}
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path
		case unstable.KeyValue:
			path = joinPath(table, path)
		default:
			continue
		}
		out[path] = line
	}
	return out
}
