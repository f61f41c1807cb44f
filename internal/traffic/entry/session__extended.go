package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/agatespindle/agatespindle/internal/backend/adapt"
	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/holder"
	"github.com/agatespindle/agatespindle/internal/traffic/verb"
)

// maxPrepared is the number of prepared statements that a session keeps.
const maxPrepared = 1024

// plan is a batch of the extended protocol on its way to a holder. Prepared statements stay
// with the session: the proxy prepares them anew, without a name, where a batch uses them,
// so that connections carry no state from one session to the next.
type plan struct {
	s       *session
	batch   *wire.Batch
	current string
	loaded  bool
	texts   []string
	begins  bool
	// parses counts the Parse messages that are sent; added are those that the caller did
	// not send, whose answers it must not see.
	parses int
	added  map[int]bool
}

// extended runs a batch of the extended protocol; sync tells that a Sync ends it.
func (s *session) extended(data []byte, sync bool) {
	p := &plan{s: s, batch: &wire.Batch{}, added: map[int]bool{}}
	answer, err := p.read(data)
	switch {
	case err != nil:
		s.failBatch(err, sync)
	case answer != nil && p.batch.Expect > 0:
		s.failBatch(fault.New(fault.NotRun, fault.Unsupported, "a batch cannot hold the proxy's own parameters and statements; send them apart"), sync)
	case answer != nil:
		s.finishLocal(answer, sync)
	case p.batch.Expect == 0 && sync && s.work == nil:
		s.reply(encode(nil, &pgproto3.ReadyForQuery{TxStatus: s.status}))
	case p.batch.Expect == 0 && !sync:
	default:
		p.dispatch(sync)
	}
}

func (s *session) finishLocal(answer []byte, sync bool) {
	if sync {
		answer = encode(answer, &pgproto3.ReadyForQuery{TxStatus: s.status})
	}
	s.reply(answer)
}

// failBatch reports an error; without a Sync, messages are dropped until one comes.
func (s *session) failBatch(err error, sync bool) {
	if sync {
		s.fail(err)
		return
	}
	e := fault.From(err)
	s.spoil(e)
	s.mu.Lock()
	s.skipping = true
	s.mu.Unlock()
	s.reply(encode(nil, errorResponse(e, "ERROR")))
}

func (p *plan) dispatch(sync bool) {
	b := p.batch
	if sync {
		b.Data = adapt.AppendMessage(b.Data, 'S', nil)
		b.Expect = 0
	} else {
		b.Data = adapt.AppendMessage(b.Data, 'H', nil)
	}
	p.classify()
	filter := &answerFilter{added: p.added, out: p.s.pass}
	p.s.dispatch(b, !p.begins, filter.take)
}

// classify tells from the statements that are executed what the batch may do.
func (p *plan) classify() {
	b := p.batch
	b.Mayread = true
	for _, text := range p.texts {
		st := verb.Of(text)
		b.Mayread = b.Mayread && st.MayRead()
		b.Commits = b.Commits || st.Commits()
		b.Dirty = b.Dirty || st.Dirty()
		p.begins = p.begins || st.Kind == verb.Begin
	}
}

// read goes through the messages of a batch. It returns an answer where the batch concerns
// the proxy itself.
func (p *plan) read(data []byte) ([]byte, error) {
	var answer []byte
	for len(data) > 0 {
		n := messageLength(data)
		one, err := p.message(data[0], data[headerSize:n])
		if err != nil {
			return nil, err
		}
		answer = append(answer, one...)
		data = data[n:]
	}
	return answer, nil
}

func messageLength(b []byte) int {
	n, _ := adapt.MessageSize(b)
	return n
}

func bad(what string) error {
	return fault.New(fault.NotRun, fault.BadMessage, "message %s does not decode", what)
}

func (p *plan) message(kind byte, body []byte) ([]byte, error) {
	switch kind {
	case 'P':
		return p.parse(body)
	case 'B':
		return p.bind(body)
	case 'D':
		return p.describe(body)
	case 'E':
		return p.execute(body)
	case 'C':
		return p.close(body)
	}
	return nil, bad(string(kind))
}

func (p *plan) parse(body []byte) ([]byte, error) {
	m := &pgproto3.Parse{}
	if m.Decode(body) != nil {
		return nil, bad("Parse")
	}
	s := p.s
	if s.prepared == nil {
		s.prepared = map[string]*pgproto3.Parse{}
	}
	if len(s.prepared) >= maxPrepared && s.prepared[m.Name] == nil {
		return nil, fault.New(fault.NotRun, fault.CallerLimit, "session has %d prepared statements", maxPrepared)
	}
	own := &pgproto3.Parse{Name: m.Name, Query: m.Query, ParameterOIDs: append([]uint32(nil), m.ParameterOIDs...)}
	s.prepared[m.Name] = own
	if s.isLocal(m.Query) {
		return encode(nil, &pgproto3.ParseComplete{}), nil
	}
	return nil, p.load(own, false)
}

// isLocal reports whether the statement is answered by the proxy. It changes nothing.
func (s *session) isLocal(text string) bool {
	st := verb.Of(text)
	if s.lost {
		return true
	}
	switch st.Kind {
	case verb.Empty, verb.Refused, verb.Reset, verb.Discard:
		return true
	case verb.Set:
		return !(st.Local || st.Name == "transaction")
	case verb.Show:
		return len(st.Name) > len(ownPrefix) && st.Name[:len(ownPrefix)] == ownPrefix
	}
	return false
}

// load sends a statement to be prepared without a name.
func (p *plan) load(m *pgproto3.Parse, added bool) error {
	b, err := (&pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs}).Encode(p.batch.Data)
	if err != nil {
		return bad("Parse")
	}
	p.batch.Data = b
	if added {
		p.added[p.parses] = true
	}
	p.parses++
	p.batch.Expect++
	p.current, p.loaded = m.Name, true
	return nil
}

// use makes sure that a prepared statement is the one without a name.
func (p *plan) use(name string) (*pgproto3.Parse, error) {
	m := p.s.prepared[name]
	if m == nil {
		return nil, fault.New(fault.NotRun, fault.Invalid, "prepared statement %q does not exist", name)
	}
	if p.s.isLocal(m.Query) || (p.loaded && p.current == name) {
		return m, nil
	}
	return m, p.load(m, true)
}

func (p *plan) bind(body []byte) ([]byte, error) {
	m := &pgproto3.Bind{}
	if m.Decode(body) != nil {
		return nil, bad("Bind")
	}
	st, err := p.use(m.PreparedStatement)
	if err != nil {
		return nil, err
	}
	p.texts = append(p.texts, st.Query)
	if p.s.isLocal(st.Query) {
		return encode(nil, &pgproto3.BindComplete{}), nil
	}
	m.PreparedStatement = ""
	return nil, p.add(m)
}

func (p *plan) add(m pgproto3.FrontendMessage) error {
	b, err := m.Encode(p.batch.Data)
	if err != nil {
		return bad("of a batch")
	}
	p.batch.Data = b
	p.batch.Expect++
	return nil
}

func (p *plan) describe(body []byte) ([]byte, error) {
	m := &pgproto3.Describe{}
	if m.Decode(body) != nil {
		return nil, bad("Describe")
	}
	if m.ObjectType == 'P' {
		if text, ok := p.localText(); ok {
			return encode(nil, localDescription(text)), nil
		}
		return nil, p.add(m)
	}
	st, err := p.use(m.Name)
	if err != nil {
		return nil, err
	}
	if p.s.isLocal(st.Query) {
		return encode(nil, &pgproto3.ParameterDescription{}, localDescription(st.Query)), nil
	}
	m.Name = ""
	return nil, p.add(m)
}

// localText returns the statement that was bound last, if the proxy answers it.
func (p *plan) localText() (string, bool) {
	if len(p.texts) == 0 {
		return "", false
	}
	text := p.texts[len(p.texts)-1]
	return text, p.s.isLocal(text)
}

func localDescription(text string) pgproto3.BackendMessage {
	if st := verb.Of(text); st.Kind == verb.Show {
		return showColumn(st.Name)
	}
	return &pgproto3.NoData{}
}

func (p *plan) execute(body []byte) ([]byte, error) {
	m := &pgproto3.Execute{}
	if m.Decode(body) != nil {
		return nil, bad("Execute")
	}
	text, ok := p.localText()
	if !ok {
		return nil, p.add(m)
	}
	_, answer, err := p.s.local(verb.Of(text))
	return withoutColumns(answer), err
}

// withoutColumns drops the row description, which Describe has sent.
func withoutColumns(b []byte) []byte {
	if len(b) > 0 && b[0] == 'T' {
		return b[messageLength(b):]
	}
	return b
}

func (p *plan) close(body []byte) ([]byte, error) {
	m := &pgproto3.Close{}
	if m.Decode(body) != nil {
		return nil, bad("Close")
	}
	if m.ObjectType == 'S' {
		delete(p.s.prepared, m.Name)
		if p.batch.Expect == 0 && p.s.work == nil {
			return encode(nil, &pgproto3.CloseComplete{}), nil
		}
		m.Name = "agatespindle_none"
	}
	return nil, p.add(m)
}

// answerFilter drops the answers to Parse messages that the caller did not send.
type answerFilter struct {
	added map[int]bool
	seen  int
	out   holder.Sink
}

func (f *answerFilter) take(b []byte) error {
	if len(f.added) == 0 {
		return f.out(b)
	}
	keep := make([]byte, 0, len(b))
	for len(b) > 0 {
		n := messageLength(b)
		if b[0] == '1' {
			f.seen++
			if f.added[f.seen-1] {
				b = b[n:]
				continue
			}
		}
		keep = append(keep, b[:n]...)
		b = b[n:]
	}
	return f.out(keep)
}
