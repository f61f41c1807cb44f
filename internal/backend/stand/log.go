package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
)

// entry is one committed transaction of the statement log.
type entry struct {
	Term       uint64      `json:"term"`
	Position   uint64      `json:"position"`
	Statements []statement `json:"statements,omitempty"`
}

// statement is a writing statement and its parameters as text; a nil parameter is NULL.
type statement struct {
	Text   string    `json:"text"`
	Params []*string `json:"params,omitempty"`
}

// args returns the parameters as arguments for database/sql.
func (s statement) args() []any {
	values := make([]any, len(s.Params))
	for i, p := range s.Params {
		if p != nil {
			values[i] = *p
		}
	}
	return values
}

// entryLog is the log of an instance. The file holds one JSON entry a line; all entries are also
// kept in memory. Positions start at 1.
type entryLog struct {
	file    *os.File
	entries []entry
}

// openLog opens or creates the log file and drops an incomplete last line.
func openLog(path string) (*entryLog, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open instance log: %w", err)
	}
	l := &entryLog{file: f}
	end, err := l.load()
	if err != nil {
		f.Close()
		return nil, err
	}
	if err := f.Truncate(end); err != nil {
		return nil, err
	}
	_, err = f.Seek(end, 0)
	return l, err
}

// load reads entries up to an incomplete last line and returns the offset in bytes at which the line before it ends.
// It returns an error for any other line that is not the next entry.
func (l *entryLog) load() (int64, error) {
	r := bufio.NewReader(l.file)
	var end int64
	for {
		line, err := r.ReadBytes('\n')
		if err == io.EOF {
			return end, nil
		}
		if err != nil {
			return end, fmt.Errorf("read instance log: %w", err)
		}
		var e entry
		if err := json.Unmarshal(line, &e); err != nil {
			return end, fmt.Errorf("read entry %d of instance log: %w", l.lastPosition()+1, err)
		}
		if e.Position != l.lastPosition()+1 {
			return end, fmt.Errorf("entry %d of instance log is entry %d", l.lastPosition()+1, e.Position)
		}
		l.entries = append(l.entries, e)
		end += int64(len(line))
	}
}

// lastPosition returns the position of the last entry, or 0.
func (l *entryLog) lastPosition() uint64 { return uint64(len(l.entries)) }

// lastTerm returns the term of the last entry, or 0.
func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return 0
	}
	return l.entries[len(l.entries)-1].Term
}

// append writes an entry, whose position must follow the last one.
func (l *entryLog) append(e entry) error {
	if e.Position != l.lastPosition()+1 {
		return fmt.Errorf("entry %d does not follow entry %d", e.Position, l.lastPosition())
	}
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(append(b, '\n')); err != nil {
		return err
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncateAfter drops all entries after position and rewrites the file.
func (l *entryLog) truncateAfter(position uint64) error {
	l.entries = l.entries[:position:position]
	if err := l.file.Truncate(0); err != nil {
		return err
	}
	if _, err := l.file.Seek(0, 0); err != nil {
		return err
	}
	w := bufio.NewWriter(l.file)
	enc := json.NewEncoder(w)
	for _, e := range l.entries {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (l *entryLog) close() error { return l.file.Close() }

func (in *Instance) termFile() string { return in.cfg.Dir + "/term" }

// readTerm returns the term in the file, but at least minTerm. A missing file counts as minTerm.
func readTerm(path string, minTerm uint64) (uint64, error) {
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return minTerm, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 10, 64)
	return max(n, minTerm), err
}

// writeTerm replaces the file by renaming, so that it never holds part of a term.
func writeTerm(path string, term uint64) error {
	tempPath := path + ".part"
	if err := os.WriteFile(tempPath, []byte(strconv.FormatUint(term, 10)), 0o600); err != nil {
		return err
	}
	return os.Rename(tempPath, path)
}
