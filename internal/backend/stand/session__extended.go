package stand

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// portal is a bound statement. Describe runs a statement that returns rows; its result is kept in res
// for Execute.
type portal struct {
	text    string
	params  []*string
	formats []int16
	res     *result
}

// extendedMessage handles one message of the extended query protocol.
func (s *session) extendedMessage(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if err := checkText(m.Query); err != nil {
			return err
		}
		s.prepared[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
		return nil
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(ctx, m)
	case *pgproto3.Execute:
		return s.execute(ctx, m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return unsupported(fmt.Sprintf("message %T", m))
}

// bind creates a portal from a prepared statement and its parameters.
func (s *session) bind(m *pgproto3.Bind) error {
	text, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return &pgError{codeUnknownStatement, fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	p := &portal{text: text, formats: m.ResultFormatCodes}
	for i, b := range m.Parameters {
		param := paramText(b, formatAt(m.ParameterFormatCodes, i))
		if param != nil {
			if err := checkText(*param); err != nil {
				return err
			}
		}
		p.params = append(p.params, param)
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatAt returns the format code of column or parameter i: the only code applies to all, and text is
// the default.
func formatAt(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return pgproto3.TextFormat
}

// paramText returns a parameter as text, or nil for NULL. A binary parameter of 8 bytes is taken as an
// integer, any other as text.
func paramText(b []byte, format int16) *string {
	if b == nil {
		return nil
	}
	text := string(b)
	if format == pgproto3.BinaryFormat && len(b) == 8 {
		text = strconv.FormatInt(int64(binary.BigEndian.Uint64(b)), 10)
	}
	return &text
}

// paramCount returns the highest placeholder number in a statement.
func paramCount(text string) int {
	n := 0
	for _, m := range placeholder.FindAllStringSubmatch(text, -1) {
		i, _ := strconv.Atoi(m[1])
		n = max(n, i)
	}
	return min(n, math.MaxUint16)
}

// describe sends the row description of a prepared statement or a portal.
func (s *session) describe(ctx context.Context, m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		return s.describeStatement(ctx, m.Name)
	}
	p, ok := s.portals[m.Name]
	if !ok {
		return &pgError{codeUnknownPortal, fmt.Sprintf("portal %q does not exist", m.Name)}
	}
	if !isRead(keyword(p.text)) && !hasReturning(p.text) {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	res, err := s.run(ctx, p.text, p.params)
	if err != nil {
		return err
	}
	p.res = res
	s.backend.Send(res.rowDescription(p.formats))
	return nil
}

// describeStatement describes a prepared statement. It runs a read with NULL parameters to learn the
// columns.
func (s *session) describeStatement(ctx context.Context, name string) error {
	text, ok := s.prepared[name]
	if !ok {
		return &pgError{codeUnknownStatement, fmt.Sprintf("prepared statement %q does not exist", name)}
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: make([]uint32, paramCount(text))})
	if !isRead(keyword(text)) {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	res, err := s.run(ctx, text, make([]*string, paramCount(text)))
	if err != nil {
		return err
	}
	s.backend.Send(res.rowDescription(nil))
	return nil
}

// hasReturning reports whether the text contains RETURNING.
func hasReturning(text string) bool {
	return strings.Contains(strings.ToUpper(text), "RETURNING")
}

// execute sends the rows of a portal and runs it unless Describe has done so.
func (s *session) execute(ctx context.Context, m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return &pgError{codeUnknownPortal, fmt.Sprintf("portal %q does not exist", m.Portal)}
	}
	if strings.TrimSpace(p.text) == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	res := p.res
	if res == nil {
		var err error
		if res, err = s.run(ctx, p.text, p.params); err != nil {
			return err
		}
	}
	p.res = nil
	res.sendRows(s.backend, p.formats)
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.commandTag)})
	return nil
}
