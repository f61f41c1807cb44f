package stand

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Type OIDs of PostgreSQL.
const (
	oidInt8   = 20
	oidText   = 25
	oidFloat8 = 701
)

type column struct {
	name string
	oid  uint32
}

// result is the complete result of one statement. columns is nil if it returns no rows.
type result struct {
	columns    []column
	rows       [][]any
	commandTag string
}

// placeholder matches a PostgreSQL parameter such as "$1".
var placeholder = regexp.MustCompile(`\$(\d+)`)

// toEngineSQL replaces each PostgreSQL placeholder "$1" by SQLite's "?1".
func toEngineSQL(text string) string { return placeholder.ReplaceAllString(text, "?$1") }

// queryEngine runs a statement on the engine and reads the complete result.
func (s *session) queryEngine(ctx context.Context, text string, params []*string) (*result, error) {
	v := keyword(text)
	if !isRead(v) && !hasReturning(text) && v != "WITH" {
		execResult, err := s.engine.ExecContext(ctx, toEngineSQL(text), statement{text, params}.args()...)
		if err != nil {
			return nil, err
		}
		n, _ := execResult.RowsAffected()
		return &result{commandTag: commandTag(v, text, n)}, nil
	}
	rows, err := s.engine.QueryContext(ctx, toEngineSQL(text), statement{text, params}.args()...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	res := &result{columns: []column{}}
	for rows.Next() {
		row, err := scanRow(rows.Scan, len(types))
		if err != nil {
			return nil, err
		}
		res.rows = append(res.rows, row)
	}
	for i, t := range types {
		res.columns = append(res.columns, column{t.Name(), columnOID(t.DatabaseTypeName(), res.rows, i)})
	}
	res.commandTag = commandTag(v, text, int64(len(res.rows)))
	return res, rows.Err()
}

// scanRow scans a row of n columns.
func scanRow(scan func(...any) error, n int) ([]any, error) {
	row := make([]any, n)
	dest := make([]any, n)
	for i := range row {
		dest[i] = &row[i]
	}
	return row, scan(dest...)
}

// columnOID returns the type of column i: from its declared type or, if it has none, from the value in
// the first row.
func columnOID(declared string, rows [][]any, i int) uint32 {
	switch strings.ToUpper(declared) {
	case "INT", "INTEGER", "BIGINT", "SMALLINT":
		return oidInt8
	case "REAL", "DOUBLE PRECISION", "FLOAT":
		return oidFloat8
	}
	if len(rows) == 0 || declared != "" {
		return oidText
	}
	switch rows[0][i].(type) {
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	}
	return oidText
}

// commandTag returns the CommandComplete tag for a statement with keyword v and n affected or returned
// rows.
func commandTag(v, text string, n int64) string {
	switch v {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", n)
	case "SELECT", "UPDATE", "DELETE", "WITH", "VALUES", "TABLE":
		if v == "WITH" || v == "VALUES" || v == "TABLE" {
			v = "SELECT"
		}
		return fmt.Sprintf("%s %d", v, n)
	case "CREATE", "DROP", "ALTER":
		words := strings.Fields(strings.ToUpper(text))
		return strings.Join(words[:min(2, len(words))], " ")
	}
	return v
}

func (r *result) rowDescription(formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range r.columns {
		size := int16(-1)
		if c.oid != oidText {
			size = 8
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatAt(formats, i),
		})
	}
	return d
}

func (r *result) sendRows(backend *pgproto3.Backend, formats []int16) {
	for _, row := range r.rows {
		m := &pgproto3.DataRow{}
		for i, v := range row {
			m.Values = append(m.Values, encode(v, r.columns[i].oid, formatAt(formats, i)))
		}
		backend.Send(m)
	}
}

// encode encodes a value in the text or binary format; nil is NULL. A value without a binary encoding
// is sent as text.
func encode(v any, oid uint32, format int16) []byte {
	if v == nil {
		return nil
	}
	if format == pgproto3.BinaryFormat {
		if b, ok := encodeBinary(v, oid); ok {
			return b
		}
	}
	return []byte(valueText(v))
}

// encodeBinary encodes integers and floats. It returns false for other types and values.
func encodeBinary(v any, oid uint32) ([]byte, bool) {
	switch oid {
	case oidInt8:
		if n, err := strconv.ParseInt(valueText(v), 10, 64); err == nil {
			return binary.BigEndian.AppendUint64(nil, uint64(n)), true
		}
	case oidFloat8:
		if f, err := strconv.ParseFloat(valueText(v), 64); err == nil {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), true
		}
	}
	return nil, false
}

// valueText returns a value in PostgreSQL's text format.
func valueText(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case []byte:
		return string(v)
	case int64:
		return strconv.FormatInt(v, 10)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case bool:
		return string("ft"[btoi(v)])
	case time.Time:
		return v.Format(time.RFC3339Nano)
	}
	return fmt.Sprint(v)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
