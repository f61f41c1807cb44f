package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/stmt"
)

// maxPrepared is the maximum number of prepared statements of a session.
const maxPrepared = 1024

// extendedBatch translates a batch of the extended query protocol into a batch for the holder.
// Prepared statements are stored in the session only: the proxy prepares them again, as the
// unnamed statement, in each batch that uses them, so that pooled connections carry no state
// from one session to the next.
type extendedBatch struct {
	s     *session
	batch *wire.Batch
	// unnamedSource is the name of the caller's statement that is prepared as the unnamed one;
	// it is valid if unnamedParsed is set.
	unnamedSource string
	unnamedParsed bool
	// boundQueries are the texts of the bound statements, and portals the text by portal.
	boundQueries []string
	portals      map[string]string
	// unknownPortal is set if a portal is executed that was bound in an earlier batch.
	unknownPortal     bool
	beginsTransaction bool
	// parseCount is the number of Parse messages in the batch. injectedParses has the indexes
	// of those that the proxy added; the caller must not see their responses.
	parseCount     int
	injectedParses map[int]bool
}

// runExtended runs a batch of the extended query protocol. It ends with Sync if sync is set, or
// else with Flush.
func (s *session) runExtended(data []byte, sync bool) {
	eb := &extendedBatch{s: s, batch: &wire.Batch{}, injectedParses: map[int]bool{}, portals: map[string]string{}}
	answer, err := eb.decodeMessages(data)
	switch {
	case err != nil:
		s.failExtended(err, sync)
	case answer != nil && eb.batch.Expect > 0:
		s.failExtended(fault.New(fault.NotRun, fault.Unsupported, "a batch cannot mix statements that the proxy answers itself with other statements; send them in separate batches"), sync)
	case answer != nil:
		s.replyLocal(answer, sync)
	case eb.batch.Expect == 0 && sync && s.work == nil:
		s.reply(encodeMessages(nil, &pgproto3.ReadyForQuery{TxStatus: s.txStatus}))
	case eb.batch.Expect == 0 && !sync:
	default:
		eb.dispatch(sync)
	}
}

// replyLocal sends the response to a batch that the proxy answers itself.
func (s *session) replyLocal(answer []byte, sync bool) {
	if sync {
		answer = encodeMessages(answer, &pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	}
	s.reply(answer)
}

// failExtended sends the error response to a batch. If the batch does not end with Sync,
// messages are dropped up to the next Sync, as the protocol requires.
func (s *session) failExtended(err error, sync bool) {
	if sync {
		s.replyError(err)
		return
	}
	e := fault.From(err)
	s.recordError(e)
	s.mu.Lock()
	s.skipToSync = true
	s.mu.Unlock()
	s.reply(encodeMessages(nil, errorResponse(e, "ERROR")))
}

// dispatch completes the batch with Sync or Flush and runs it.
func (eb *extendedBatch) dispatch(sync bool) {
	b := eb.batch
	if sync {
		b.Data = adapt.AppendMessage(b.Data, 'S', nil)
		b.Expect = 0
	} else {
		b.Data = adapt.AppendMessage(b.Data, 'H', nil)
	}
	eb.classify()
	filter := &parseCompleteFilter{injected: eb.injectedParses, out: eb.s.forward}
	eb.s.dispatch(b, eb.beginsTransaction, filter.write)
}

// classify sets from the bound statements whether the batch may run on a replica, commits,
// may change settings of the connection or begins a transaction. The statement of an unknown portal may do
// anything.
func (eb *extendedBatch) classify() {
	b := eb.batch
	b.Mayread, b.Commits, b.Dirty = !eb.unknownPortal, eb.unknownPortal, eb.unknownPortal
	for _, text := range eb.boundQueries {
		st := stmt.Classify(text)
		b.Mayread = b.Mayread && st.MayRunOnReplica()
		b.Commits = b.Commits || st.MayEndTransaction()
		b.Dirty = b.Dirty || st.MayChangeSettings()
		eb.beginsTransaction = eb.beginsTransaction || st.Kind == stmt.Begin
	}
}

// decodeMessages adds the messages of a batch. It returns the responses to those that the proxy
// answers itself, or nil if there are none.
func (eb *extendedBatch) decodeMessages(data []byte) ([]byte, error) {
	var answer []byte
	for len(data) > 0 {
		n := messageLength(data)
		part, err := eb.decodeMessage(data[0], data[adapt.HeaderBytes:n])
		if err != nil {
			return nil, err
		}
		answer = append(answer, part...)
		data = data[n:]
	}
	return answer, nil
}

// messageLength returns the size of the first message in b in bytes, including its header.
func messageLength(b []byte) int {
	n, _ := adapt.MessageSize(b)
	return n
}

func malformedMessage(message string) error {
	return fault.New(fault.NotRun, fault.BadMessage, "message %s does not decode", message)
}

// decodeMessage adds one message to the batch, and returns the response if the proxy answers the
// message itself.
func (eb *extendedBatch) decodeMessage(kind byte, body []byte) ([]byte, error) {
	switch kind {
	case 'P': // Parse
		return eb.parse(body)
	case 'B': // Bind
		return eb.bind(body)
	case 'D': // Describe
		return eb.describe(body)
	case 'E': // Execute
		return eb.execute(body)
	case 'C': // Close
		return eb.close(body)
	}
	return nil, malformedMessage(string(kind))
}

func (eb *extendedBatch) parse(body []byte) ([]byte, error) {
	m := &pgproto3.Parse{}
	if m.Decode(body) != nil {
		return nil, malformedMessage("Parse")
	}
	s := eb.s
	if s.prepared == nil {
		s.prepared = map[string]*pgproto3.Parse{}
	}
	if len(s.prepared) >= maxPrepared && s.prepared[m.Name] == nil {
		return nil, fault.New(fault.NotRun, fault.CallerLimit, "session already has the maximum of %d prepared statements", maxPrepared)
	}
	stored := &pgproto3.Parse{Name: m.Name, Query: m.Query, ParameterOIDs: append([]uint32(nil), m.ParameterOIDs...)}
	s.prepared[m.Name] = stored
	if s.answeredLocally(m.Query) {
		return encodeMessages(nil, &pgproto3.ParseComplete{}), nil
	}
	return nil, eb.appendParse(stored, false)
}

// answeredLocally reports whether the proxy answers the statement itself. It has no side effects.
func (s *session) answeredLocally(text string) bool {
	st := stmt.Classify(text)
	if s.transactionLost {
		return true
	}
	switch st.Kind {
	case stmt.Empty, stmt.Unsupported, stmt.Reset, stmt.Discard:
		return true
	case stmt.Set:
		return !(st.Local || st.Name == "transaction")
	case stmt.Show:
		return len(st.Name) > len(paramPrefix) && st.Name[:len(paramPrefix)] == paramPrefix
	}
	return false
}

// appendParse adds a Parse message that prepares m as the unnamed statement. Set injected if the
// caller did not send that message.
func (eb *extendedBatch) appendParse(m *pgproto3.Parse, injected bool) error {
	b, err := (&pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs}).Encode(eb.batch.Data)
	if err != nil {
		return malformedMessage("Parse")
	}
	eb.batch.Data = b
	if injected {
		eb.injectedParses[eb.parseCount] = true
	}
	eb.parseCount++
	eb.batch.Expect++
	eb.unnamedSource, eb.unnamedParsed = m.Name, true
	return nil
}

// ensureParsed makes a prepared statement the unnamed statement, unless it already is or the
// proxy answers it itself.
func (eb *extendedBatch) ensureParsed(name string) (*pgproto3.Parse, error) {
	m := eb.s.prepared[name]
	if m == nil {
		return nil, fault.New(fault.NotRun, fault.Invalid, "prepared statement %q does not exist", name)
	}
	if eb.s.answeredLocally(m.Query) || (eb.unnamedParsed && eb.unnamedSource == name) {
		return m, nil
	}
	return m, eb.appendParse(m, true)
}

func (eb *extendedBatch) bind(body []byte) ([]byte, error) {
	m := &pgproto3.Bind{}
	if m.Decode(body) != nil {
		return nil, malformedMessage("Bind")
	}
	st, err := eb.ensureParsed(m.PreparedStatement)
	if err != nil {
		return nil, err
	}
	eb.boundQueries = append(eb.boundQueries, st.Query)
	eb.portals[m.DestinationPortal] = st.Query
	if eb.s.answeredLocally(st.Query) {
		return encodeMessages(nil, &pgproto3.BindComplete{}), nil
	}
	m.PreparedStatement = ""
	return nil, eb.appendMessage(m)
}

// appendMessage adds a message that gets a response.
func (eb *extendedBatch) appendMessage(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(eb.batch.Data)
	if err != nil {
		return malformedMessage("of a batch")
	}
	eb.batch.Data = b
	eb.batch.Expect++
	return nil
}

func (eb *extendedBatch) describe(body []byte) ([]byte, error) {
	m := &pgproto3.Describe{}
	if m.Decode(body) != nil {
		return nil, malformedMessage("Describe")
	}
	if m.ObjectType == 'P' {
		if text, ok := eb.portals[m.Name]; ok && eb.s.answeredLocally(text) {
			return encodeMessages(nil, localDescription(text)), nil
		}
		return nil, eb.appendMessage(m)
	}
	st, err := eb.ensureParsed(m.Name)
	if err != nil {
		return nil, err
	}
	if eb.s.answeredLocally(st.Query) {
		return encodeMessages(nil, &pgproto3.ParameterDescription{}, localDescription(st.Query)), nil
	}
	m.Name = ""
	return nil, eb.appendMessage(m)
}

// localDescription returns the row description of a statement that the proxy answers itself.
func localDescription(text string) pgproto3.BackendMessage {
	if st := stmt.Classify(text); st.Kind == stmt.Show {
		return rowDescription(st.Name)
	}
	return &pgproto3.NoData{}
}

func (eb *extendedBatch) execute(body []byte) ([]byte, error) {
	m := &pgproto3.Execute{}
	if m.Decode(body) != nil {
		return nil, malformedMessage("Execute")
	}
	text, ok := eb.portals[m.Portal]
	if !ok && !eb.s.transactionLost {
		eb.unknownPortal = true
		return nil, eb.appendMessage(m)
	}
	if !eb.s.answeredLocally(text) {
		return nil, eb.appendMessage(m)
	}
	_, answer, err := eb.s.answerLocal(stmt.Classify(text))
	return withoutRowDescription(answer), err
}

// withoutRowDescription removes the row description from a response to Execute, because Describe
// has already sent it.
func withoutRowDescription(b []byte) []byte {
	if len(b) > 0 && b[0] == 'T' {
		return b[messageLength(b):]
	}
	return b
}

func (eb *extendedBatch) close(body []byte) ([]byte, error) {
	m := &pgproto3.Close{}
	if m.Decode(body) != nil {
		return nil, malformedMessage("Close")
	}
	if m.ObjectType == 'S' {
		delete(eb.s.prepared, m.Name)
		if eb.batch.Expect == 0 && eb.s.work == nil {
			return encodeMessages(nil, &pgproto3.CloseComplete{}), nil
		}
		m.Name = "agatespindle_none"
	}
	return nil, eb.appendMessage(m)
}

// parseCompleteFilter drops the responses to injected Parse messages.
type parseCompleteFilter struct {
	// injected has the indexes of the injected Parse messages among all of the batch.
	injected       map[int]bool
	parseCompletes int
	out            holder.Sink
}

func (f *parseCompleteFilter) write(b []byte) error {
	if len(f.injected) == 0 {
		return f.out(b)
	}
	keep := make([]byte, 0, len(b))
	for len(b) > 0 {
		n := messageLength(b)
		if b[0] == '1' {
			f.parseCompletes++
			if f.injected[f.parseCompletes-1] {
				b = b[n:]
				continue
			}
		}
		keep = append(keep, b[:n]...)
		b = b[n:]
	}
	return f.out(keep)
}
