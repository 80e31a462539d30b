package logsink

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
)

// field is a name and a value of a line.
type field struct {
	name  string
	value any
}

// appendLine appends an entry as one line of JSON, with the fields in the order of their names. It
// uses no reflection for the usual types: a busy planner logs thousands of lines a second.
func appendLine(line []byte, entry *log.Entry) ([]byte, error) {
	fields := make([]field, 0, len(entry.Fields)+3)
	for name, value := range entry.Fields {
		switch name {
		case "time", "level", "message":
		default:
			fields = append(fields, field{name, value})
		}
	}
	fields = append(fields, field{"time", entry.Timestamp.UTC().Format("15:04:05.000")}, field{"level", entry.Level.String()}, field{"message", entry.Message})
	slices.SortFunc(fields, func(a, b field) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	line = append(line, '{')
	for i, f := range fields {
		if i > 0 {
			line = append(line, ',')
		}
		line = append(appendString(line, f.name), ':')
		var err error
		if line, err = appendValue(line, f.value); err != nil {
			return nil, err
		}
	}
	return append(line, '}', '\n'), nil
}

// appendValue appends durations, errors and Stringers as text, and other values as JSON has them.
func appendValue(line []byte, value any) ([]byte, error) {
	switch value := value.(type) {
	case string:
		return appendString(line, value), nil
	case time.Duration:
		return appendString(line, value.Round(time.Millisecond).String()), nil
	case int:
		return strconv.AppendInt(line, int64(value), 10), nil
	case int64:
		return strconv.AppendInt(line, value, 10), nil
	case bool:
		return strconv.AppendBool(line, value), nil
	case error:
		return appendString(line, value.Error()), nil
	case fmt.Stringer:
		return appendString(line, value.String()), nil
	}
	text, err := json.Marshal(value)
	return append(line, text...), err
}

// appendString appends a text in quotation marks. Text with bytes that JSON or HTML escape is left to
// encoding/json.
func appendString(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			escaped, err := json.Marshal(text)
			if err != nil {
				return strconv.AppendQuoteToASCII(line, text)
			}
			return append(line, escaped...)
		}
	}
	return append(append(append(line, '"'), text...), '"')
}
