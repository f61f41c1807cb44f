package logs

import (
	"strings"

	"github.com/apex/log"
)

// maxFieldBytes is the maximum length of a text in a field of a log line; longer ones are cut.
const maxFieldBytes = 2 << 10

// cutMark follows a text that was cut.
const cutMark = "…"

// Shorten returns a text as it stands in a field of a log line: callers and instances choose some of them.
func Shorten(s string) string {
	if len(s) > maxFieldBytes {
		s = s[:maxFieldBytes] + cutMark
	}
	return strings.ToValidUTF8(s, "\uFFFD")
}

// shortenFields returns a copy of the fields with their texts cut, and the revision.
func shortenFields(fields log.Fields, revision uint64) log.Fields {
	copied := log.Fields{"revision": revision}
	for name, v := range fields {
		if text, ok := v.(string); ok {
			v = Shorten(text)
		}
		copied[name] = v
	}
	return copied
}
