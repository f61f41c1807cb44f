package mimic

import (
	"bufio"
	"bytes"
)

// lineEnd ends each line of the statement protocol. A CR or LF alone is part of a field.
const lineEnd = "\r\n"

// ReadLine reads up to lineEnd and returns the bytes before it, unchanged.
func ReadLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadBytes('\n')
		line = append(line, part...)
		if err != nil {
			return string(line), err
		}
		if bytes.HasSuffix(line, []byte(lineEnd)) {
			return string(line[:len(line)-len(lineEnd)]), nil
		}
	}
}
