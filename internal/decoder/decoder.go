// Package decoder reads TOML into schema messages and reports every mistake of a
// file with its line, not only the first.
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

	"github.com/eelgrasstide/eelgrasstide/internal/fault"
)

const durationName = "google.protobuf.Duration"

// Problem is one mistake in a file.
type Problem struct {
	File   string
	Line   int
	Key    string
	Text   string
	Remedy string
}

// String returns the problem as file:line: key: text; remedy.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", p.File, p.Line, p.Key, p.Text, p.Remedy)
}

// Decoder decodes one file. Set File before use; Problems and Lines are filled.
type Decoder struct {
	File     string
	Problems []Problem
	// Lines holds the line of each key path, joined with dots.
	Lines map[string]int
}

// Decode fills message from TOML. It collects problems and goes on.
func (d *Decoder) Decode(text []byte, message proto.Message) {
	d.Lines = lines(text)
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		line := 1
		var broken *toml.DecodeError
		if errors.As(err, &broken) {
			line, _ = broken.Position()
		}
		d.Problems = append(d.Problems, Problem{File: d.File, Line: line, Key: "(syntax)", Text: err.Error(), Remedy: "write valid TOML"})
		return
	}
	d.table(tree, message.ProtoReflect(), "")
}

// Report adds a problem at a key path.
func (d *Decoder) Report(path, remedy, format string, args ...any) {
	d.Problems = append(d.Problems, Problem{File: d.File, Line: d.line(path), Key: path, Text: fmt.Sprintf(format, args...), Remedy: remedy})
}

// line returns the line of the path, or of the nearest table above it.
func (d *Decoder) line(path string) int {
	for at := path; at != ""; at = parent(at) {
		if line, ok := d.Lines[at]; ok {
			return line
		}
	}
	return 1
}

func parent(path string) string {
	if cut := strings.LastIndexByte(path, '.'); cut >= 0 {
		return path[:cut]
	}
	return ""
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *Decoder) table(tree map[string]any, message protoreflect.Message, path string) {
	keys := make([]string, 0, len(tree))
	for key := range tree {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	fields := message.Descriptor().Fields()
	for _, key := range keys {
		at := join(path, key)
		field := fields.ByJSONName(key)
		if field == nil {
			d.Report(at, "use one of "+names(fields), "unknown key")
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

func names(fields protoreflect.FieldDescriptors) string {
	out := make([]string, fields.Len())
	for i := range out {
		out[i] = fields.Get(i).JSONName()
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

func (d *Decoder) entries(raw any, into protoreflect.Map, field protoreflect.FieldDescriptor, path string) {
	tree, ok := raw.(map[string]any)
	if !ok {
		d.Report(path, "write it as a table, [NAME]", "has to be a table")
		return
	}
	for name, child := range tree {
		if value, ok := d.value(child, field, into.NewValue(), join(path, name)); ok {
			into.Set(protoreflect.ValueOfString(name).MapKey(), value)
		}
	}
}

func (d *Decoder) value(raw any, field protoreflect.FieldDescriptor, fresh protoreflect.Value, path string) (protoreflect.Value, bool) {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return d.message(raw, field, fresh, path)
	case protoreflect.EnumKind:
		return d.enum(raw, field, path)
	case protoreflect.StringKind:
		if text, ok := raw.(string); ok {
			return protoreflect.ValueOfString(text), true
		}
		d.Report(path, "put the value in quotes", "has to be a text")
	case protoreflect.BoolKind:
		if flag, ok := raw.(bool); ok {
			return protoreflect.ValueOfBool(flag), true
		}
		d.Report(path, "write true or false without quotes", "has to be true or false")
	case protoreflect.DoubleKind:
		switch number := raw.(type) {
		case float64:
			return protoreflect.ValueOfFloat64(number), true
		case int64:
			return protoreflect.ValueOfFloat64(float64(number)), true
		}
		d.Report(path, "write a number such as 2.5", "has to be a number")
	default:
		return d.integer(raw, field, path)
	}
	return protoreflect.Value{}, false
}

func (d *Decoder) integer(raw any, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, bool) {
	number, ok := raw.(int64)
	if !ok || (field.Kind() == protoreflect.Int32Kind && number != int64(int32(number))) {
		d.Report(path, "write a whole number without quotes or unit", "has to be a whole number")
		return protoreflect.Value{}, false
	}
	if field.Kind() == protoreflect.Int32Kind {
		return protoreflect.ValueOfInt32(int32(number)), true
	}
	return protoreflect.ValueOfInt64(number), true
}

func (d *Decoder) message(raw any, field protoreflect.FieldDescriptor, fresh protoreflect.Value, path string) (protoreflect.Value, bool) {
	if field.Message().FullName() == durationName {
		text, _ := raw.(string)
		length, err := time.ParseDuration(text)
		if err != nil {
			d.Report(path, `write a time with its unit, such as "250ms" or "5s"`, "%v is not a time", raw)
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfMessage(durationpb.New(length).ProtoReflect()), true
	}
	tree, ok := raw.(map[string]any)
	if !ok {
		d.Report(path, "write it as a table", "has to be a table")
		return protoreflect.Value{}, false
	}
	d.table(tree, fresh.Message(), path)
	return fresh, true
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
	d.Report(path, "use one of "+strings.Join(known, ", "), "%v is not known", raw)
	return protoreflect.Value{}, false
}

// Err returns every problem as one error of kind Invalid, or nil.
func Err(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	text := make([]string, len(problems))
	for i, problem := range problems {
		text[i] = problem.String()
	}
	return fault.Invalid.New("correct every line named", "%d mistakes:\n%s\n", len(problems), strings.Join(text, "\n"))
}

// lines maps each key path of the text to its line.
func lines(text []byte) map[string]int {
	out, parser, table := map[string]int{}, unstable.Parser{}, ""
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		path, line := "", 1
		for keys := expression.Key(); keys.Next(); {
			node := keys.Node()
			path, line = join(path, string(node.Data)), parser.Shape(node.Raw).Start.Line
		}
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path
		case unstable.KeyValue:
			path = join(table, path)
		default:
			continue
		}
		out[path] = line
	}
	return out
}
