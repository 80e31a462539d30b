package ingress

import (
	"bytes"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
)

// maxMessageParts limits the parts of a message between hosts. The largest have one for each target.
const maxMessageParts = 8192

// CheckMessage returns an Invalid error for a message between hosts, in protobuf or JSON, that has more
// parts than any of them: an empty part takes two bytes and decodes to tens of times as many.
func CheckMessage(r *http.Request, body []byte) error {
	parts := 0
	if strings.Contains(strings.ToLower(r.Header.Get("Content-Type")), "json") {
		parts = bytes.Count(body, []byte{'{'})
	} else {
		for rest := body; len(rest) > 0 && parts <= maxMessageParts; parts++ {
			_, _, length := protowire.ConsumeField(rest)
			if length <= 0 {
				// The decoder reports the mistake.
				return nil
			}
			rest = rest[length:]
		}
	}
	if parts > maxMessageParts {
		return errkind.Invalid.New("send a smaller message", "ingress.CheckMessage: the message has more than %d parts", maxMessageParts)
	}
	return nil
}
