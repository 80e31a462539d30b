package ingress

import (
	"bytes"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
)

// maxMessageParts limits the fields of a message between hosts and of the messages in it. The largest have
// three for each target.
const maxMessageParts = 8192

// CheckMessage returns an Invalid error for a message between hosts, in protobuf or JSON, that has more
// parts than any of them: an empty part takes two bytes and decodes to tens of times as many.
func CheckMessage(r *http.Request, body []byte) error {
	parts := 0
	if strings.Contains(strings.ToLower(r.Header.Get("Content-Type")), "json") {
		parts = bytes.Count(body, []byte{'{'})
	} else {
		parts = countParts(body, requestOf(r.URL.Path), 0)
	}
	if parts > maxMessageParts {
		return errkind.Invalid.New("send a smaller message", "ingress.CheckMessage: the message has more than %d parts", maxMessageParts)
	}
	return nil
}

// requestOf returns the type of the request of a Twirp call with a path, or nil if there is no such call.
func requestOf(path string) protoreflect.MessageDescriptor {
	service, method, _ := strings.Cut(strings.TrimPrefix(path, "/twirp/"), "/")
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(service + "." + method))
	if called, ok := found.(protoreflect.MethodDescriptor); ok && err == nil {
		return called.Input()
	}
	return nil
}

// countParts adds the fields of a message of a type, and those of the messages in it, to parts. It stops
// beyond maxMessageParts, and in a message at the first field that is malformed, which the decoder reports.
// Where the type is not known, each field with a length counts as a message.
func countParts(message []byte, of protoreflect.MessageDescriptor, parts int) int {
	for len(message) > 0 && parts <= maxMessageParts {
		number, kind, length := protowire.ConsumeField(message)
		if length <= 0 {
			break
		}
		parts++
		if kind == protowire.BytesType {
			_, _, tag := protowire.ConsumeTag(message)
			content, _ := protowire.ConsumeBytes(message[tag:])
			parts = countContent(content, of, number, parts)
		}
		message = message[length:]
	}
	return parts
}

// countContent adds the parts of a field with a length if it is a message.
func countContent(content []byte, of protoreflect.MessageDescriptor, number protowire.Number, parts int) int {
	if of == nil {
		return countParts(content, nil, parts)
	}
	if field := of.Fields().ByNumber(number); field != nil && field.Message() != nil {
		return countParts(content, field.Message(), parts)
	}
	return parts
}
